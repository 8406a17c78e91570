package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"papayaquay/core/cluster"
	"papayaquay/core/directory"
	"papayaquay/core/member"
	"papayaquay/core/progress"
	"papayaquay/core/usage"

	qt "github.com/frankban/quicktest"
)

// What a backend server with a limit accepts, as its operators define it.
const (
	limitFactor = 1.5
	limitMargin = 5
)

// limitedFleet is a number of entry instances that share backend servers with limits.
type limitedFleet struct {
	c        *qt.C
	now      time.Time
	random   *rand.Rand
	limits   []float64 // by server, 0 for none
	worlds   []*World
	snapshot []*cluster.Snapshot
	usage    *usage.World
	servers  []directory.Server
	sent     [][]time.Time // by server
	rejected []time.Duration
	ending   []endingRequest
	offline  bool // no loads reach the entry instances
}

// endingRequest is a request that a server answers.
type endingRequest struct {
	world  int
	number uint64
	server int
	at     time.Time
}

// newLimitedFleet returns entry instances and servers with the given limits.
func newLimitedFleet(t testing.TB, entries int, limits []float64) *limitedFleet {
	f := &limitedFleet{c: qt.New(t), now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(21, 1)), limits: limits, usage: usage.New(), sent: make([][]time.Time, len(limits))}
	d := directory.New(1)
	for i := range limits {
		d.Announce(f.now, member.NewBackend(fmt.Sprint(i), fmt.Sprintf("a%d:1", i), "z", member.ProtocolEngine, 8, 1, 1, member.WithServices("s")))
	}
	f.servers = d.Servers(f.now)
	for i := range entries {
		f.snapshot = append(f.snapshot, cluster.NewSnapshot(nil, f.servers, cluster.Loads{}).WithEntries(entries))
		f.worlds = append(f.worlds, New("z", func() *cluster.Snapshot { return f.snapshot[i] }, WithSeed(uint64(i)),
			WithReport(func(r usage.Report) { f.usage.SetReport(f.now, fmt.Sprint(i), r) })))
	}
	return f
}

// publish gives each entry instance the load of the others.
func (f *limitedFleet) publish() {
	for i, w := range f.worlds {
		if f.offline {
			f.snapshot[i] = cluster.NewSnapshot(nil, f.servers, nil).WithEntries(len(f.worlds))
			continue
		}
		loads := make(cluster.Loads)
		own := w.running(f.now)
		f.usage.Each(func(backend string, online int) { loads[backend] = usage.NewLoad(online-own.Running()[backend], 0) })
		for backend, use := range f.usage.Limited(f.now) {
			if use.Limit().PerSecond() > 0 {
				loads[backend] = loads[backend].WithLimit(use.Limit(), use.Sent().Without(own.Limited()[backend].Sent()))
			}
		}
		f.snapshot[i] = cluster.NewSnapshot(nil, f.servers, loads).WithEntries(len(f.worlds))
	}
}

// run sends requests at a rate in requests per second for a time. Loads reach the entry
// instances every staleness.
func (f *limitedFleet) run(d time.Duration, rate float64, staleness time.Duration) {
	nextPublish := f.now
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		if !f.now.Before(nextPublish) {
			f.publish()
			nextPublish = f.now.Add(staleness)
		}
		pending := f.ending
		f.ending = nil
		for _, e := range pending {
			if f.now.Before(e.at) {
				f.ending = append(f.ending, e)
				continue
			}
			load := NewLoadReport(0, 0, 8, 100).WithLimit(f.limits[e.server])
			f.worlds[e.world].Step(f.now, []Input{HeaderReceived(e.number, load), AttemptEnded(e.number, AttemptAnswered, load)})
		}
		if f.random.Float64() < rate/1000 {
			f.submit(f.random.IntN(len(f.worlds)))
		}
	}
}

// submit submits a request at an entry instance. Its server answers after 20 ms.
func (f *limitedFleet) submit(world int) {
	r := NewRequest("r", "s", true, true, 2, f.now, f.now.Add(5*time.Second))
	f.worlds[world].Step(f.now, []Input{Submit(r, progress.New(), func(d Decision) {
		if d.Action() != ActionSend {
			f.rejected = append(f.rejected, d.RetryAfter())
			return
		}
		var server int
		_, err := fmt.Sscan(d.Backend().ID(), &server)
		f.c.Assert(err, qt.IsNil)
		f.sent[server] = append(f.sent[server], f.now)
		f.ending = append(f.ending, endingRequest{world, d.Number(), server, f.now.Add(20 * time.Millisecond)})
	}, func() {})})
}

// checkLimits checks that no server got more than it accepts in any window after from.
func (f *limitedFleet) checkLimits(from time.Time) {
	for server, limit := range f.limits {
		if limit == 0 {
			continue
		}
		var window []time.Time
		for _, at := range f.sent[server] {
			if at.Before(from) {
				continue
			}
			window = append(window, at)
			for at.Sub(window[0]) > usage.BurstWindow {
				window = window[1:]
			}
			f.c.Assert(float64(len(window)) <= limitFactor*limit*usage.BurstWindow.Seconds()+limitMargin, qt.IsTrue,
				qt.Commentf("server %d with a limit of %g a second got %d in %v", server, limit, len(window), usage.BurstWindow))
		}
	}
}

// TestLimitsOfServersAreKept checks that all entry instances together send a backend server
// no more than the limit that it names, as soon as one answer named it.
func TestLimitsOfServersAreKept(t *testing.T) {
	mixed := []float64{0, 0, 0, 0, 0, 2.6, 3.8, 1, 3.3, 0.4, 10, 2.6, 2.6, 5, 1, 3, 2, 4}
	for _, test := range []struct {
		name      string
		entries   int
		rate      float64
		staleness time.Duration
		offline   bool
	}{
		{"14 entries", 14, 83, 20 * time.Millisecond, false},
		{"100 entries", 100, 83, 150 * time.Millisecond, false},
		{"more requests than the servers take", 14, 300, 20 * time.Millisecond, false},
		{"no loads are known", 14, 83, 20 * time.Millisecond, true},
		{"no loads are known to 100 entries", 100, 300, 20 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newLimitedFleet(t, test.entries, mixed)
			f.run(3*time.Second, test.rate, test.staleness)
			from := f.now
			f.offline = test.offline
			f.run(20*time.Second, test.rate, test.staleness)
			f.checkLimits(from)
		})
	}
}

// TestAllServersAtTheirLimits checks that requests are rejected at once, with a time to
// return, when the limits of all servers are reached.
func TestAllServersAtTheirLimits(t *testing.T) {
	f := newLimitedFleet(t, 14, []float64{2, 2, 3})
	f.run(30*time.Second, 60, 20*time.Millisecond)
	f.checkLimits(time.Unix(1003, 0))
	f.c.Assert(len(f.rejected) > 1000, qt.IsTrue)
	for _, retryAfter := range f.rejected {
		f.c.Assert(retryAfter > 0, qt.IsTrue)
	}
	f.c.Assert(len(f.sent[2]) > 3*20, qt.IsTrue, qt.Commentf("the limit was used %d times", len(f.sent[2])))
}

// TestEndedLimit checks that a server without a limit any more is used again, although
// other entry instances know its limit from earlier answers.
func TestEndedLimit(t *testing.T) {
	f := newLimitedFleet(t, 14, []float64{1, 0, 0, 0})
	f.run(10*time.Second, 80, 20*time.Millisecond)
	before := len(f.sent[0])
	f.limits[0] = 0
	f.run(usage.BurstWindow+2*time.Second, 80, 20*time.Millisecond)
	f.run(4*time.Second, 80, 20*time.Millisecond)
	f.c.Assert(len(f.sent[0])-before > 40, qt.IsTrue, qt.Commentf("%d requests", len(f.sent[0])-before))
}
