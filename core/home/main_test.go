package home

import (
	"testing"

	"papayaquay/test/fixed"
)

// fixedSeed makes every run draw the same schedules.
// -rapid.seed gives another.
const fixedSeed = "30"

// TestMain fixes the seed and the number of schedules unless they are given.
func TestMain(m *testing.M) { fixed.Main(m, fixedSeed) }
