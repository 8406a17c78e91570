package settings

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// validSettings is a settings file that passes all checks.
const validSettings = `name = "i1"
data_centre = "a"
data_folder = "data"
peer_address = "127.0.0.1:7000"
http_address = "127.0.0.1:8080"
peer_keys = ["k"]
[limits]
stop_bound = "20s"
[[instance]]
name = "i1"
address = "127.0.0.1:7000"
data_centre = "a"
[[ledger]]
id = "config"
replicas = ["i1"]
`

// TestParse checks that one invalid value in a valid file gives an error of one line
// that names file and key.
func TestParse(t *testing.T) {
	for _, test := range []struct {
		name, old, new, want string
	}{
		{"valid", "", "", ""},
		{"unknown key", "[limits]", "[limits]\nspeed = 1", "limits.speed: unknown key"},
		{"wrong type", `name = "i1"` + "\ndata", "name = 3\ndata", "name"},
		{"missing name", `name = "i1"` + "\ndata", "data", "name: missing"},
		{"missing address", `http_address = "127.0.0.1:8080"`, "", "http_address: missing"},
		{"host name", "127.0.0.1:8080", "localhost:8080", `http_address: "localhost" is no IP number`},
		{"no port", "127.0.0.1:8080", "127.0.0.1", "http_address"},
		{"invalid duration", `"20s"`, `"20 parsecs"`, "stop_bound"},
		{"negative duration", `"20s"`, `"-1s"`, "stop_bound"},
		{"same addresses", "127.0.0.1:8080", "127.0.0.1:7000", "http_address: same as peer_address"},
		{"duplicate instance", "[[ledger]]", "[[instance]]\nname = \"i2\"\naddress = \"127.0.0.1:7000\"\ndata_centre = \"a\"\n[[ledger]]", "instance[1].address: duplicate"},
		{"instance not in its list", "[[instance]]\nname = \"i1\"", "[[instance]]\nname = \"i9\"", "instance: the list lacks this instance"},
		{"replica without disk", `data_folder = "data"`, "", "data_folder: missing"},
		{"unknown replica", `replicas = ["i1"]`, `replicas = ["i7"]`, "ledger[0].replicas: unknown instance i7"},
		{"no config ledger", `id = "config"`, `id = "home/a"`, "ledger: a ledger with id config is needed"},
		{"no peer key", `peer_keys = ["k"]`, `peer_keys = []`, "peer_keys"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := Parse("one.toml", strings.Replace(validSettings, test.old, test.new, 1))
			if test.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(errors.Is(err, ErrInvalid), qt.IsTrue)
			c.Assert(err.Error(), qt.Contains, test.want)
			c.Assert(err.Error(), qt.Contains, "one.toml: ")
			c.Assert(strings.Contains(err.Error(), "\n"), qt.IsFalse)
		})
	}
}

// FuzzParse checks that Parse accepts any input without a panic.
func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Fuzz(func(_ *testing.T, text string) { _, _ = Parse("fuzz.toml", text) })
}
