package traffic

import (
	"time"

	"papayaquay/core/outcome"
)

// Observer is told what happens to requests, for metrics. Its functions run on
// the traffic thread and must not block.
type Observer struct {
	finished func(outcome.Code)
	first    func(time.Duration)
	hedged   func()
	retried  func()
	ejected  func()
	queued   func(int)
}

// ObserverOption sets functions of an observer.
type ObserverOption func(*Observer)

// WithFinished sets the function told how each request ended.
func WithFinished(f func(outcome.Code)) ObserverOption { return func(o *Observer) { o.finished = f } }

// WithFirstToken sets the function told the time from accept to first token.
func WithFirstToken(f func(time.Duration)) ObserverOption { return func(o *Observer) { o.first = f } }

// WithCounters sets the functions told of hedges, retries, ejections and the
// length of the queue.
func WithCounters(hedged, retried, ejected func(), queued func(int)) ObserverOption {
	return func(o *Observer) { o.hedged, o.retried, o.ejected, o.queued = hedged, retried, ejected, queued }
}

// NewObserver returns an observer that ignores what is not set.
func NewObserver(options ...ObserverOption) Observer {
	o := Observer{finished: func(outcome.Code) {}, first: func(time.Duration) {},
		hedged: func() {}, retried: func() {}, ejected: func() {}, queued: func(int) {}}
	for _, option := range options {
		option(&o)
	}
	return o
}
