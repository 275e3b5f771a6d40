// Package dispatch gives requests a slot at an upstream.
//
// A Dispatcher is a state machine: its methods take the current time, never
// block and start no goroutine. Its owner guards it with one mutex. Offer
// grants a slot, queues the ticket or refuses it; Release frees a slot and
// returns the tickets that got one from the queue; Update replaces the rules.
//
// Invariants:
//   - an upstream never holds more requests or tokens of this instance than
//     its share, scaled by its ramp;
//   - a ticket is granted only an upstream that is in service, and whose target
//     its organisation may use, in the newest rules at that moment;
//   - a ticket is in exactly one of the states waiting, granted and done.
package dispatch
