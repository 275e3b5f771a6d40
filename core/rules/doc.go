// Package rules parses, checks and compares the operators' routing rules.
//
// A rules file has one rule per line. A line is a TOML key, the kind of the rule,
// with an inline table as its value, and ends in a comment that names who
// requested the rule:
//
//	allow = { organisation = "asl-milano", model = "tiglio" } # C. Rossi: ticket 12
//
// Parse reports all problems of a file at once. A Set is immutable after Parse
// and safe for concurrent use.
//
// Invariant: a Set that Parse accepts refers only to organisations, models,
// versions, classes, failure domains and services that it declares itself.
package rules
