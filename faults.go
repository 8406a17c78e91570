//go:build !soak

package main

import "papayaquay/io/fleet"

// faultOptions returns nothing: faults can be injected only into the test build
// of the soak.
func faultOptions(string) []fleet.Option { return nil }
