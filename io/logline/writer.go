// Package logline writes log lines to a stream without blocking the goroutine
// that logs.
package logline

import (
	"fmt"
	"io"
	"sync"
)

// MaxBufferedBytes limits the bytes of lines that are not written yet.
const MaxBufferedBytes = 1 << 20

// Writer buffers lines for a stream. It drops lines that exceed
// MaxBufferedBytes and logs their number.
type Writer struct {
	out         io.Writer
	flushSignal chan struct{}

	mu          sync.Mutex
	buffered    []byte
	spareBuffer []byte
	dropped     int
}

// New returns a writer and starts the goroutine that writes to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, flushSignal: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write buffers one line. It always returns the length of the line and no error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.buffered)+len(line) > MaxBufferedBytes {
		w.dropped++
	} else {
		w.buffered = append(w.buffered, line...)
	}
	w.mu.Unlock()
	select {
	case w.flushSignal <- struct{}{}:
	default: // a flush is already pending
	}
	return len(line), nil
}

// run flushes the buffer after each signal.
func (w *Writer) run() {
	for range w.flushSignal {
		w.Flush()
	}
}

// Flush writes all buffered lines in one call.
func (w *Writer) Flush() {
	w.mu.Lock()
	lines, dropped := w.buffered, w.dropped
	w.buffered, w.spareBuffer, w.dropped = w.spareBuffer[:0], nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", dropped)
	}
	_, _ = w.out.Write(lines) // an error of the log itself cannot be reported anywhere
	w.mu.Lock()
	w.spareBuffer = lines
	w.mu.Unlock()
}
