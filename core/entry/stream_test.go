package entry

import (
	"fmt"
	"testing"
	"time"

	"papayaquay/core/cluster"
	"papayaquay/core/directory"
	"papayaquay/core/member"
	"papayaquay/core/progress"

	qt "github.com/frankban/quicktest"
)

// TestStreamGoesOnAtItsVersion guards against streams that hold events of servers of two
// software versions, in one answer.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	for _, test := range []struct {
		name     string
		versions []string      // of the servers, in the order of their ids; the first one begins the stream
		ended    AttemptStatus // of the first attempt
		want     []string      // versions that may get the second attempt; none if the request must fail
	}{
		{"a part was sent", []string{"v1", "v1", "v2", "v2", "v2"}, AttemptInterrupted, []string{"v1"}},
		{"nothing was sent", []string{"v1", "v1", "v2", "v2", "v2"}, AttemptLost, []string{"v1", "v2"}},
		{"not run", []string{"v1", "v1", "v2", "v2", "v2"}, AttemptNotRun, []string{"v1", "v2"}},
		{"no other server of the version", []string{"v1", "v2", "v2"}, AttemptInterrupted, nil},
		{"versions are not known", []string{"", "", ""}, AttemptInterrupted, []string{""}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			got := make(map[string]bool)
			for seed := range uint64(60) {
				now := time.Unix(1000, 0)
				servers := directory.New(1)
				announce := func(i int) {
					servers.Announce(now, member.NewBackend(fmt.Sprint(i), fmt.Sprintf("a%d:1", i), "z", member.ProtocolEngine, 8, 1, 1,
						member.WithServices("s"), member.WithVersion(test.versions[i])))
				}
				announce(0)
				w := New("z", func() *cluster.Snapshot { return cluster.NewSnapshot(nil, servers.Servers(now), cluster.Loads{}) }, WithSeed(seed))
				var last Decision
				r := NewRequest("r", "s", true, true, 3, now, now.Add(5*time.Second))
				w.Step(now, []Input{Submit(r, progress.New(), func(d Decision) { last = d }, func() {})})
				c.Assert(last.Action(), qt.Equals, ActionSend)
				for i := range test.versions[1:] {
					announce(i + 1)
				}
				w.Step(now, []Input{AttemptEnded(last.Number(), test.ended, LoadReport{})})
				if last.Action() == ActionSend {
					got[last.Backend().Version()] = true
					continue
				}
				c.Assert(last.Action(), qt.Equals, ActionFail)
			}
			c.Assert(got, qt.HasLen, len(test.want))
			for _, version := range test.want {
				c.Check(got[version], qt.IsTrue, qt.Commentf("version %q", version))
			}
		})
	}
}
