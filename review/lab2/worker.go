package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Constants of workers.
const (
	heartbeatInterval = 1200 * time.Millisecond
	reportStep        = 20 * time.Millisecond // in which a worker looks whether a report is due
	queuePerSlot      = 3                     // requests that may wait, for each slot
)

// worker is a stand-in for a worker as the users' pages describe it.
type worker struct {
	c          *cluster
	id         string
	address    string
	zone       string
	slots      int
	eventCount int
	eventPause time.Duration
	// spoil is called before an answer begins and returns true if it has answered itself.
	spoil func(w *worker, out http.ResponseWriter, r *http.Request) bool
	// afterEvent is called after each event and returns false if the worker has ended.
	afterEvent func(w *worker, r *http.Request, event int) bool

	mu       sync.Mutex
	version  string
	born     int64
	seq      int
	silent   time.Time // no liveness report arrives before this time
	down     bool
	closed   bool
	server   *http.Server
	listener net.Listener
	running  int
	waiting  int
	place    chan struct{}
}

// addWorker starts a worker.
func (c *cluster) addWorker(zone string, f fleet) error {
	n := len(c.workers)
	w := &worker{c: c, id: fmt.Sprintf("w%d", n+1), address: fmt.Sprintf("%s.%d:%d", c.subnet, 100+n, workerPort), zone: zone,
		slots: f.slots, eventCount: f.eventCount, eventPause: f.eventPause, version: f.version(), born: time.Now().UnixMilli()}
	c.workers = append(c.workers, w)
	if err := w.listen(); err != nil {
		return err
	}
	go w.report()
	return nil
}

// setSpoil sets the function that may answer in place of the worker.
func (w *worker) setSpoil(spoil func(w *worker, out http.ResponseWriter, r *http.Request) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spoil = spoil
}

// setAfterEvent sets the function that is called after each event.
func (w *worker) setAfterEvent(afterEvent func(w *worker, r *http.Request, event int) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.afterEvent = afterEvent
}

// listen starts to accept requests.
func (w *worker) listen() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(w.serve)}
	w.mu.Lock()
	w.server, w.listener, w.place, w.running, w.waiting = server, listener, make(chan struct{}, w.slots), 0, 0
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// stop ends the worker for good.
func (w *worker) stop() {
	w.mu.Lock()
	w.closed, w.down = true, true
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
}

// crash ends the worker's process with all its connections. It starts again under the same id
// after downtime, with a software version; its next liveness report arrives late.
func (w *worker) crash(downtime, late time.Duration, version string) {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return
	}
	w.down = true
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(downtime, func() {
		w.mu.Lock()
		if w.closed {
			w.mu.Unlock()
			return
		}
		w.down, w.version, w.born, w.seq, w.silent = false, version, time.Now().UnixMilli(), 0, time.Now().Add(late)
		w.mu.Unlock()
		if err := w.listen(); err != nil {
			w.c.record.add("%s cannot listen: %v", w.id, err)
		}
		w.c.record.add("%s is back, version %s", w.id, version)
	})
}

// report sends liveness reports until the worker ends for good.
func (w *worker) report() {
	client := &http.Client{Timeout: time.Second}
	for n := 0; ; n++ {
		w.mu.Lock()
		closed, quiet := w.closed, w.down || time.Now().Before(w.silent)
		if !quiet {
			w.seq++
		}
		body, _ := json.Marshal(map[string]any{"service": "s", "address": w.address, "zone": w.zone, "version": w.version,
			"slots": w.slots, "state": "ready", names["cold"]: 0, "seq": w.seq, "born": w.born})
		w.mu.Unlock()
		switch {
		case closed:
			return
		case quiet:
			time.Sleep(reportStep)
		default:
			w.send(client, n, body)
			w.awaitReport()
		}
	}
}

// awaitReport waits until the next liveness report is due. The first one after a start is due at
// once.
func (w *worker) awaitReport() {
	for end := time.Now().Add(heartbeatInterval); time.Now().Before(end); time.Sleep(reportStep) {
		w.mu.Lock()
		due := w.seq == 0 || w.closed
		w.mu.Unlock()
		if due {
			return
		}
	}
}

// send sends a liveness report to the control instances in turn until one acknowledges it.
func (w *worker) send(client *http.Client, n int, body []byte) {
	controls := w.c.role("control")
	for i := range controls {
		target := controls[(n+i)%len(controls)]
		r, err := client.Post(fmt.Sprintf("http://%s:%d"+names["heartbeat"], target.host(), controlPort, w.id), "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return
		}
	}
}

// serve handles a request.
func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(names["request_id"])
	out.Header().Set(names["request_id"], id)
	if r.Header.Get(names["expected"]) != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !w.enter(r) {
		out.Header().Set(names["not_run"], "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.leave()
	w.mu.Lock()
	version, spoil, afterEvent := w.version, w.spoil, w.afterEvent
	w.mu.Unlock()
	from, _ := strconv.Atoi(r.Header.Get(names["last_event"]))
	w.c.record.add("%s version %s runs %s from event %d", w.id, version, id, from+1)
	if spoil != nil && spoil(w, out, r) {
		return
	}
	out.Header().Set(names["stamp"], w.id+".proof")
	out.Header().Set("Content-Type", "text/event-stream")
	for i := from + 1; i <= w.eventCount; i++ {
		fmt.Fprintf(out, "id: %d\ndata: %s %d\n\n", i, version, i)
		_ = http.NewResponseController(out).Flush()
		if afterEvent != nil && !afterEvent(w, r, i) {
			return
		}
		select {
		case <-time.After(w.eventPause):
		case <-r.Context().Done():
			w.c.record.add("%s stops %s after event %d", w.id, id, i)
			return
		}
	}
	w.c.record.add("%s ends %s", w.id, id)
}

// enter waits for a slot. It reports false if the worker is full.
func (w *worker) enter(r *http.Request) bool {
	w.mu.Lock()
	if w.waiting >= w.slots*queuePerSlot {
		w.mu.Unlock()
		return false
	}
	w.waiting++
	place := w.place
	w.mu.Unlock()
	select {
	case place <- struct{}{}:
	case <-r.Context().Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting--
	w.running++
	return true
}

// leave frees a slot.
func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	select {
	case <-w.place:
	default: // the worker was started again
	}
}

// busy returns the number of running requests.
func (w *worker) busy() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}
