package entry

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"papayaquay/core/cluster"
	"papayaquay/core/directory"
	"papayaquay/core/member"
	"papayaquay/core/progress"
	"papayaquay/core/usage"

	qt "github.com/frankban/quicktest"
)

// testEntry is a traffic world with what it decided.
type testEntry struct {
	c         *qt.C
	now       time.Time
	world     *World
	snapshot  *cluster.Snapshot
	decisions []Decision
	abandoned int
	resumable bool // of the requests
	report    usage.Report
}

// newTestEntry returns a world with servers of eight slots, by turns in the
// data centres z0 and z1. The entry is in z0.
func newTestEntry(t testing.TB, servers int, loads cluster.Loads) *testEntry {
	e := &testEntry{c: qt.New(t), now: time.Unix(1000, 0)}
	d := directory.New(1)
	for i := range servers {
		d.Announce(e.now, member.NewBackend(fmt.Sprintf("b%d", i), fmt.Sprintf("b%d:1", i), fmt.Sprintf("z%d", i%2),
			member.ProtocolEngine, 8, 1, 1, member.WithServices("s")))
	}
	e.snapshot = cluster.NewSnapshot(nil, d.Servers(e.now), loads)
	e.world = New("z0", func() *cluster.Snapshot { return e.snapshot }, WithReport(func(r usage.Report) { e.report = r }))
	return e
}

// submit starts a request.
func (e *testEntry) submit(repeatable bool, attempts int, counter *progress.Counter) {
	r := NewRequest("r", "s", repeatable, e.resumable, attempts, e.now, e.now.Add(5*time.Second))
	e.step(0, Submit(r, counter, func(d Decision) { e.decisions = append(e.decisions, d) }, func() { e.abandoned++ }))
}

// step runs one tick after some time.
func (e *testEntry) step(d time.Duration, inputs ...Input) {
	e.now = e.now.Add(d)
	e.world.Step(e.now, inputs)
}

// last returns the newest decision.
func (e *testEntry) last() Decision { return e.decisions[len(e.decisions)-1] }

// TestEnds checks what follows when every attempt ends in one way.
func TestEnds(t *testing.T) {
	for _, test := range []struct {
		name       string
		end        End
		repeatable bool
		attempts   int
		sends      int
		action     Action // of the last decision
	}{
		{"answered", EndAnswered, false, 1, 1, ActionSend},
		{"once, answer lost", EndLost, false, 1, 1, ActionFail},
		{"once, broken off", EndInterrupted, false, 3, 1, ActionFail},
		{"once, not run", EndNotRun, false, 1, 4, ActionRefuse},
		{"once, unreachable", EndUnreachable, false, 1, 4, ActionRefuse},
		{"repeatable, answer lost", EndLost, true, 3, 3, ActionFail},
		{"resumable, broken off", EndInterrupted, true, 2, 2, ActionFail},
		{"repeatable but not resumable, broken off", EndInterrupted, true, 3, 1, ActionFail},
		{"caller gone", EndCallerGone, true, 3, 1, ActionSend},
		{"no slot anywhere", EndNoSlot, false, 1, 4, ActionRefuse},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newTestEntry(t, 4, nil)
			e.resumable = strings.HasPrefix(test.name, "resumable")
			e.submit(test.repeatable, test.attempts, progress.New())
			for n := 0; n < len(e.decisions) && e.last().Action() == ActionSend && n < 10; n++ {
				e.step(time.Millisecond, AttemptEnded(e.last().Number(), test.end, LoadReport{}))
			}
			sends := 0
			for _, d := range e.decisions {
				if d.Action() == ActionSend {
					sends++
				}
			}
			e.c.Assert(sends, qt.Equals, test.sends)
			e.c.Assert(e.last().Action(), qt.Equals, test.action)
			e.c.Assert(e.world.Len(), qt.Equals, 0)
			e.c.Assert(e.report.Running(), qt.HasLen, 0)
		})
	}
}

// TestChoice checks that requests go where slots are free, counting what the
// other entries run.
func TestChoice(t *testing.T) {
	for _, test := range []struct {
		name  string
		loads cluster.Loads
		want  string
	}{
		{"others fill one", cluster.Loads{"b0": usage.NewLoad(8, 0)}, "b1"},
		{"batch fills one", cluster.Loads{"b0": usage.NewLoad(1, 7)}, "b1"},
		{"batch gives way", cluster.Loads{"b0": usage.NewLoad(4, 4), "b1": usage.NewLoad(8, 0)}, "b0"},
		{"both full, the shorter queue", cluster.Loads{"b0": usage.NewLoad(12, 0), "b1": usage.NewLoad(8, 0)}, "b1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			for range 20 {
				e := newTestEntry(t, 2, test.loads)
				e.submit(false, 1, progress.New())
				e.c.Assert(e.last().Backend().ID(), qt.Equals, test.want)
			}
		})
	}
}

// TestReserve checks that slots are reserved where servers look nearly full, that
// a refusal is no attempt, and that a request is sent without a slot in the end.
func TestReserve(t *testing.T) {
	for _, test := range []struct {
		name    string
		tokens  int
		loads   cluster.Loads // of both servers
		reserve bool
	}{
		{"idle", 100, cluster.Loads{"b0": usage.NewLoad(1, 0)}, false},
		{"nearly full", 100, cluster.Loads{"b0": usage.NewLoad(7, 0), "b1": usage.NewLoad(7, 0)}, true},
		{"nearly full, no reservations", 0, cluster.Loads{"b0": usage.NewLoad(7, 0), "b1": usage.NewLoad(7, 0)}, false},
		{"nearly full with batch", 100, cluster.Loads{"b0": usage.NewLoad(4, 3), "b1": usage.NewLoad(4, 3)}, true},
		{"full of batch", 100, cluster.Loads{"b0": usage.NewLoad(7, 1), "b1": usage.NewLoad(7, 1)}, false},
		{"full", 100, cluster.Loads{"b0": usage.NewLoad(8, 0), "b1": usage.NewLoad(8, 0)}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newTestEntry(t, 2, test.loads)
			r := NewRequest("r", "s", false, false, 1, e.now, e.now.Add(5*time.Second), WithReservation(test.tokens))
			e.step(0, Submit(r, progress.New(), func(d Decision) { e.decisions = append(e.decisions, d) }, func() {}))
			e.c.Assert(e.last().Reserve(), qt.Equals, test.reserve)
			if !test.reserve {
				return
			}
			first := e.last().Backend().ID()
			e.step(time.Millisecond, AttemptEnded(e.last().Number(), EndNoSlot, LoadReport{}))
			e.c.Assert(e.last().Action(), qt.Equals, ActionSend)
			e.c.Assert(e.last().Backend().ID() == first, qt.IsFalse)
		})
	}
}

// TestSilence checks that a server without any progress gets no further
// requests, and that only what may be repeated is taken away from it.
func TestSilence(t *testing.T) {
	for _, test := range []struct {
		name       string
		repeatable bool
		attempts   int
		abandoned  int
	}{
		{"once", false, 1, 0},
		{"repeatable", true, 2, 1},
		{"repeatable, last attempt", true, 1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newTestEntry(t, 2, nil)
			e.submit(test.repeatable, test.attempts, progress.New())
			silent := e.last().Backend().ID()
			for range 20 {
				e.step(watchEvery)
			}
			e.c.Assert(e.abandoned, qt.Equals, test.abandoned)
			for range 10 {
				counter := progress.New()
				e.submit(false, 1, counter)
				counter.Increment()
				e.c.Assert(e.last().Backend().ID() == silent, qt.IsFalse)
			}
		})
	}
}

// TestOverload checks that a request is refused only when no server could run
// it in time, and never after it may have run.
func TestOverload(t *testing.T) {
	full := usage.NewLoad(8+queueAllowed, 0)
	for _, test := range []struct {
		name   string
		loads  cluster.Loads
		action Action
	}{
		{"all full", cluster.Loads{"b0": full, "b1": full}, ActionRefuse},
		{"one with room", cluster.Loads{"b0": full, "b1": usage.NewLoad(8, 0)}, ActionSend},
		{"full of batch", cluster.Loads{"b0": usage.NewLoad(0, 8), "b1": usage.NewLoad(0, 8)}, ActionSend},
		{"loads of others unknown", nil, ActionSend},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newTestEntry(t, 2, test.loads)
			e.submit(true, 3, progress.New())
			e.c.Assert(e.last().Action(), qt.Equals, test.action)
			if test.action == ActionRefuse {
				e.c.Assert(e.last().RetryAfter() > 0, qt.IsTrue)
			}
		})
	}
}

// TestSuspect checks that a server that cannot be reached gets requests again
// only after a probe.
func TestSuspect(t *testing.T) {
	for _, test := range []struct {
		name    string
		reached bool
		used    bool
	}{
		{"reached", true, true},
		{"not reached", false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newTestEntry(t, 2, nil)
			var probed []string
			e.world.probe = func(backend, _ string) { probed = append(probed, backend) }
			e.submit(false, 1, progress.New())
			bad := e.last().Backend().ID()
			e.step(time.Millisecond, AttemptEnded(e.last().Number(), EndUnreachable, LoadReport{}))
			for len(probed) == 0 {
				e.step(watchEvery)
			}
			e.c.Assert(probed, qt.DeepEquals, []string{bad})
			e.step(time.Millisecond, ProbeEnded(bad, test.reached))
			used := false
			for range 40 {
				counter := progress.New()
				e.submit(false, 1, counter)
				counter.Increment()
				used = used || e.last().Backend().ID() == bad
			}
			e.c.Assert(used, qt.Equals, test.used)
		})
	}
}

// TestDarkZone checks that one silent server of another data centre has all of
// its servers probed, and that those out of reach cost no request.
func TestDarkZone(t *testing.T) {
	e := newTestEntry(t, 8, cluster.Loads{"b0": usage.NewLoad(8, 0), "b2": usage.NewLoad(8, 0), "b4": usage.NewLoad(8, 0), "b6": usage.NewLoad(8, 0)})
	var probed []string
	e.world.probe = func(backend, _ string) { probed = append(probed, backend) }
	for range 6 {
		e.submit(false, 1, progress.New())
		e.c.Assert(e.last().Backend().DataCentre(), qt.Equals, "z1")
	}
	e.snapshot = newTestEntry(t, 8, nil).snapshot
	for len(probed) == 0 {
		e.step(watchEvery)
	}
	e.c.Assert(probed, qt.HasLen, 4)
	for _, id := range probed {
		e.step(0, ProbeEnded(id, false))
	}
	for range 20 {
		counter := progress.New()
		e.submit(false, 1, counter)
		counter.Increment()
		e.c.Assert(e.last().Backend().DataCentre(), qt.Equals, "z0")
	}
}

// TestWarm checks that a request goes where a kept connection is likely to be
// free, as long as that server has room.
func TestWarm(t *testing.T) {
	for _, test := range []struct {
		name  string
		kept  time.Duration // as the server said
		pause time.Duration // since its last answer
		load  usage.Load    // of others, on that server
		same  bool          // every request goes there
	}{
		{"just used", 10 * time.Second, time.Millisecond, usage.Load{}, true},
		{"used while connections are kept", 10 * time.Second, 8 * time.Second, usage.Load{}, true},
		{"idle for longer than connections are kept", time.Second, 2 * time.Second, usage.Load{}, false},
		{"the server did not say", 0, 2 * warmFor, usage.Load{}, false},
		{"little room", 10 * time.Second, time.Millisecond, usage.NewLoad(8-reserveFrom, 0), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			elsewhere := 0
			for seed := range uint64(20) {
				e := newTestEntry(t, 8, nil)
				e.world.random = rand.New(rand.NewPCG(seed, 1))
				e.submit(false, 1, progress.New())
				first := e.last()
				e.step(time.Millisecond, HeaderReceived(first.Number(), LoadReport{}.WithIdleTimeout(test.kept)))
				e.step(time.Millisecond, AttemptEnded(first.Number(), EndAnswered, LoadReport{}))
				e.snapshot = cluster.NewSnapshot(nil, e.snapshot.Servers(), cluster.Loads{first.Backend().ID(): test.load})
				e.step(test.pause)
				e.submit(false, 1, progress.New())
				if e.last().Backend().ID() != first.Backend().ID() {
					elsewhere++
				}
			}
			qt.Assert(t, elsewhere == 0, qt.Equals, test.same, qt.Commentf("%d of 20 elsewhere", elsewhere))
		})
	}
}
