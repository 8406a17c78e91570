package entry

import (
	"testing"
	"time"

	"papayaquay/core/cluster"
	"papayaquay/core/progress"
	"papayaquay/core/quarantine"

	qt "github.com/frankban/quicktest"
)

// TestCrashEvidence checks which lost requests an entry instance reports as the possible
// cause of a crash, on a server that refuses connections: apart those whose answers had begun,
// which may crash servers as well (review/10, BUDGET).
func TestCrashEvidence(t *testing.T) {
	prompt := quarantine.Prompt{"s/1", "s/2"}
	for _, test := range []struct {
		name    string
		prompt  quarantine.Prompt
		header  bool
		began   bool
		status  AttemptStatus
		refuses bool
		reports bool
	}{
		{"before the header", prompt, false, false, AttemptLost, true, true},
		{"after the header, before the body", prompt, true, false, AttemptInterrupted, true, true},
		{"after a part of the body", prompt, true, true, AttemptInterrupted, true, true},
		{"after a part of the body, server still accepts connections", prompt, true, true, AttemptInterrupted, false, false},
		{"after a part of the body, before any of it was sent on", prompt, true, true, AttemptLost, true, true},
		{"server still accepts connections", prompt, true, false, AttemptInterrupted, false, false},
		{"no shared parts", nil, false, false, AttemptLost, true, false},
		{"not sent", prompt, false, false, AttemptUnreachable, true, false},
		{"answered", prompt, true, true, AttemptAnswered, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newTestEntry(t, 4, cluster.Loads{}) // two in each data centre
			var checked []quarantine.CrashID
			var reported []quarantine.Crash
			WithQuarantine(func(id quarantine.CrashID, address string, others []string) {
				e.c.Check(address, qt.Equals, id.Backend()+":1")
				e.c.Check(others, qt.HasLen, 1)
				e.c.Check(others, qt.Not(qt.Contains), address)
				checked = append(checked, id)
			}, func(c quarantine.Crash) { reported = append(reported, c) }, func([]quarantine.Part) {}, func([]quarantine.Part) {}, func(quarantine.CrashID) {})(e.world)
			e.submitPrompt(test.prompt)
			number := e.last().Number()
			backend := e.last().Backend()
			if test.header {
				e.step(0, HeaderReceived(number, LoadReport{}))
			}
			if test.began {
				e.step(0, AnswerBegan(number))
			}
			e.step(0, AttemptEnded(number, test.status, LoadReport{}))
			for _, id := range checked {
				e.step(0, CrashChecked(id, test.refuses))
			}
			if !test.reports {
				e.c.Assert(reported, qt.HasLen, 0)
				return
			}
			e.c.Assert(reported, qt.HasLen, 1)
			e.c.Assert(reported[0].ID(), qt.Equals, quarantine.NewCrashID(backend.ID(), backend.Incarnation()))
			suspects, begun := []quarantine.Prompt{prompt}, []quarantine.Prompt(nil)
			if test.began {
				suspects, begun = begun, suspects
			}
			e.c.Assert(reported[0].Suspects(), qt.DeepEquals, suspects)
			e.c.Assert(reported[0].Begun(), qt.DeepEquals, begun)
		})
	}
}

// TestQuarantinedRequestIsRejected checks that a request with a quarantined part reaches
// no server, not even in a second attempt, and that an answer that begins on a suspect
// part is reported.
func TestQuarantinedRequestIsRejected(t *testing.T) {
	for _, test := range []struct {
		name   string
		prompt quarantine.Prompt
		action Action // for a new request
		later  Action // for one that was lost on a server before the part was quarantined
		began  []quarantine.Part
	}{
		{"poison part", quarantine.Prompt{"s/first", "s/poison"}, ActionReject, ActionFail, nil},
		{"same first part", quarantine.Prompt{"s/first", "s/sound"}, ActionSend, ActionSend, []quarantine.Part{"s/first"}},
		{"no parts", nil, ActionSend, ActionSend, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newTestEntry(t, 3, cluster.Loads{})
			var began []quarantine.Part
			WithQuarantine(func(quarantine.CrashID, string, []string) {}, func(quarantine.Crash) {},
				func(parts []quarantine.Part) { began = append(began, parts...) }, func([]quarantine.Part) {}, func(quarantine.CrashID) {})(e.world)
			e.submitPrompt(test.prompt)
			number := e.last().Number()
			evidence := quarantine.New(1)
			for _, backend := range []string{"x0", "x1", "x2"} {
				evidence.Report(e.now, quarantine.NewCrash(quarantine.NewCrashID(backend, 1), 0, []quarantine.Prompt{{"s/first", "s/poison"}}, nil))
			}
			evidence.Run(e.now.Add(2 * time.Second))
			e.snapshot = e.snapshot.WithQuarantine(evidence.View())
			e.step(0, AttemptEnded(number, AttemptLost, LoadReport{}))
			e.c.Assert(e.last().Action(), qt.Equals, test.later)
			if test.later == ActionSend {
				e.step(0, AnswerBegan(number))
				e.c.Assert(began, qt.DeepEquals, test.began)
			}
			e.submitPrompt(test.prompt)
			e.c.Assert(e.last().Action(), qt.Equals, test.action)
		})
	}
}

// TestAnswerRefutesCrash checks that a server that was believed to have crashed, because a
// cut link refused connections, is reported once it answers a request that was sent later.
func TestAnswerRefutesCrash(t *testing.T) {
	for _, test := range []struct {
		name      string
		crash     bool // the server is believed to have crashed
		sentAfter bool
		began     bool
		refutes   bool
	}{
		{"answers a later request", true, true, true, true},
		{"answers an earlier request", true, false, true, false},
		{"does not answer", true, true, false, false},
		{"no crash", false, true, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newTestEntry(t, 1, cluster.Loads{})
			var refuted []quarantine.CrashID
			WithQuarantine(func(quarantine.CrashID, string, []string) {}, func(quarantine.Crash) {}, func([]quarantine.Part) {}, func([]quarantine.Part) {},
				func(id quarantine.CrashID) { refuted = append(refuted, id) })(e.world)
			id := quarantine.NewCrashID("b0", 1)
			if !test.sentAfter {
				e.submitPrompt(nil)
			}
			evidence := quarantine.New(1)
			if test.crash {
				evidence.Report(e.now, quarantine.NewCrash(id, 0, []quarantine.Prompt{{"s/1"}}, nil))
			}
			evidence.Run(e.now)
			e.snapshot = e.snapshot.WithQuarantine(evidence.View())
			if test.sentAfter {
				e.submitPrompt(nil)
			}
			if test.began {
				e.step(0, AnswerBegan(e.last().Number()))
			}
			e.c.Assert(len(refuted) == 1, qt.Equals, test.refutes)
		})
	}
}

// TestSoundPartsAreReported checks that an entry instance says of which suspect parts answers came to
// their end here before, and only of those.
func TestSoundPartsAreReported(t *testing.T) {
	for _, test := range []struct {
		name   string
		status AttemptStatus
		began  bool
		want   []quarantine.Part
	}{
		{"answered", AttemptAnswered, true, []quarantine.Part{"s/first"}},
		{"failure", AttemptAnswered, false, nil},
		{"interrupted", AttemptInterrupted, true, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newTestEntry(t, 3, cluster.Loads{})
			var sound []quarantine.Part
			WithSoundParts(func(parts []quarantine.Part) { sound = append(sound, parts...) })(e.world)
			e.submitPrompt(quarantine.Prompt{"s/first", "s/sound"})
			number := e.last().Number()
			if test.began {
				e.step(0, AnswerBegan(number))
			}
			e.step(0, AttemptEnded(number, test.status, LoadReport{}))
			evidence := quarantine.New(1)
			evidence.Report(e.now, quarantine.NewCrash(quarantine.NewCrashID("x0", 1), 0, []quarantine.Prompt{{"s/first", "s/poison"}}, nil))
			evidence.Run(e.now)
			e.snapshot = e.snapshot.WithQuarantine(evidence.View())
			e.step(0, SnapshotChanged())
			e.c.Assert(sound, qt.DeepEquals, test.want)
		})
	}
}

// submitPrompt submits a request that may run twice, with the given shared parts.
func (e *testEntry) submitPrompt(prompt quarantine.Prompt) {
	r := NewRequest("r", "s", true, false, 2, e.now, e.now.Add(5*time.Second), WithSharedParts(prompt))
	e.step(0, Submit(r, progress.New(), func(d Decision) { e.decisions = append(e.decisions, d) }, func() {}))
}
