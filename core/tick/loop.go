package tick

import (
	"context"
	"time"
)

// Loop runs the ticks of one world when messages arrive or a deadline is due.
type Loop[M any] struct {
	inbox *Inbox[M]
	step  func(now time.Time, messages []M)
	next  func() (time.Time, bool)
	now   func() time.Time
}

// Option configures a loop at construction.
type Option[M any] func(*Loop[M])

// WithClock sets the clock; the default is time.Now.
func WithClock[M any](now func() time.Time) Option[M] {
	return func(l *Loop[M]) { l.now = now }
}

// New returns a loop that calls step once per tick with all waiting messages.
// Between ticks it sleeps until the deadline that next returns or until the
// next message; next returns false if there is no deadline.
func New[M any](inbox *Inbox[M], step func(time.Time, []M), next func() (time.Time, bool), options ...Option[M]) *Loop[M] {
	l := &Loop[M]{inbox: inbox, step: step, next: next, now: time.Now}
	for _, option := range options {
		option(l)
	}
	return l
}

// Run runs ticks until the context ends. Only one goroutine may call it.
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

// wait blocks until there is a message, a deadline is due or the context ends.
// It returns false if the context has ended.
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
