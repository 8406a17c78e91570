package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since its start.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

// newRecorder creates the file at path.
func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, out: bufio.NewWriter(f), started: time.Now()}, nil
}

// add writes one line.
func (r *recorder) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.out, format+"\n", arguments...)
}

// say writes one line and prints it too.
func (r *recorder) say(format string, arguments ...any) {
	r.add(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// close writes what is buffered.
func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
