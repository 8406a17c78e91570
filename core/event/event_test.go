package event

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestPageListsEveryEvent checks that docs/EVENTS.md lists every event with its
// number, level and text, and that numbers are unique.
func TestPageListsEveryEvent(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/EVENTS.md")
	c.Assert(err, qt.IsNil)
	rows := 0
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| event") && !strings.HasPrefix(line, "| ---") {
			rows++
		}
	}
	c.Assert(rows, qt.Equals, len(All()))
	numbers := make(map[int]bool)
	for _, e := range All() {
		row := fmt.Sprintf("| %d | %s | %s |", e.Number(), strings.ToLower(e.Level().String()), e.Text())
		c.Assert(string(page), qt.Contains, row)
		c.Assert(numbers[e.Number()], qt.IsFalse)
		numbers[e.Number()] = true
	}
}
