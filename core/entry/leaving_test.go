package entry

import (
	"testing"
	"time"

	"papayaquay/core/cluster"
	"papayaquay/core/directory"
	"papayaquay/core/member"
	"papayaquay/core/progress"

	qt "github.com/frankban/quicktest"
)

// TestLeavingServerNamedInAnswer guards against requests to a server that said in an answer
// that it leaves, when no control instance has told so.
func TestLeavingServerNamedInAnswer(t *testing.T) {
	for _, test := range []struct {
		name    string
		answer  func(number uint64) []Input // of the server "a"
		restart bool                        // "a" starts again afterwards
		want    bool                        // "a" gets requests again
	}{
		{"answer without the word", func(n uint64) []Input {
			return []Input{HeaderReceived(n, LoadReport{}), AttemptEnded(n, AttemptAnswered, LoadReport{})}
		}, false, true},
		{"answer in progress", func(n uint64) []Input {
			return []Input{HeaderReceived(n, LoadReport{}.WithLeaving(true))}
		}, false, false},
		{"complete answer", func(n uint64) []Input {
			return []Input{HeaderReceived(n, LoadReport{}.WithLeaving(true)), AttemptEnded(n, AttemptAnswered, LoadReport{}.WithLeaving(true))}
		}, false, false},
		{"request was not run", func(n uint64) []Input {
			return []Input{AttemptEnded(n, AttemptNotRun, LoadReport{}.WithLeaving(true))}
		}, false, false},
		{"no slot was reserved", func(n uint64) []Input {
			return []Input{AttemptEnded(n, AttemptNoSlot, LoadReport{}.WithLeaving(true))}
		}, false, false},
		{"server starts again under its id", func(n uint64) []Input {
			return []Input{HeaderReceived(n, LoadReport{}.WithLeaving(true)), AttemptEnded(n, AttemptAnswered, LoadReport{}.WithLeaving(true))}
		}, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			servers := directory.New(1)
			announce := func(id string, incarnation uint64) {
				servers.Announce(now, member.NewBackend(id, id+":1", "z", member.ProtocolEngine, 8, incarnation, 1, member.WithServices("s")))
			}
			announce("a", 1)
			var reported []string
			w := New("z", func() *cluster.Snapshot { return cluster.NewSnapshot(nil, servers.Servers(now), cluster.Loads{}) },
				WithLeaveReport(func(backend string, _ uint64) { reported = append(reported, backend) }))
			var last Decision
			submit := func() string {
				r := NewRequest("r", "s", true, true, 2, now, now.Add(5*time.Second))
				w.Step(now, []Input{Submit(r, progress.New(), func(d Decision) { last = d }, func() {})})
				return last.Backend().ID()
			}
			c.Assert(submit(), qt.Equals, "a")
			announce("b", 1)
			w.Step(now, test.answer(last.Number()))
			if test.restart {
				announce("a", 2)
			}
			used := make(map[string]int)
			for range 50 {
				now = now.Add(200 * time.Millisecond)
				used[submit()]++
				w.Step(now, []Input{HeaderReceived(last.Number(), LoadReport{}), AttemptEnded(last.Number(), AttemptAnswered, LoadReport{})})
			}
			c.Check(used["a"] > 0, qt.Equals, test.want, qt.Commentf("%v", used))
			c.Check(used["a"]+used["b"], qt.Equals, 50, qt.Commentf("%v", used))
			c.Check(len(reported) > 0, qt.Equals, !test.want || test.restart)
		})
	}
}
