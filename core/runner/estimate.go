package runner

import (
	"math"
	"time"
)

// Initial values and parameters of the estimate.
const (
	initialEventsPerItem = 150                   // events per item
	initialDeviation     = 40                    // standard deviation of the events per item
	largeDeviations      = 2                     // standard deviations by which a large item exceeds the average
	initialItemTime      = 6 * time.Second       // run time of an item without interruption
	sampleWeight         = 0.1                   // weight of the newest sample in the moving averages
	interruptionFactor   = 1.4                   // on the expected run time, since online requests interrupt items
	minTimePerEvent      = 10 * time.Microsecond // lower bound of a sample, so that very short attempts do not pull the average to zero
)

// estimate predicts how long items run.
type estimate struct {
	events   float64       // moving average of events per item
	variance float64       // moving average of its squared deviation
	perEvent time.Duration // moving average of the time per event
}

// newEstimate returns the estimate before any item has run.
func newEstimate() estimate {
	return estimate{events: initialEventsPerItem, variance: initialDeviation * initialDeviation, perEvent: initialItemTime / initialEventsPerItem}
}

// record adds an attempt that received the given number of events. lastEvent is the
// id of its newest event, which is the last one of the item if done is set.
func (e *estimate) record(ran time.Duration, events, lastEvent uint64, done bool) {
	if events > 0 {
		perEvent := max(ran/time.Duration(events), minTimePerEvent)
		e.perEvent += time.Duration(sampleWeight * float64(perEvent-e.perEvent))
	}
	if done {
		deviation := float64(lastEvent) - e.events
		e.events += sampleWeight * deviation
		e.variance += sampleWeight * (deviation*deviation - e.variance)
	}
}

// remaining returns the expected run time of an item after the event lastEvent.
func (e *estimate) remaining(lastEvent uint64) time.Duration {
	events := max(e.events-float64(lastEvent), 1)
	return time.Duration(events * float64(e.perEvent))
}

// isLate reports whether an item with the given due time is expected to miss it.
func (e *estimate) isLate(now, due time.Time, lastEvent uint64) bool {
	return now.Add(time.Duration(interruptionFactor * float64(e.remaining(lastEvent)))).After(due)
}

// mayBeLate reports whether an item that was not started yet may miss its due time. It
// assumes a large item, since the size is known only at the end. With an average one,
// large items would start that cannot be complete in time.
func (e *estimate) mayBeLate(now, due time.Time) bool {
	events := e.events + largeDeviations*math.Sqrt(e.variance)
	return now.Add(time.Duration(interruptionFactor * events * float64(e.perEvent))).After(due)
}

// eventsIn returns the number of events that an attempt is expected to produce in a
// duration.
func (e *estimate) eventsIn(d time.Duration) uint64 {
	return uint64(max(d, 0) / max(e.perEvent, minTimePerEvent))
}
