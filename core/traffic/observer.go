package traffic

import (
	"time"

	"papayaquay/core/outcome"
)

// Observer is a set of functions that are called on request events, for metrics. They run
// on the traffic thread and must not block.
type Observer struct {
	finished   func(outcome.Code)
	firstToken func(time.Duration) // time to first token
	hedged     func()
	retried    func()
	ejected    func()
	queued     func(int)
}

// ObserverOption sets functions of an observer.
type ObserverOption func(*Observer)

// WithFinished sets the function that is called with the outcome of each request.
func WithFinished(f func(outcome.Code)) ObserverOption { return func(o *Observer) { o.finished = f } }

// WithFirstToken sets the function that is called with the time from the acceptance of a
// request to its first token.
func WithFirstToken(f func(time.Duration)) ObserverOption {
	return func(o *Observer) { o.firstToken = f }
}

// WithCounters sets the functions that are called for each hedge, retry and ejection, and
// with the length of the queue.
func WithCounters(hedged, retried, ejected func(), queued func(int)) ObserverOption {
	return func(o *Observer) { o.hedged, o.retried, o.ejected, o.queued = hedged, retried, ejected, queued }
}

// NewObserver returns an observer. Events without a function are ignored.
func NewObserver(options ...ObserverOption) Observer {
	o := Observer{finished: func(outcome.Code) {}, firstToken: func(time.Duration) {},
		hedged: func() {}, retried: func() {}, ejected: func() {}, queued: func(int) {}}
	for _, option := range options {
		option(&o)
	}
	return o
}
