package cluster

import (
	"testing"
	"time"

	"papayaquay/core/call"

	qt "github.com/frankban/quicktest"
)

// TestReadiness checks that an entry instance is ready with a configuration and
// a backend server, or with a configuration after the time in which servers
// would have announced themselves. It must stay ready without servers.
func TestReadiness(t *testing.T) {
	for _, test := range []struct {
		name      string
		configure bool
		announce  bool
		after     time.Duration
		ready     bool
	}{
		{"nothing known", false, false, 10 * time.Second, false},
		{"servers without a configuration", false, true, 10 * time.Second, false},
		{"configuration without servers", true, false, time.Second, false},
		{"configuration and a server", true, true, time.Second, true},
		{"configuration, no server for a long time", true, false, 5 * time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSystem(t, 3)
			s.run(4 * time.Second)
			if test.configure {
				s.c.Assert(s.configure("c0", 3), qt.Equals, call.StatusDone)
			}
			if test.announce {
				s.announce("c0", "b", 1)
			}
			s.run(test.after)
			s.c.Assert(s.instance("e0").snapshot.Ready(), qt.Equals, test.ready)
			if test.ready {
				s.run(70 * time.Second) // longer than the time after which stale servers are removed
				s.c.Assert(s.instance("e0").snapshot.Ready(), qt.IsTrue)
			}
		})
	}
}
