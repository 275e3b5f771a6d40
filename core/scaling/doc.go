// Package scaling decides how many upstreams of a service to order in each failure
// domain.
//
// It answers load that outgrows the upstreams for longer than the start of an upstream
// takes, load that falls, and the loss of a failure domain. Bursts that are shorter than
// a start change nothing: upstreams that are ordered for them come too late.
//
// A Planner judges one service by the sums that instances report, never by what one
// instance sees. A Task is the duty that sends the orders. Both are owned by one
// goroutine. Their methods take the current time and never block.
//
// Invariants:
//   - an order lies within the bounds of its service;
//   - no order is made for a failure domain that is taken out or has no upstreams;
//   - nothing is lowered while a version is rolled out, a failure domain is out, news are
//     missing, or upstreams that leave still run attempts.
package scaling
