// Package fixed runs property tests with a fixed seed, so that every run checks
// the same schedules.
package fixed

import (
	"flag"
	"os"
	"testing"
)

// defaultChecks is the number of schedules that each property is checked with.
const defaultChecks = "1000"

// Main runs the tests of a package and exits. The property tests use the given
// seed and 1000 schedules, unless -rapid.seed and -rapid.checks set others.
func Main(m *testing.M, seed string) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": defaultChecks} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value) // cannot fail: both values are valid
		}
	}
	os.Exit(m.Run())
}
