//go:build !soak

package main

import "papayaquay/io/fleet"

// faultOptions returns no options. Only builds with the tag "soak" can inject
// faults.
func faultOptions(string) []fleet.Option { return nil }
