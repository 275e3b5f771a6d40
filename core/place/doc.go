// Package place chooses an upstream for each attempt.
//
// A Fleet is what one instance knows of the upstreams of all services: what
// they have registered, what this instance holds there, and how their latest
// answers went. Its methods take the current time, never block and start no
// goroutine; its owner guards it with one mutex.
//
// Invariants:
//   - no upstream is picked that is draining, gone, taken out with its failure
//     domain, or of a version that the caller's filter excludes;
//   - an upstream that has drained takes no new work until it starts anew;
//   - a cold upstream gets at most this instance's part of its rate in any
//     sliding second.
package place
