// Package suspect finds out what requests that crash upstreams have in common, so
// that such requests can be refused before they crash more.
//
// A request is described by its traits: its service, organisation and route, the
// parts of its prompt and the request itself. When an upstream crashes, the requests
// that may have caused it are the candidates. A hypothesis is a set of traits that
// candidates of several crashes share. It is the largest such set, so that a sound
// request that shares only some of the traits is never refused.
//
// A hypothesis becomes a verdict, and requests with all its traits are refused, once
// it explains enough crashes, unless
//   - a request with all its traits was answered completely at about that time or
//     later;
//   - nothing else was answered meanwhile, so that the crashes may have another cause,
//     such as power, overload or a bad version;
//   - other hypotheses explain the same crashes as well; these split the evidence.
//
// Upstreams that crash at one moment count as one crash: they have a common cause
// more probably than several requests had the same effect.
//
// Instances exchange reports of crashes and verdicts. Merging them is idempotent and
// does not depend on their order.
//
// Invariants:
//   - a set is refused only after minCrashes crashes at different moments, each with
//     a candidate that has all its traits, while no request with all its traits was
//     answered;
//   - a verdict holds a part of a prompt or a whole request, never only a service,
//     organisation or route;
//   - a crash that a verdict explains accuses no other request;
//   - all collections are bounded, and an organisation can only displace its own
//     records of answers.
package suspect
