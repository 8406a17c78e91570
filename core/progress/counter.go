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

// Note counts a read.
func (c *Counter) Note() { c.reads.Add(1) }

// Watch measures the silence of one counter. It belongs to one thread.
type Watch struct {
	counter *Counter
	seen    uint64
	quiet   time.Duration
}

// NewWatch returns a watch whose silence starts now.
func NewWatch(counter *Counter) Watch {
	return Watch{counter: counter, seen: counter.reads.Load()}
}

// Look adds the time since the last look, unless there were reads in it, and
// returns the silence. The caller bounds elapsed: time in which its own thread
// stood still says nothing of the other side.
func (w *Watch) Look(elapsed time.Duration) time.Duration {
	if reads := w.counter.reads.Load(); reads != w.seen {
		w.seen, w.quiet = reads, 0
		return 0
	}
	w.quiet += elapsed
	return w.quiet
}

// Quiet returns the silence as of the last look.
func (w *Watch) Quiet() time.Duration { return w.quiet }

// Moved reports whether there was a read at all.
func (w *Watch) Moved() bool { return w.seen > 0 }
