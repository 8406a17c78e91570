// Package progress tells a thread whether bytes still arrive on a connection that
// another goroutine reads. The goroutine counts its reads; the thread measures in
// its own ticks how long the count stays the same, so that the two need no common
// clock.
package progress

import (
	"sync/atomic"
	"time"
)

// Counter counts reads. Any goroutine may use it.
type Counter struct {
	reads atomic.Uint64
}

// New returns a counter of zero reads.
func New() *Counter { return &Counter{} }

// Increment counts a read.
func (c *Counter) Increment() { c.reads.Add(1) }

// IdleTimer measures how long a counter has not changed. It belongs to one
// thread.
type IdleTimer struct {
	counter   *Counter
	lastReads uint64
	idle      time.Duration
}

// NewIdleTimer returns a timer whose idle time starts now.
func NewIdleTimer(counter *Counter) IdleTimer {
	return IdleTimer{counter: counter, lastReads: counter.reads.Load()}
}

// Update adds elapsed, the time since the last update, to the idle time, or
// resets the idle time if there were reads since then. It returns the idle time.
// The caller must bound elapsed: time in which its own thread did not run says
// nothing about the connection.
func (t *IdleTimer) Update(elapsed time.Duration) time.Duration {
	if reads := t.counter.reads.Load(); reads != t.lastReads {
		t.lastReads, t.idle = reads, 0
		return 0
	}
	t.idle += elapsed
	return t.idle
}

// Idle returns the idle time at the last update.
func (t *IdleTimer) Idle() time.Duration { return t.idle }

// HasRead reports whether there were any reads at the last update.
func (t *IdleTimer) HasRead() bool { return t.lastReads > 0 }
