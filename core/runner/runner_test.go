package runner

import (
	"fmt"
	"testing"
	"time"

	"papayaquay/core/batch"
	"papayaquay/core/directory"
	"papayaquay/core/member"
	"papayaquay/core/routing"

	qt "github.com/frankban/quicktest"
)

// wallClockOffset is the difference between the wall clock and the clock of the ticks.
const wallClockOffset = 50 * 365 * 24 * time.Hour

// testRunner is a runner with one job. It records the attempts that the runner starts
// and stops.
type testRunner struct {
	c              *qt.C
	now            time.Time
	world          *World
	state          *batch.State
	onlineRequests map[string]int
	started        []Attempt
	stopped        []uint64
}

// newTestRunner returns a runner on the leader, with servers of four slots each.
func newTestRunner(t testing.TB, items, servers int) *testRunner {
	r := &testRunner{c: qt.New(t), now: time.Unix(1000, 0), state: batch.New(), onlineRequests: make(map[string]int)}
	r.world = New(WithAttempts(func(a Attempt) { r.started = append(r.started, a) },
		func(number uint64) { r.stopped = append(r.stopped, number) }),
		WithOnline(func(backend string) int { return r.onlineRequests[backend] }))
	route := routing.NewRoute("r", "h", "/p/", routing.KindBatch, time.Second, routing.WithTargets(routing.NewTarget("s", 1)))
	config, err := routing.New(1, []routing.Route{route}, []routing.Service{routing.NewService("s", "", 0, 4)}, routing.Limits{})
	r.c.Assert(err, qt.IsNil)
	var list []directory.Server
	d := directory.New(1)
	for i := range servers {
		d.Announce(r.now, member.NewBackend(fmt.Sprintf("b%d", i), fmt.Sprintf("b%d:1", i), "z", member.ProtocolEngine, 4, 1, 1, member.WithServices("s")))
	}
	list = d.Servers(r.now)
	r.world.Update(config, list, true)
	r.world.SetLeading(r.now, true, r.state)
	r.now = r.now.Add(leadershipDelay)
	r.submit("job", items, 18*time.Second)
	return r
}

// submit submits a job and passes it to the runner.
func (r *testRunner) submit(id string, items int, due time.Duration) {
	var list []batch.Item
	for i := range items {
		list = append(list, batch.NewItem(fmt.Sprint(id, i), "/p/x", nil, nil, 1))
	}
	wallClock := r.now.Add(wallClockOffset)
	r.state.Apply(batch.Submit(batch.NewJobSpec(id, "r", "h", list, batch.WithTimes(wallClock, wallClock.Add(due), wallClock.Add(time.Minute)), batch.WithLimits(0, 3))))
	j, _ := r.state.Job(id)
	r.world.Accept(r.now, j)
}

// tick advances the clock by d, at least by fillInterval, and runs the systems.
func (r *testRunner) tick(d time.Duration) {
	r.now = r.now.Add(max(d, fillInterval))
	r.world.Run(r.now)
}

// report reports the status and the output of an attempt.
func (r *testRunner) report(a Attempt, status AttemptStatus, text string, lastEvent uint64) {
	r.world.Receive(r.now, NewAttemptReport(a.Number(), status, []byte(text), lastEvent))
}

// TestFill checks that items take the slots that online requests leave free.
func TestFill(t *testing.T) {
	for _, test := range []struct {
		name    string
		online  int
		running int
	}{
		{"idle server", 0, 4},
		{"half full", 2, 2},
		{"full", 4, 0},
		{"over its slots", 6, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newTestRunner(t, 10, 1)
			r.onlineRequests["b0"] = test.online
			r.tick(0)
			r.c.Assert(r.started, qt.HasLen, test.running)
		})
	}
}

// TestPreempt checks that online requests preempt items at once, and that the items
// resume after their last event and end with the complete text.
func TestPreempt(t *testing.T) {
	r := newTestRunner(t, 3, 2)
	r.tick(0)
	r.c.Assert(r.started, qt.HasLen, 3)
	busy := r.started[0].Backend().ID()
	r.onlineRequests[busy] = 4
	for range 3 {
		r.tick(time.Millisecond)
		for _, number := range r.stopped {
			for _, a := range r.started {
				if a.Number() == number {
					r.report(a, AttemptStopped, "one\ntwo", 2)
				}
			}
		}
		r.stopped = nil
	}
	r.c.Assert(r.world.RunningItems(busy), qt.Equals, 0)
	r.tick(time.Second)
	last := r.started[len(r.started)-1]
	r.c.Assert(last.LastEvent(), qt.Equals, uint64(2))
	r.c.Assert(last.Backend().ID() == busy, qt.IsFalse)
	r.report(last, AttemptDone, "three", 3)
	outputs := r.world.TakeOutputs()
	r.c.Assert(outputs, qt.HasLen, 1)
	r.c.Assert(string(outputs[0].Result().Text()), qt.Equals, "one\ntwo\nthree")
}

// TestResumeOnNewLeader checks that a new leader resumes an item after the output that
// the previous leader stored.
func TestResumeOnNewLeader(t *testing.T) {
	for _, test := range []struct {
		name        string
		lastEvent   uint64
		resumeAfter uint64
		text        string
	}{
		{"enough events to store", minStoreEvents, minStoreEvents, "old\nnew"},
		{"too few events to store", minStoreEvents - 1, 0, "new"},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newTestRunner(t, 1, 1)
			r.tick(0)
			r.report(r.started[0], AttemptPartial, "old", test.lastEvent)
			r.state.Apply(batch.Store(r.world.TakeOutputs()))
			r.world.SetLeading(r.now, false, r.state)
			r.c.Assert(r.stopped, qt.HasLen, 1)
			r.report(r.started[0], AttemptStopped, "lost", test.lastEvent+1)
			r.world.SetLeading(r.now, true, r.state)
			r.tick(leadershipDelay)
			resumed := r.started[1]
			r.c.Assert(resumed.LastEvent(), qt.Equals, test.resumeAfter)
			r.report(resumed, AttemptDone, "new", test.lastEvent+9)
			r.state.Apply(batch.Store(r.world.TakeOutputs()))
			j, _ := r.state.Job("job")
			r.c.Assert(string(j.Results()[0].Text()), qt.Equals, test.text)
		})
	}
}

// TestRegainedLeadership checks that reports of an attempt from an earlier leadership
// epoch are ignored when the instance becomes the leader again. The output that the
// attempt reported before is lost, so that its new output does not continue any.
func TestRegainedLeadership(t *testing.T) {
	for _, test := range []struct {
		name   string
		status AttemptStatus
	}{
		{"stopped", AttemptStopped},
		{"done", AttemptDone},
		{"partial", AttemptPartial},
		{"failed", AttemptFailed},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newTestRunner(t, 1, 1)
			r.tick(0)
			old := r.started[0]
			r.report(old, AttemptPartial, "one", minStoreEvents-1)
			r.world.TakeOutputs()
			r.world.SetLeading(r.now, false, r.state)
			r.world.SetLeading(r.now, true, r.state)
			r.tick(leadershipDelay)
			r.c.Assert(r.started, qt.HasLen, 2)
			r.report(old, test.status, "two", 2*minStoreEvents)
			r.c.Assert(r.world.TakeOutputs(), qt.HasLen, 0)
			r.tick(time.Second)
			r.c.Assert(r.started, qt.HasLen, 2)
			r.report(r.started[1], AttemptDone, "all", 3*minStoreEvents)
			r.state.Apply(batch.Store(r.world.TakeOutputs()))
			j, _ := r.state.Job("job")
			r.c.Assert(string(j.Results()[0].Text()), qt.Equals, "all")
		})
	}
}

// TestAttemptStatus checks the result of an item whose attempts all end with the same
// status.
func TestAttemptStatus(t *testing.T) {
	for _, test := range []struct {
		name       string
		status     AttemptStatus
		attempts   int // until the item has a result, 0 if it gets none
		itemStatus batch.ItemStatus
	}{
		{"done", AttemptDone, 1, batch.ItemDone},
		{"rejected", AttemptRejected, 1, batch.ItemDeadLettered},
		{"failed in all attempts", AttemptFailed, 3, batch.ItemDeadLettered},
		{"interrupted", AttemptInterrupted, 0, 0},
		{"not run", AttemptNotRun, 0, 0},
		{"unreachable", AttemptUnreachable, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newTestRunner(t, 1, 1)
			var outputs []batch.ItemOutput
			for n := 0; n < 5 && len(outputs) == 0; n++ {
				r.tick(6 * time.Second)
				r.c.Assert(r.started, qt.HasLen, n+1)
				r.report(r.started[n], test.status, "", 0)
				outputs = r.world.TakeOutputs()
			}
			if test.attempts == 0 {
				r.c.Assert(outputs, qt.HasLen, 0)
				return
			}
			r.c.Assert(r.started, qt.HasLen, test.attempts)
			r.c.Assert(outputs[0].Result().Status(), qt.Equals, test.itemStatus)
		})
	}
}

// TestJobOrder checks that jobs run in order of their due times, and that jobs that are
// expected to be late run after the others.
func TestJobOrder(t *testing.T) {
	r := newTestRunner(t, 1, 1)
	r.submit("sooner", 1, 4*time.Second)
	r.submit("latest", 1, 30*time.Second)
	r.tick(3 * time.Second)
	var order []string
	for _, a := range r.started {
		order = append(order, a.Job())
	}
	r.c.Assert(order, qt.DeepEquals, []string{"job", "latest", "sooner"})
}

// TestInterruptedItemGoesOn guards against interrupted items that wait behind new jobs
// although little is left of them.
func TestInterruptedItemGoesOn(t *testing.T) {
	for _, test := range []struct {
		name      string
		lastEvent uint64 // of the interrupted item
		first     string // job that gets the slot
	}{
		{"little left", initialEventsPerItem - 10, "job"},
		{"too much left", 10, "other"},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newTestRunner(t, 1, 1)
			r.onlineRequests["b0"] = 3
			r.tick(0)
			r.tick(15 * time.Second)
			r.report(r.started[0], AttemptStopped, "one", test.lastEvent)
			r.submit("other", 1, 2*time.Minute)
			r.tick(time.Second)
			r.c.Assert(r.started, qt.HasLen, 2)
			r.c.Assert(r.started[1].Job(), qt.Equals, test.first)
		})
	}
}

// TestItemUnderCrashesIsPlacedAgain checks that an item under which servers crashed again
// and again runs once the servers are calm, and gets no result before.
func TestItemUnderCrashesIsPlacedAgain(t *testing.T) {
	for _, test := range []struct {
		name    string
		crashes int
		status  AttemptStatus
	}{
		{"connections lost", 20, AttemptInterrupted},
		{"servers unreachable", 20, AttemptUnreachable},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newTestRunner(t, 1, 3)
			for n := range test.crashes {
				for len(r.started) == n {
					r.tick(100 * time.Millisecond)
				}
				r.report(r.started[n], test.status, "", 0)
				r.c.Assert(r.world.TakeOutputs(), qt.HasLen, 0)
			}
			for calm := r.now; len(r.started) == test.crashes && r.now.Sub(calm) <= maxBackoff; {
				r.tick(100 * time.Millisecond)
			}
			r.c.Assert(r.started, qt.HasLen, test.crashes+1)
			r.report(r.started[test.crashes], AttemptDone, "x", 1)
			r.c.Assert(r.world.TakeOutputs(), qt.HasLen, 1)
		})
	}
}

// TestExpiry checks that waiting items are dead-lettered after the expiry of their job
// and not before.
func TestExpiry(t *testing.T) {
	for _, test := range []struct {
		name         string
		after        time.Duration
		deadLettered int
	}{
		{"in time", time.Minute - 2*time.Second, 0},
		{"expired", time.Minute + 3*time.Second, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newTestRunner(t, 2, 1)
			r.onlineRequests["b0"] = 4
			r.tick(0)
			r.tick(test.after)
			r.tick(time.Second)
			r.c.Assert(r.world.TakeOutputs(), qt.HasLen, test.deadLettered)
		})
	}
}

// TestDrop checks that the items of a cancelled job stop and do not start again.
func TestDrop(t *testing.T) {
	r := newTestRunner(t, 6, 1)
	r.tick(0)
	r.state.Apply(batch.Cancel("job"))
	r.world.Drop("job")
	r.c.Assert(r.stopped, qt.HasLen, 4)
	for _, a := range r.started {
		r.report(a, AttemptStopped, "x", 1)
	}
	r.tick(time.Second)
	r.c.Assert(r.started, qt.HasLen, 4)
}

// TestStalled checks that an item resumes on another server when its attempt receives no
// bytes, and that an attempt that receives bytes keeps running.
func TestStalled(t *testing.T) {
	for _, test := range []struct {
		name         string
		reads        int // number of ticks from the start in which bytes are read
		keepsRunning bool
	}{
		{"never answers", 0, false},
		{"stalls later", 4, false},
		{"answers slowly", 1000, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newTestRunner(t, 1, 2)
			r.tick(0)
			first := r.started[0]
			for n := 0; n < 40 && len(r.started) == 1; n++ {
				if n < test.reads {
					first.Progress().Increment()
				}
				r.tick(idleCheckInterval)
				for _, number := range r.stopped {
					r.report(first, AttemptStopped, "one", 1)
					r.c.Assert(number, qt.Equals, first.Number())
				}
				r.stopped = nil
			}
			r.c.Assert(len(r.started) == 1, qt.Equals, test.keepsRunning)
			if !test.keepsRunning {
				r.c.Assert(r.started[1].Backend().ID() == first.Backend().ID(), qt.IsFalse)
				r.c.Assert(r.started[1].LastEvent(), qt.Equals, uint64(1))
			}
		})
	}
}

// TestSuspendedInstance checks that attempts do not count as stalled because this
// instance itself was suspended.
func TestSuspendedInstance(t *testing.T) {
	r := newTestRunner(t, 1, 2)
	r.tick(0)
	r.started[0].Progress().Increment()
	r.tick(idleCheckInterval)
	r.tick(time.Minute / 2)
	r.c.Assert(r.stopped, qt.HasLen, 0)
}

// TestBackoff checks that an unreachable server gets one item at a time, with growing
// backoff, until bytes arrive from it.
func TestBackoff(t *testing.T) {
	r := newTestRunner(t, 12, 1)
	r.tick(0)
	r.c.Assert(r.started, qt.HasLen, 4)
	for _, a := range r.started {
		r.report(a, AttemptUnreachable, "", 0)
	}
	tried := 0
	for begin := r.now; r.now.Sub(begin) < 4*time.Second; {
		before := len(r.started)
		r.tick(50 * time.Millisecond)
		r.c.Assert(len(r.started)-before <= 1, qt.IsTrue)
		for _, a := range r.started[before:] {
			tried++
			r.report(a, AttemptUnreachable, "", 0)
		}
	}
	r.c.Assert(tried, qt.Equals, 3)
	for len(r.started) < 8 {
		r.tick(50 * time.Millisecond)
	}
	r.started[7].Progress().Increment()
	r.tick(idleCheckInterval)
	r.tick(0)
	r.c.Assert(r.started, qt.HasLen, 11)
}

// TestItemsPreferLimitedServers checks that items use what the limits of servers leave, and
// then the servers without a limit.
func TestItemsPreferLimitedServers(t *testing.T) {
	r := newTestRunner(t, 10, 2)
	const allowed = 3
	r.world.limitRoom = func(now time.Time, b member.Backend) (int, bool) {
		return max(allowed-r.world.Sent(now, b.ID()).Burst(), 0), b.ID() == "b1"
	}
	r.tick(0)
	var backends []string
	for _, a := range r.started {
		backends = append(backends, a.Backend().ID())
	}
	r.c.Assert(backends, qt.DeepEquals, []string{"b1", "b1", "b1", "b0", "b0", "b0", "b0"})
}
