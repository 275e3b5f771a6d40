// Package seeded gives property tests a fixed seed and enough checks, so that
// their verdict is the same every time. Tests import it for its effect. The
// flags -rapid.seed and -rapid.checks still win, for longer runs.
package seeded

import (
	"flag"

	// Registers the flags that are set below.
	_ "pgregory.net/rapid"
)

// The defaults of the flags.
const (
	seed   = "20261204"
	checks = "10000"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err) // the library has renamed its flag
		}
	}
}
