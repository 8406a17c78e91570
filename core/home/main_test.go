package home

import (
	"testing"

	"papayaquay/test/fixed"
)

// fixedSeed makes every run draw the same commands. The flag -rapid.seed overrides it.
const fixedSeed = "30"

// TestMain sets the seed and the number of checks, unless flags set them.
func TestMain(m *testing.M) { fixed.Main(m, fixedSeed) }
