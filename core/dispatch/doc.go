// Package dispatch assigns requests to concurrency slots of upstreams.
//
// A slot is the capacity of an upstream for one concurrent request. A
// Dispatcher is a state machine: its methods take the current time, never
// block and start no goroutine. It is not safe for concurrent use; its owner
// guards it with one mutex. Offer grants a slot, queues the ticket or refuses
// it; Release frees a slot and grants it to queued tickets; Update replaces the
// rules.
//
// Invariants:
//   - an upstream is never granted more requests of this instance than the
//     share, scaled by its ramp level, or more tokens than the share;
//   - a ticket is granted only an upstream that is in service in the newest
//     rules, for a target that the rules allow its organisation to use;
//   - a ticket is in exactly one of the states waiting, granted and done.
package dispatch
