package client

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestCountValues checks what is counted in JSON.
func TestCountValues(t *testing.T) {
	for _, test := range []struct {
		name, text      string
		objects, values int
	}{
		{"a value", `1`, 0, 0},
		{"an object", `{}`, 1, 0},
		{"members", `{"a":1,"b":2}`, 1, 3},
		{"nested", `[[],{},"x"]`, 3, 2},
		{"text", `"{[,:\"{[,:"`, 0, 0},
		{"an escaped end", `"\\",1`, 0, 1},
		{"no end of a text", `{"a`, 1, 0},
		{"no end of an escape", `{"a\`, 1, 0},
		{"items", `{"requests":[{},{}]}`, 4, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			objects, values := CountValues([]byte(test.text))
			qt.Check(t, objects, qt.Equals, test.objects)
			qt.Check(t, values, qt.Equals, test.values)
		})
	}
}
