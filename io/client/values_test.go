package client

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestValues checks the cost of decoded JSON, also of a text that comes in parts.
func TestValues(t *testing.T) {
	for _, test := range []struct {
		name, text string
		cost       int64
	}{
		{"a value", `1`, 0},
		{"an object", `{}`, objectCost},
		{"members", `{"a":1,"b":2}`, objectCost + 3*valueCost},
		{"nested", `[[],{},"x"]`, 3*objectCost + 2*valueCost},
		{"text", `"{[,:\"{[,:"`, 0},
		{"an escaped end", `"\\",1`, valueCost},
		{"items", `{"requests":[{},{}]}`, 4*objectCost + 2*valueCost},
	} {
		t.Run(test.name, func(t *testing.T) {
			var whole, parts valueCounter
			qt.Check(t, whole.add([]byte(test.text)), qt.Equals, test.cost)
			for n := range len(test.text) {
				parts.add([]byte(test.text[n : n+1]))
			}
			qt.Check(t, parts.cost, qt.Equals, test.cost)
		})
	}
}
