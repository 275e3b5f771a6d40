// Package placement chooses an upstream for each attempt.
//
// A Fleet is one instance's view of the upstreams of all services: their
// registrations, the attempts of this instance that run there and the recent
// outcomes. Its methods take the current time, never block and start no
// goroutine. A Fleet is not safe for concurrent use; the caller guards it with
// a mutex.
//
// Invariants:
//   - an upstream is never picked if it is draining or gone, its failure domain
//     is disabled, or the caller's filter excludes its version;
//   - an upstream that has started draining gets no new attempts until it
//     restarts;
//   - an upstream that is cold or names a limit gets at most this instance's part of
//     that limit, whatever the attempt is for; see package share.
package placement
