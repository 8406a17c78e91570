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

// testEntry is a world with its simulated time and its decisions.
type testEntry struct {
	c                 *qt.C
	now               time.Time
	world             *World
	snapshot          *cluster.Snapshot
	decisions         []Decision
	abandonedAttempts int
	resumable         bool // whether submitted requests are resumable
	report            usage.Report
}

// newTestEntry returns a world with servers of eight slots, alternately in the
// data centres z0 and z1. The entry instance is in z0.
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

// submit submits a request with a deadline in five seconds.
func (e *testEntry) submit(retryable bool, maxAttempts int, counter *progress.Counter) {
	r := NewRequest("r", "s", retryable, e.resumable, maxAttempts, e.now, e.now.Add(5*time.Second))
	e.step(0, Submit(r, counter, func(d Decision) { e.decisions = append(e.decisions, d) }, func() { e.abandonedAttempts++ }))
}

// step advances the time by d and runs one tick.
func (e *testEntry) step(d time.Duration, inputs ...Input) {
	e.now = e.now.Add(d)
	e.world.Step(e.now, inputs)
}

// last returns the newest decision.
func (e *testEntry) last() Decision { return e.decisions[len(e.decisions)-1] }

// TestDecisionsAfterAttemptEnds checks how often a request is sent and its last
// decision when every attempt ends in the same way.
func TestDecisionsAfterAttemptEnds(t *testing.T) {
	for _, test := range []struct {
		name      string
		status    AttemptStatus
		retryable bool
		attempts  int
		sends     int
		action    Action // of the last decision
	}{
		{"answered", AttemptAnswered, false, 1, 1, ActionSend},
		{"aborted", AttemptAborted, true, 3, 1, ActionSend},
		{"at most once, answer lost", AttemptLost, false, 1, 1, ActionFail},
		{"at most once, interrupted", AttemptInterrupted, false, 3, 1, ActionFail},
		{"at most once, not run", AttemptNotRun, false, 1, 4, ActionReject},
		{"at most once, unreachable", AttemptUnreachable, false, 1, 4, ActionReject},
		{"retryable, answer lost", AttemptLost, true, 3, 3, ActionFail},
		{"resumable, interrupted", AttemptInterrupted, true, 2, 2, ActionFail},
		{"retryable but not resumable, interrupted", AttemptInterrupted, true, 3, 1, ActionFail},
		{"caller gone", AttemptCallerGone, true, 3, 1, ActionSend},
		{"no slot on any server", AttemptNoSlot, false, 1, 4, ActionReject},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newTestEntry(t, 4, nil)
			e.resumable = strings.HasPrefix(test.name, "resumable")
			e.submit(test.retryable, test.attempts, progress.New())
			for n := 0; n < len(e.decisions) && e.last().Action() == ActionSend && n < 10; n++ {
				e.step(time.Millisecond, AttemptEnded(e.last().Number(), test.status, LoadReport{}))
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

// TestChoosesServerWithFreeSlots checks that requests are sent to servers with
// free slots, given the load from other instances.
func TestChoosesServerWithFreeSlots(t *testing.T) {
	for _, test := range []struct {
		name  string
		loads cluster.Loads
		want  string
	}{
		{"other entry instances fill one", cluster.Loads{"b0": usage.NewLoad(8, 0)}, "b1"},
		{"batch fills one", cluster.Loads{"b0": usage.NewLoad(1, 7)}, "b1"},
		{"batch is preempted", cluster.Loads{"b0": usage.NewLoad(4, 4), "b1": usage.NewLoad(8, 0)}, "b0"},
		{"both full, shorter queue", cluster.Loads{"b0": usage.NewLoad(12, 0), "b1": usage.NewLoad(8, 0)}, "b1"},
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

// TestReservesOnNearlyFullServers checks that slots are reserved on servers that
// look nearly full, and that a rejected reservation does not count as an attempt:
// the request is sent to another server.
func TestReservesOnNearlyFullServers(t *testing.T) {
	for _, test := range []struct {
		name    string
		tokens  int
		loads   cluster.Loads // of the two servers
		reserve bool
	}{
		{"idle", 100, cluster.Loads{"b0": usage.NewLoad(1, 0)}, false},
		{"nearly full", 100, cluster.Loads{"b0": usage.NewLoad(7, 0), "b1": usage.NewLoad(7, 0)}, true},
		{"nearly full, no reservations", 0, cluster.Loads{"b0": usage.NewLoad(7, 0), "b1": usage.NewLoad(7, 0)}, false},
		{"nearly full with batch", 100, cluster.Loads{"b0": usage.NewLoad(4, 3), "b1": usage.NewLoad(4, 3)}, true},
		{"full with batch", 100, cluster.Loads{"b0": usage.NewLoad(7, 1), "b1": usage.NewLoad(7, 1)}, false},
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
			e.step(time.Millisecond, AttemptEnded(e.last().Number(), AttemptNoSlot, LoadReport{}))
			e.c.Assert(e.last().Action(), qt.Equals, ActionSend)
			e.c.Assert(e.last().Backend().ID() == first, qt.IsFalse)
		})
	}
}

// TestAvoidsStalledServer checks that a server without progress gets no further
// requests, and that only requests that may be retried are abandoned there.
func TestAvoidsStalledServer(t *testing.T) {
	for _, test := range []struct {
		name      string
		retryable bool
		attempts  int
		abandoned int
	}{
		{"at most once", false, 1, 0},
		{"retryable", true, 2, 1},
		{"retryable, last attempt", true, 1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newTestEntry(t, 2, nil)
			e.submit(test.retryable, test.attempts, progress.New())
			stalled := e.last().Backend().ID()
			for range 20 {
				e.step(watchInterval)
			}
			e.c.Assert(e.abandonedAttempts, qt.Equals, test.abandoned)
			for range 10 {
				counter := progress.New()
				e.submit(false, 1, counter)
				counter.Increment()
				e.c.Assert(e.last().Backend().ID() == stalled, qt.IsFalse)
			}
		})
	}
}

// TestRejectsWhenOverloaded checks that a request is rejected only if the load is
// known and no server can run it in time.
func TestRejectsWhenOverloaded(t *testing.T) {
	full := usage.NewLoad(8+maxQueuedOnline, 0)
	for _, test := range []struct {
		name   string
		loads  cluster.Loads
		action Action
	}{
		{"all full", cluster.Loads{"b0": full, "b1": full}, ActionReject},
		{"one with a free place in its queue", cluster.Loads{"b0": full, "b1": usage.NewLoad(8, 0)}, ActionSend},
		{"full with batch", cluster.Loads{"b0": usage.NewLoad(0, 8), "b1": usage.NewLoad(0, 8)}, ActionSend},
		{"loads of other instances unknown", nil, ActionSend},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newTestEntry(t, 2, test.loads)
			e.submit(true, 3, progress.New())
			e.c.Assert(e.last().Action(), qt.Equals, test.action)
			if test.action == ActionReject {
				e.c.Assert(e.last().RetryAfter() > 0, qt.IsTrue)
			}
		})
	}
}

// TestProbesUnreachableServer checks that an unreachable server gets requests
// again only after a successful probe.
func TestProbesUnreachableServer(t *testing.T) {
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
			unreachable := e.last().Backend().ID()
			e.step(time.Millisecond, AttemptEnded(e.last().Number(), AttemptUnreachable, LoadReport{}))
			for len(probed) == 0 {
				e.step(watchInterval)
			}
			e.c.Assert(probed, qt.DeepEquals, []string{unreachable})
			e.step(time.Millisecond, ProbeEnded(unreachable, test.reached))
			chosen := false
			for range 40 {
				counter := progress.New()
				e.submit(false, 1, counter)
				counter.Increment()
				chosen = chosen || e.last().Backend().ID() == unreachable
			}
			e.c.Assert(chosen, qt.Equals, test.used)
		})
	}
}

// TestProbesWholeDataCentre checks that stalled servers in another data centre
// cause a probe of all servers there, and that no request is sent to servers whose
// probe failed.
func TestProbesWholeDataCentre(t *testing.T) {
	e := newTestEntry(t, 8, cluster.Loads{"b0": usage.NewLoad(8, 0), "b2": usage.NewLoad(8, 0), "b4": usage.NewLoad(8, 0), "b6": usage.NewLoad(8, 0)})
	var probed []string
	e.world.probe = func(backend, _ string) { probed = append(probed, backend) }
	for range 6 {
		e.submit(false, 1, progress.New())
		e.c.Assert(e.last().Backend().DataCentre(), qt.Equals, "z1")
	}
	e.snapshot = newTestEntry(t, 8, nil).snapshot
	for len(probed) == 0 {
		e.step(watchInterval)
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

// TestPrefersIdleConnection checks that a request is sent to a server that
// probably has an idle connection if that server has enough free slots.
func TestPrefersIdleConnection(t *testing.T) {
	for _, test := range []struct {
		name  string
		idle  time.Duration // idle timeout that the server reported
		pause time.Duration // since its last answer
		load  usage.Load    // from other instances on that server
		same  bool          // whether all requests are sent to that server
	}{
		{"just used", 10 * time.Second, time.Millisecond, usage.Load{}, true},
		{"idle for less than the idle timeout", 10 * time.Second, 8 * time.Second, usage.Load{}, true},
		{"idle for longer than the idle timeout", time.Second, 2 * time.Second, usage.Load{}, false},
		{"no idle timeout reported", 0, 2 * defaultIdleTimeout, usage.Load{}, false},
		{"few free slots", 10 * time.Second, time.Millisecond, usage.NewLoad(8-reserveMaxFree, 0), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			others := 0
			for seed := range uint64(20) {
				e := newTestEntry(t, 8, nil)
				e.world.random = rand.New(rand.NewPCG(seed, 1))
				e.submit(false, 1, progress.New())
				first := e.last()
				e.step(time.Millisecond, HeaderReceived(first.Number(), LoadReport{}.WithIdleTimeout(test.idle)))
				e.step(time.Millisecond, AttemptEnded(first.Number(), AttemptAnswered, LoadReport{}))
				e.snapshot = cluster.NewSnapshot(nil, e.snapshot.Servers(), cluster.Loads{first.Backend().ID(): test.load})
				e.step(test.pause)
				e.submit(false, 1, progress.New())
				if e.last().Backend().ID() != first.Backend().ID() {
					others++
				}
			}
			qt.Assert(t, others == 0, qt.Equals, test.same, qt.Commentf("%d of 20 sent to other servers", others))
		})
	}
}
