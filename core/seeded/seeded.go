// Package seeded sets a fixed seed and number of checks for property tests that
// use rapid, so that each run gives the same result. Tests import it for its
// side effect. The flags -rapid.seed and -rapid.checks override these defaults,
// for example for longer runs.
package seeded

import (
	"flag"

	// Registers the flags that are set below.
	_ "pgregory.net/rapid"
)

// The defaults of -rapid.seed and -rapid.checks.
const (
	seed   = "20261204"
	checks = "10000"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err) // rapid no longer has this flag
		}
	}
}
