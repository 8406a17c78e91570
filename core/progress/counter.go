// Package progress tells a thread that decides whether bytes still arrive on a
// connection that another goroutine reads. No clock is shared: the reader counts,
// and who watches measures by its own ticks how long the count stands still.
package progress

import (
	"sync/atomic"
	"time"
)

// Counter counts reads. Any goroutine may use it.
type Counter struct {
	reads atomic.Uint64
}

// New returns a counter without reads.
func New() *Counter { return &Counter{} }

// Increment counts a read.
func (c *Counter) Increment() { c.reads.Add(1) }

// IdleTimer measures the silence of one counter. It belongs to one thread.
type IdleTimer struct {
	counter   *Counter
	lastReads uint64
	idle      time.Duration
}

// NewIdleTimer returns a watch whose silence starts now.
func NewIdleTimer(counter *Counter) IdleTimer {
	return IdleTimer{counter: counter, lastReads: counter.reads.Load()}
}

// Update adds the time since the last look, unless there were reads in it, and
// returns the silence. The caller bounds elapsed: time in which its own thread
// stood still says nothing of the other side.
func (w *IdleTimer) Update(elapsed time.Duration) time.Duration {
	if reads := w.counter.reads.Load(); reads != w.lastReads {
		w.lastReads, w.idle = reads, 0
		return 0
	}
	w.idle += elapsed
	return w.idle
}

// Idle returns the silence as of the last look.
func (w *IdleTimer) Idle() time.Duration { return w.idle }

// HasRead reports whether there was a read at all.
func (w *IdleTimer) HasRead() bool { return w.lastReads > 0 }
