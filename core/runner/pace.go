package runner

import "time"

// Estimates before the first item ended.
const (
	firstEvents  = 150                   // events of an item
	firstPerItem = 6 * time.Second       // run of an item without interruption
	paceWeight   = 0.1                   // of the newest item in the averages
	slack        = 1.4                   // runs are interrupted by bursts of online requests
	minEvent     = 10 * time.Microsecond // guards the average against empty runs
)

// pace estimates how long items run.
type pace struct {
	events   float64 // of an item
	perEvent time.Duration
}

// newPace returns the estimates before anything was seen.
func newPace() pace { return pace{events: firstEvents, perEvent: firstPerItem / firstEvents} }

// note takes a run of so many events, the last one of its item if done.
func (p *pace) note(ran time.Duration, events, last uint64, done bool) {
	if events > 0 {
		each := max(ran/time.Duration(events), minEvent)
		p.perEvent += time.Duration(paceWeight * float64(each-p.perEvent))
	}
	if done {
		p.events += paceWeight * (float64(last) - p.events)
	}
}

// left returns how long an item is expected to run after an event.
func (p *pace) left(last uint64) time.Duration {
	events := max(p.events-float64(last), 1)
	return time.Duration(events * float64(p.perEvent))
}

// late reports whether an item that is due then can no longer be in time.
func (p *pace) late(now, due time.Time, last uint64) bool {
	return now.Add(time.Duration(slack * float64(p.left(last)))).After(due)
}
