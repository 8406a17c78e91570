package usage

import (
	"testing"

	"papayaquay/test/fixed"
)

// fixedSeed makes every test run draw the same readers. The flag -rapid.seed
// overrides it.
const fixedSeed = "31"

// TestMain sets the seed and the number of draws unless flags set them.
func TestMain(m *testing.M) { fixed.Main(m, fixedSeed) }
