package usage

import (
	"testing"

	"papayaquay/test/fixed"
)

// fixedSeed makes every run draw the same readers. -rapid.seed gives another.
const fixedSeed = "31"

// TestMain fixes the seed and the number of readers unless they are given.
func TestMain(m *testing.M) { fixed.Main(m, fixedSeed) }
