package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Behaviour of the stand-in workers.
const (
	workerSlots    = 8
	heartbeatEvery = 600 * time.Millisecond
	eventCount     = 30
	eventPause     = 10 * time.Millisecond
	crashTime      = 3 * time.Second // until a crashed worker is back
)

// worker is a stand-in for a worker of the users' platform.
type worker struct {
	d       *deployment
	id      string
	service string
	version string // of its software
	address string
	pause   time.Duration // between events
	born    int64
	listen  net.Listener
	fail    func(id string) int    // status of a run that fails, 0 for none
	extra   func(id string) bool   // whether the answer of a run that failed comes once more, late
	crashes func(path string) bool // whether a request with this path crashes the worker

	mu       sync.Mutex
	conns    map[net.Conn]bool
	down     bool
	late     time.Duration // by which its reports arrive late
	sequence int
	runs     map[string]int
	answers  int
}

// newWorker starts a worker and its heartbeats.
func (d *deployment) newWorker(n int, service, version string) (*worker, error) {
	w := &worker{d: d, version: version, pause: eventPause, conns: make(map[net.Conn]bool), id: fmt.Sprintf("i-%08x", 0x7f3a91c2+n*7919), service: service, address: fmt.Sprintf("%s.%d:%d", d.subnet, 100+n, workerPort),
		born: time.Now().UnixMilli(), runs: make(map[string]int)}
	var err error
	if w.listen, err = net.Listen("tcp", w.address); err != nil {
		return nil, err
	}
	go w.accept(w.listen)
	go w.heartbeats()
	return w, nil
}

// report returns the body of a heartbeat.
func (w *worker) report() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	body, _ := json.Marshal(map[string]any{"service": w.service, "address": w.address, "zone": "z1", "version": w.version, "slots": workerSlots, "state": "ready",
		"cold_ms": 0, "stage": "both", "seq": w.sequence, "born": w.born}) // encoding these values cannot fail
	return body
}

// heartbeats sends a heartbeat at each interval, while the worker is not down.
func (w *worker) heartbeats() {
	for n := 0; ; n++ {
		if !w.isDown() {
			go w.send(n)
		}
		time.Sleep(heartbeatEvery)
	}
}

// send sends a heartbeat, late by the time of the worker, to the control processes in turn
// until one accepts it.
func (w *worker) send(n int) {
	id, _ := w.identity()
	body := w.report()
	w.mu.Lock()
	late := w.late
	w.mu.Unlock()
	time.Sleep(late)
	controls := w.d.withRole("control")
	for i := range controls {
		p := controls[(n+i)%len(controls)]
		status, _ := w.d.post(fmt.Sprintf("http://%s:%d"+w.d.names.Heartbeat, p.address, controlPort, id), "", "", body)
		if status == http.StatusOK {
			return
		}
	}
}

// identity returns the worker's id and its software version.
func (w *worker) identity() (id, version string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id, w.version
}

// accept serves connections until the listener is closed.
func (w *worker) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[conn] = true
		w.mu.Unlock()
		go w.serve(conn)
	}
}

// crash resets all connections and accepts none for crashTime. Then the worker is back with
// another id.
func (w *worker) crash() { w.restart(crashTime, 0, w.id+"0", w.version, 0) }

// restart resets all connections and accepts none for a time. Then the worker reports itself
// with an id and a software version, and accepts connections once it has loaded. Its reports
// arrive late from then on, by the given time.
func (w *worker) restart(down, load time.Duration, id, version string, late time.Duration) {
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return
	}
	w.down = true
	w.listen.Close()
	for conn := range w.conns {
		if c, ok := conn.(*net.TCPConn); ok {
			_ = c.SetLinger(0) // the connection closes in any case
		}
		conn.Close()
	}
	w.conns = make(map[net.Conn]bool)
	w.mu.Unlock()
	w.d.record.add("worker %s: down", w.id)
	time.Sleep(down)
	w.mu.Lock()
	w.down, w.sequence, w.born = false, 0, time.Now().UnixMilli()
	w.id, w.version, w.late = id, version, late
	w.mu.Unlock()
	go w.send(0)
	time.Sleep(load)
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		w.d.record.add("worker %s: not back: %v", id, err)
		return
	}
	w.mu.Lock()
	w.listen = l
	w.mu.Unlock()
	w.d.record.add("worker %s: back, version %s", id, version)
	go w.accept(l)
}

// isDown reports whether the worker crashed and is not back.
func (w *worker) isDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down
}

// serve serves the requests of one connection, one after the other. late is the copy of an
// answer that comes at the point where the next answer is expected.
func (w *worker) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var late string
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if late != "" {
			w.d.record.add("worker %s: sends the extra copy of an earlier answer: %q", w.id, strings.SplitN(late, "\r\n", 2)[0])
			if _, err := io.WriteString(conn, late); err != nil {
				return
			}
		}
		var ok bool
		if late, ok = w.answer(conn, reader, request); !ok {
			return
		}
	}
}

// head returns the head of an answer.
func (w *worker) head(id string, status int, fields ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s\r\n\r\n", status, http.StatusText(status), w.d.names.RequestID, id, strings.Join(fields, "\r\n"))
}

// answer runs a request and answers it. It returns the extra copy of the answer, if there is
// one, and false if the connection must close.
func (w *worker) answer(conn net.Conn, reader *bufio.Reader, request *http.Request) (extra string, ok bool) {
	n := w.d.names
	id := request.Header.Get(n.RequestID)
	self, version := w.identity()
	switch {
	case request.Method == http.MethodGet:
		_, err := io.WriteString(conn, w.head(id, http.StatusOK, "Content-Length: 0"))
		return "", err == nil
	case id == "":
		_, err := io.WriteString(conn, w.head(id, http.StatusNotFound, "Content-Length: 0"))
		return "", err == nil
	case request.Header.Get(n.ExpectedWorker) != "" && request.Header.Get(n.ExpectedWorker) != self:
		_, err := io.WriteString(conn, w.head(id, http.StatusMisdirectedRequest, "Content-Length: 0"))
		return "", err == nil
	}
	if w.crashes != nil && w.crashes(request.URL.Path) {
		w.d.record.add("worker %s: %s reaches it as %s", self, request.URL.Path, id)
		w.crash()
		return "", false
	}
	w.mu.Lock()
	w.runs[id]++
	w.answers++
	run := w.runs[id]
	w.mu.Unlock()
	proof := n.Proof + ": " + self + "." + id
	if w.fail != nil {
		if status := w.fail(id); status != 0 {
			text := w.head(id, status, proof, "Content-Length: 0")
			w.d.record.add("worker %s: run %d of %s, answers %d", self, run, id, status)
			if w.extra != nil && w.extra(id) {
				extra = text
			}
			_, err := io.WriteString(conn, text)
			return extra, err == nil
		}
	}
	return "", w.stream(conn, reader, request, id, proof, version, run)
}

// stream answers a request with events. It stops when the connection closes.
func (w *worker) stream(conn net.Conn, reader *bufio.Reader, request *http.Request, id, proof, version string, run int) bool {
	next := make(chan error, 1) // the begin of the next request, or the end of the connection
	go func() {
		_, err := reader.Peek(1)
		next <- err
	}()
	self, _, _ := strings.Cut(strings.TrimPrefix(proof, w.d.names.Proof+": "), ".")
	from, _ := strconv.Atoi(request.Header.Get(w.d.names.LastEvent))
	w.d.record.add("worker %s (%s): run %d of %s begins after event %d", self, version, run, id, from)
	if _, err := io.WriteString(conn, w.head(id, http.StatusOK, proof, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")); err != nil {
		return false
	}
	for i := from + 1; i <= eventCount; i++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, version+piece(id, i))
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		select {
		case <-next:
			w.d.record.add("worker %s (%s): run %d of %s: the connection closed at event %d", self, version, run, id, i)
			return false
		case <-time.After(w.pause):
		}
	}
	w.d.record.add("worker %s (%s): run %d of %s is complete", self, version, run, id)
	if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
		return false
	}
	return <-next == nil
}

// piece returns the data of an event.
func piece(id string, event int) string { return fmt.Sprintf("%s-%d", id, event) }
