package runner

import "time"

// Estimates before the first item ended.
const (
	initEvents         = 150                   // events of an item
	initItemTime       = 6 * time.Second       // run of an item without interruption
	sampleWeight       = 0.1                   // of the newest item in the averages
	interruptionFactor = 1.4                   // runs are interrupted by bursts of online requests
	minTimePerEvent    = 10 * time.Microsecond // guards the average against empty runs
)

// estimate estimates how long items run.
type estimate struct {
	events   float64 // of an item
	perEvent time.Duration
}

// newEstimate returns the estimates before anything was seen.
func newEstimate() estimate { return estimate{events: initEvents, perEvent: initItemTime / initEvents} }

// record takes a run of so many events, the last one of its item if done.
func (p *estimate) record(ran time.Duration, events, last uint64, done bool) {
	if events > 0 {
		perEvent := max(ran/time.Duration(events), minTimePerEvent)
		p.perEvent += time.Duration(sampleWeight * float64(perEvent-p.perEvent))
	}
	if done {
		p.events += sampleWeight * (float64(last) - p.events)
	}
}

// remaining returns how long an item is expected to run after an event.
func (p *estimate) remaining(last uint64) time.Duration {
	events := max(p.events-float64(last), 1)
	return time.Duration(events * float64(p.perEvent))
}

// isLate reports whether an item that is due then can no longer be in time.
func (p *estimate) isLate(now, due time.Time, last uint64) bool {
	return now.Add(time.Duration(interruptionFactor * float64(p.remaining(last)))).After(due)
}
