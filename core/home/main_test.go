package home

import (
	"testing"

	"papayaquay/test/fixed"
)

// fixedSeed makes every test run draw the same schedules. The flag -rapid.seed
// overrides it.
const fixedSeed = "30"

// TestMain sets the seed and the number of schedules unless flags set them.
func TestMain(m *testing.M) { fixed.Main(m, fixedSeed) }
