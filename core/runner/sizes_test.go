package runner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"papayaquay/core/batch"

	qt "github.com/frankban/quicktest"
)

// Shape of the simulated load: bursts of online requests leave few slots for items.
const (
	simulationStep   = 50 * time.Millisecond
	simulatedPace    = 50 * time.Millisecond // per event
	simulatedSlots   = 4                     // of each server
	burstPeriod      = 5800 * time.Millisecond
	burstStart       = 3400 * time.Millisecond
	simulatedDue     = 18 * time.Second
	minEvents        = 45
	maxEvents        = 168
	itemsPerJob      = 8
	simulatedServers = 6
)

// simulatedAttempt is an attempt that a simulated server runs.
type simulatedAttempt struct {
	attempt Attempt
	started time.Time
}

// simulatedFleet runs the attempts of a runner on servers of constant pace.
type simulatedFleet struct {
	*testRunner
	random   *rand.Rand
	events   map[itemKey]int // size of each item
	due      map[string]time.Time
	inTime   map[itemKey]bool
	attempts []simulatedAttempt
}

// newSimulatedFleet returns a fleet without jobs.
func newSimulatedFleet(t testing.TB, seed uint64) *simulatedFleet {
	f := &simulatedFleet{testRunner: newTestRunner(t, 0, simulatedServers), random: rand.New(rand.NewPCG(seed, 1)),
		events: make(map[itemKey]int), due: make(map[string]time.Time), inTime: make(map[itemKey]bool)}
	return f
}

// submitJob submits a job with items of random sizes.
func (f *simulatedFleet) submitJob(n int) {
	id := fmt.Sprintf("sized%d-", n)
	for item := range itemsPerJob {
		f.events[itemKey{id, item}] = minEvents + f.random.IntN(maxEvents-minEvents+1)
	}
	f.due[id] = f.now.Add(simulatedDue)
	f.submit(id, itemsPerJob, simulatedDue)
}

// setOnline sets the online requests of each server: few between bursts, all slots in
// most servers during a burst.
func (f *simulatedFleet) setOnline(elapsed time.Duration) {
	for n := range simulatedServers {
		online := 1
		if elapsed%burstPeriod >= burstStart {
			online = simulatedSlots - n/5
		}
		f.onlineRequests[fmt.Sprintf("b%d", n)] = online
	}
}

// step advances the fleet: attempts that were stopped or are complete end.
func (f *simulatedFleet) step() {
	for _, a := range f.started {
		f.attempts = append(f.attempts, simulatedAttempt{attempt: a, started: f.now})
	}
	f.started = nil
	f.tick(simulationStep)
	stopped := f.stopped
	f.stopped = nil
	f.attempts = slices.DeleteFunc(f.attempts, func(a simulatedAttempt) bool {
		a.attempt.Progress().Increment()
		return f.endAttempt(a, slices.Contains(stopped, a.attempt.Number()))
	})
	if outputs := f.world.TakeOutputs(); len(outputs) > 0 {
		f.state.Apply(batch.Store(outputs))
		for _, output := range outputs {
			if j, ok := f.state.Job(output.Job()); ok {
				f.world.ResultApplied(j, output)
			}
		}
	}
}

// endAttempt reports the end of an attempt if it is complete or was stopped.
func (f *simulatedFleet) endAttempt(a simulatedAttempt, stopped bool) bool {
	var item int
	_, _ = fmt.Sscanf(a.attempt.Item().ID()[len(a.attempt.Job()):], "%d", &item)
	key := itemKey{a.attempt.Job(), item}
	reached := int(a.attempt.LastEvent()) + int(f.now.Sub(a.started)/simulatedPace)
	switch {
	case reached >= f.events[key]:
		f.inTime[key] = !f.now.After(f.due[key.job])
		f.report(a.attempt, AttemptDone, "x", uint64(f.events[key]))
	case stopped:
		f.report(a.attempt, AttemptStopped, "x", uint64(reached))
	default:
		return false
	}
	return true
}

// servedShare returns the share of the items that were complete in time among those
// with the given ranks by size, as fractions of all items.
func (f *simulatedFleet) servedShare(from, to float64) float64 {
	keys := make([]itemKey, 0, len(f.events))
	for key := range f.events {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b itemKey) int { return f.events[a] - f.events[b] })
	keys = keys[int(from*float64(len(keys))):int(to*float64(len(keys)))]
	count := 0
	for _, key := range keys {
		if f.inTime[key] {
			count++
		}
	}
	return float64(count) / float64(len(keys))
}

// TestLargeItemsServed guards against large items that are served less than half as
// often as all items when online requests preempt them.
func TestLargeItemsServed(t *testing.T) {
	const (
		length       = 90 * time.Second
		minimumShare = 0.5 // of the share of all items
	)
	for _, test := range []struct {
		name      string
		jobPeriod time.Duration
		seed      uint64
	}{
		{"nearly all fit, seed 1", 4 * time.Second, 1},
		{"nearly all fit, seed 2", 4 * time.Second, 2},
		{"nearly all fit, seed 3", 4 * time.Second, 3},
		{"two thirds fit, seed 1", 3500 * time.Millisecond, 1},
		{"two thirds fit, seed 2", 3500 * time.Millisecond, 2},
		{"two thirds fit, seed 3", 3500 * time.Millisecond, 3},
		{"half fit, seed 1", 3 * time.Second, 1},
		{"half fit, seed 2", 3 * time.Second, 2},
		{"half fit, seed 3", 3 * time.Second, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newSimulatedFleet(t, test.seed)
			begin, jobs := f.now, 0
			for elapsed := time.Duration(0); elapsed < length; elapsed = f.now.Sub(begin) {
				f.setOnline(elapsed)
				if elapsed >= time.Duration(jobs)*test.jobPeriod && elapsed < length-simulatedDue {
					f.submitJob(jobs)
					jobs++
				}
				f.step()
			}
			all := f.servedShare(0, 1)
			t.Logf("served in time: all %.2f, largest tenth %.2f, fifth below it %.2f", all, f.servedShare(0.9, 1), f.servedShare(0.7, 0.9))
			f.c.Check(f.servedShare(0.9, 1) >= minimumShare*all, qt.IsTrue)
			f.c.Check(f.servedShare(0.7, 0.9) >= minimumShare*all, qt.IsTrue)
		})
	}
}
