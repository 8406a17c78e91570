// Package logline writes log lines to a stream without ever blocking the
// goroutine that logs.
package logline

import (
	"fmt"
	"io"
	"sync"
)

// MaxBufferedBytes bounds the bytes that wait to be written.
const MaxBufferedBytes = 1 << 20

// Writer queues lines for a stream. Lines beyond the bound are dropped and
// counted.
type Writer struct {
	out  io.Writer
	wake chan struct{}

	mu      sync.Mutex
	waiting []byte
	spare   []byte
	dropped int
}

// New returns a writer and starts the goroutine that writes to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write queues one line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.waiting)+len(line) > MaxBufferedBytes {
		w.dropped++
	} else {
		w.waiting = append(w.waiting, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
	return len(line), nil
}

// run writes what waits, several lines at once.
func (w *Writer) run() {
	for range w.wake {
		w.Flush()
	}
}

// Flush writes what waits.
func (w *Writer) Flush() {
	w.mu.Lock()
	lines, dropped := w.waiting, w.dropped
	w.waiting, w.spare, w.dropped = w.spare[:0], nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped)
	}
	_, _ = w.out.Write(lines) // there is nowhere to report that logging fails
	w.mu.Lock()
	w.spare = lines
	w.mu.Unlock()
}
