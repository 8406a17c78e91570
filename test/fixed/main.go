// Package fixed gives property tests the same schedules in every run.
package fixed

import (
	"flag"
	"os"
	"testing"
)

// checks is the number of schedules of each property.
const checks = "1000"

// Main runs the tests of a package with a seed and the usual number of
// schedules, unless -rapid.seed and -rapid.checks give others.
func Main(m *testing.M, seed string) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value) // both flags take these values
		}
	}
	os.Exit(m.Run())
}
