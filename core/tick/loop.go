package tick

import (
	"context"
	"time"
)

// Loop drives one world from its inbox and its deadlines.
type Loop[M any] struct {
	inbox *Inbox[M]
	step  func(now time.Time, messages []M)
	next  func() (time.Time, bool)
	now   func() time.Time
}

// Option changes a loop at construction.
type Option[M any] func(*Loop[M])

// WithClock sets the clock; the default is time.Now.
func WithClock[M any](now func() time.Time) Option[M] {
	return func(l *Loop[M]) { l.now = now }
}

// New returns a loop that calls step once a tick with all waiting messages and
// sleeps until next's deadline or the next message.
func New[M any](inbox *Inbox[M], step func(time.Time, []M), next func() (time.Time, bool), options ...Option[M]) *Loop[M] {
	l := &Loop[M]{inbox: inbox, step: step, next: next, now: time.Now}
	for _, option := range options {
		option(l)
	}
	return l
}

// Run ticks until the context ends. It must be called by one goroutine.
func (l *Loop[M]) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		l.step(l.now(), l.inbox.drain())
		if !l.wait(ctx, timer) {
			return
		}
	}
}

// wait blocks until a message, a due deadline or the end of the context.
func (l *Loop[M]) wait(ctx context.Context, timer *time.Timer) bool {
	timeout := time.Hour
	if deadline, ok := l.next(); ok {
		timeout = max(deadline.Sub(l.now()), 0)
	}
	timer.Reset(timeout)
	select {
	case <-ctx.Done():
		return false
	case <-l.inbox.wake:
		return true
	case <-timer.C:
		return true
	}
}
