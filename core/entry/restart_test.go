package entry

import (
	"testing"
	"time"

	"papayaquay/core/cluster"
	"papayaquay/core/directory"
	"papayaquay/core/member"
	"papayaquay/core/progress"
	"papayaquay/core/quarantine"

	qt "github.com/frankban/quicktest"
)

// TestRestartedServerGetsNoStreams guards against streams that begin or go on at a server that was
// started again under its id with another software version, before its first announcement
// (review/8, ORDER).
func TestRestartedServerGetsNoStreams(t *testing.T) {
	for _, test := range []struct {
		name      string
		resumable bool          // the first request and the later one
		end       AttemptStatus // of the attempt on the server
		reported  bool          // another instance reports the crash; here nothing was lost
		refuses   bool          // the server refuses connections
		wait      time.Duration // before the later request
		announces uint64        // incarnation that the server announces meanwhile
		action    Action        // for the later request
	}{
		{"process ended", true, AttemptInterrupted, false, true, time.Second, 1, ActionReject},
		{"process ended before the answer", true, AttemptLost, false, true, time.Second, 1, ActionReject},
		{"process ended before the request was sent", true, AttemptUnreachable, false, true, time.Second, 1, ActionReject},
		{"seen by another instance", true, AttemptAnswered, true, true, time.Second, 1, ActionReject},
		{"seen by another instance only", true, AttemptAnswered, true, false, time.Second, 1, ActionSend},
		{"only the connection was lost", true, AttemptInterrupted, false, false, time.Second, 1, ActionSend},
		{"new start announced", true, AttemptInterrupted, false, true, time.Second, 2, ActionSend},
		{"still announced much later", true, AttemptInterrupted, false, true, member.EndedTime, 1, ActionSend},
		{"request that is never continued", false, AttemptInterrupted, false, true, time.Second, 1, ActionSend},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newTestEntry(t, 1, cluster.Loads{})
			e.resumable = test.resumable
			var checked []quarantine.CrashID
			WithQuarantine(func(id quarantine.CrashID, _ string, _ []string) { checked = append(checked, id) }, func(quarantine.Crash) {},
				func([]quarantine.Part) {}, func([]quarantine.Part) {}, func(quarantine.CrashID) {})(e.world)
			submit := func() {
				r := NewRequest("r", "s", true, e.resumable, 1, e.now, e.now.Add(5*time.Second), WithSharedParts(quarantine.Prompt{"s/1"}))
				e.step(0, Submit(r, progress.New(), func(d Decision) { e.decisions = append(e.decisions, d) }, func() {}))
			}
			submit()
			e.step(0, AttemptEnded(e.last().Number(), test.end, LoadReport{}))
			if test.reported {
				evidence := quarantine.New(1)
				evidence.Report(e.now, quarantine.NewCrash(quarantine.NewCrashID("b0", 1), 0, []quarantine.Prompt{{"s/2"}}, nil))
				evidence.Run(e.now)
				e.snapshot = e.snapshot.WithQuarantine(evidence.View())
				e.step(0, SnapshotChanged())
			}
			e.c.Assert(len(checked) <= 1, qt.IsTrue)
			for _, id := range checked {
				e.step(0, CrashChecked(id, test.refuses))
			}
			d := directory.New(1)
			d.Announce(e.now, member.NewBackend("b0", "b0:1", "z0", member.ProtocolEngine, 8, test.announces, 2, member.WithServices("s")))
			e.snapshot = cluster.NewSnapshot(nil, d.Servers(e.now), cluster.Loads{}).WithQuarantine(e.snapshot.Quarantine())
			e.step(test.wait, SnapshotChanged())
			submit()
			e.c.Assert(e.last().Action(), qt.Equals, test.action)
		})
	}
}
