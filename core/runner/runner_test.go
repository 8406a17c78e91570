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

// timeOfDay is how far the time of day is from the clock of the ticks.
const timeOfDay = 50 * 365 * 24 * time.Hour

// testRun is a runner with one job and what it started and stopped.
type testRun struct {
	c       *qt.C
	now     time.Time
	world   *World
	state   *batch.State
	online  map[string]int
	started []Attempt
	stopped []uint64
}

// newTestRun returns a runner that leads, with servers of four slots.
func newTestRun(t testing.TB, items, servers int) *testRun {
	r := &testRun{c: qt.New(t), now: time.Unix(1000, 0), state: batch.New(), online: make(map[string]int)}
	r.world = New(WithAttempts(func(a Attempt) { r.started = append(r.started, a) },
		func(number uint64) { r.stopped = append(r.stopped, number) }),
		WithOnline(func(backend string) int { return r.online[backend] }))
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
	r.now = r.now.Add(leadPause)
	r.submit("job", items, 18*time.Second)
	return r
}

// submit accepts a job.
func (r *testRun) submit(id string, items int, due time.Duration) {
	var list []batch.Item
	for i := range items {
		list = append(list, batch.NewItem(fmt.Sprint(id, i), "/p/x", nil, nil, 1))
	}
	day := r.now.Add(timeOfDay)
	r.state.Apply(batch.Submit(batch.NewJobSpec(id, "r", "h", list, batch.WithTimes(day, day.Add(due), day.Add(time.Minute)), batch.WithLimits(0, 3))))
	j, _ := r.state.Job(id)
	r.world.Accept(r.now, j)
}

// tick runs the systems after some time, at least that between two looks for
// free slots.
func (r *testRun) tick(d time.Duration) {
	r.now = r.now.Add(max(d, fillEvery))
	r.world.Run(r.now)
}

// status ends an attempt.
func (r *testRun) end(a Attempt, end AttemptStatus, text string, last uint64) {
	r.world.Receive(r.now, NewAttemptReport(a.Number(), end, []byte(text), last))
}

// TestFill checks that batch takes the slots that online requests leave.
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
			r := newTestRun(t, 10, 1)
			r.online["b0"] = test.online
			r.tick(0)
			r.c.Assert(r.started, qt.HasLen, test.running)
		})
	}
}

// TestYield checks that items give way at once and go on after their last
// event, with the whole text.
func TestYield(t *testing.T) {
	r := newTestRun(t, 3, 2)
	r.tick(0)
	r.c.Assert(r.started, qt.HasLen, 3)
	busy := r.started[0].Backend().ID()
	r.online[busy] = 4
	for range 3 {
		r.tick(time.Millisecond)
		for _, number := range r.stopped {
			for _, a := range r.started {
				if a.Number() == number {
					r.end(a, AttemptStopped, "one\ntwo", 2)
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
	r.end(last, AttemptDone, "three", 3)
	finishes := r.world.TakeOutputs()
	r.c.Assert(finishes, qt.HasLen, 1)
	r.c.Assert(string(finishes[0].Result().Text()), qt.Equals, "one\ntwo\nthree")
}

// TestParts checks that a new leader goes on after the output that the one
// before had stored.
func TestParts(t *testing.T) {
	for _, test := range []struct {
		name   string
		last   uint64
		resume uint64
		text   string
	}{
		{"enough to keep", saveEvents, saveEvents, "old\nnew"},
		{"too little", saveEvents - 1, 0, "new"},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newTestRun(t, 1, 1)
			r.tick(0)
			r.end(r.started[0], AttemptPartial, "old", test.last)
			r.state.Apply(batch.Store(r.world.TakeOutputs()))
			r.world.SetLeading(r.now, false, r.state)
			r.c.Assert(r.stopped, qt.HasLen, 1)
			r.end(r.started[0], AttemptStopped, "lost", test.last+1)
			r.world.SetLeading(r.now, true, r.state)
			r.tick(leadPause)
			again := r.started[1]
			r.c.Assert(again.LastEvent(), qt.Equals, test.resume)
			r.end(again, AttemptDone, "new", test.last+9)
			r.state.Apply(batch.Store(r.world.TakeOutputs()))
			j, _ := r.state.Job("job")
			r.c.Assert(string(j.Results()[0].Text()), qt.Equals, test.text)
		})
	}
}

// TestRegainedLead checks that an attempt that outlives the lead that started
// it adds nothing when the lead comes back: what it told before is not known.
func TestRegainedLead(t *testing.T) {
	for _, test := range []struct {
		name string
		end  AttemptStatus
	}{
		{"stopped", AttemptStopped},
		{"done", AttemptDone},
		{"part", AttemptPartial},
		{"failed", AttemptFailed},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newTestRun(t, 1, 1)
			r.tick(0)
			old := r.started[0]
			r.end(old, AttemptPartial, "one", saveEvents-1)
			r.world.TakeOutputs()
			r.world.SetLeading(r.now, false, r.state)
			r.world.SetLeading(r.now, true, r.state)
			r.tick(leadPause)
			r.c.Assert(r.started, qt.HasLen, 2)
			r.end(old, test.end, "two", 2*saveEvents)
			r.c.Assert(r.world.TakeOutputs(), qt.HasLen, 0)
			r.tick(time.Second)
			r.c.Assert(r.started, qt.HasLen, 2)
			r.end(r.started[1], AttemptDone, "all", 3*saveEvents)
			r.state.Apply(batch.Store(r.world.TakeOutputs()))
			j, _ := r.state.Job("job")
			r.c.Assert(string(j.Results()[0].Text()), qt.Equals, "all")
		})
	}
}

// TestEnds checks what becomes of an item whose attempts all end in one way.
func TestEnds(t *testing.T) {
	for _, test := range []struct {
		name     string
		end      AttemptStatus
		attempts int // until there is a result; 0 when there is none
		verdict  batch.ItemStatus
	}{
		{"done", AttemptDone, 1, batch.ItemDone},
		{"impossible", AttemptRejected, 1, batch.ItemDeadLettered},
		{"failed as often as allowed", AttemptFailed, 3, batch.ItemDeadLettered},
		{"broken", AttemptInterrupted, 0, 0},
		{"not run", AttemptNotRun, 0, 0},
		{"unreachable", AttemptUnreachable, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newTestRun(t, 1, 1)
			var finishes []batch.ItemOutput
			for n := 0; n < 5 && len(finishes) == 0; n++ {
				r.tick(6 * time.Second)
				r.c.Assert(r.started, qt.HasLen, n+1)
				r.end(r.started[n], test.end, "", 0)
				finishes = r.world.TakeOutputs()
			}
			if test.attempts == 0 {
				r.c.Assert(finishes, qt.HasLen, 0)
				return
			}
			r.c.Assert(r.started, qt.HasLen, test.attempts)
			r.c.Assert(finishes[0].Result().Status(), qt.Equals, test.verdict)
		})
	}
}

// TestOrder checks that jobs that are due first run first and that late ones
// come after those that can still be in time.
func TestOrder(t *testing.T) {
	r := newTestRun(t, 1, 1)
	r.submit("sooner", 1, 4*time.Second)
	r.submit("latest", 1, 30*time.Second)
	r.tick(3 * time.Second)
	var order []string
	for _, a := range r.started {
		order = append(order, a.Job())
	}
	r.c.Assert(order, qt.DeepEquals, []string{"job", "latest", "sooner"})
}

// TestExpiry checks that waiting items are given up when they may be, not
// sooner.
func TestExpiry(t *testing.T) {
	for _, test := range []struct {
		name  string
		after time.Duration
		dead  int
	}{
		{"in time", time.Minute - 2*time.Second, 0},
		{"expired", time.Minute + 3*time.Second, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newTestRun(t, 2, 1)
			r.online["b0"] = 4
			r.tick(0)
			r.tick(test.after)
			r.tick(time.Second)
			r.c.Assert(r.world.TakeOutputs(), qt.HasLen, test.dead)
		})
	}
}

// TestDrop checks that the items of an ended job stop and never start again.
func TestDrop(t *testing.T) {
	r := newTestRun(t, 6, 1)
	r.tick(0)
	r.state.Apply(batch.Cancel("job"))
	r.world.Drop("job")
	r.c.Assert(r.stopped, qt.HasLen, 4)
	for _, a := range r.started {
		r.end(a, AttemptStopped, "x", 1)
	}
	r.tick(time.Second)
	r.c.Assert(r.started, qt.HasLen, 4)
}

// TestSilence checks that an item goes on elsewhere when nothing comes of its
// attempt, and that an attempt whose bytes arrive is left alone.
func TestSilence(t *testing.T) {
	for _, test := range []struct {
		name  string
		reads int // ticks with a read, counted from the start
		alive bool
	}{
		{"never answers", 0, false},
		{"falls silent", 4, false},
		{"answers slowly", 1000, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newTestRun(t, 1, 2)
			r.tick(0)
			first := r.started[0]
			for n := 0; n < 40 && len(r.started) == 1; n++ {
				if n < test.reads {
					first.Progress().Increment()
				}
				r.tick(watchEvery)
				for _, number := range r.stopped {
					r.end(first, AttemptStopped, "one", 1)
					r.c.Assert(number, qt.Equals, first.Number())
				}
				r.stopped = nil
			}
			r.c.Assert(len(r.started) == 1, qt.Equals, test.alive)
			if !test.alive {
				r.c.Assert(r.started[1].Backend().ID() == first.Backend().ID(), qt.IsFalse)
				r.c.Assert(r.started[1].LastEvent(), qt.Equals, uint64(1))
			}
		})
	}
}

// TestSuspended checks that attempts are not taken for silent because this
// instance itself stood still.
func TestSuspended(t *testing.T) {
	r := newTestRun(t, 1, 2)
	r.tick(0)
	r.started[0].Progress().Increment()
	r.tick(watchEvery)
	r.tick(time.Minute / 2)
	r.c.Assert(r.stopped, qt.HasLen, 0)
}

// TestDoubt checks that a server that cannot be reached is tried with one item
// at a time, with growing pauses, until bytes come of one.
func TestDoubt(t *testing.T) {
	r := newTestRun(t, 12, 1)
	r.tick(0)
	r.c.Assert(r.started, qt.HasLen, 4)
	for _, a := range r.started {
		r.end(a, AttemptUnreachable, "", 0)
	}
	tried := 0
	for begin := r.now; r.now.Sub(begin) < 4*time.Second; {
		before := len(r.started)
		r.tick(50 * time.Millisecond)
		r.c.Assert(len(r.started)-before <= 1, qt.IsTrue)
		for _, a := range r.started[before:] {
			tried++
			r.end(a, AttemptUnreachable, "", 0)
		}
	}
	r.c.Assert(tried, qt.Equals, 3)
	for len(r.started) < 8 {
		r.tick(50 * time.Millisecond)
	}
	r.started[7].Progress().Increment()
	r.tick(watchEvery)
	r.tick(0)
	r.c.Assert(r.started, qt.HasLen, 11)
}
