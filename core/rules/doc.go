// Package rules reads, checks and compares the operators' routing rules.
//
// A rules file holds one rule a line. Each line is one TOML key, the rule's
// kind, whose value is an inline table, and ends in a comment that names who
// asked for the rule:
//
//	allow = { organisation = "asl-milano", model = "tiglio" } # C. Rossi: ticket 12
//
// Parse reports every fault of a file at once. A Set is immutable after Parse
// and may be shared between goroutines.
//
// Invariant: a Set returned without problems refers only to organisations,
// models, versions, failure domains and services that it declares itself.
package rules
