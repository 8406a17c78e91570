package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Parameters of the case of a slow worker.
const (
	slowFactor    = 8
	slowTime      = 5 * time.Second
	slowStart     = 3 * time.Second // after the clients
	twiceTime     = 12 * time.Second
	twiceClients  = 28
	overlapNeeded = 400 * time.Millisecond
)

// workSpan is the time in which a worker works on a request.
type workSpan struct {
	worker     string
	start, end time.Time
}

// workLog holds the spans of work by request.
type workLog struct {
	mu    sync.Mutex
	spans map[string][]*workSpan
}

// begin records that a worker begins to work on a request.
func (l *workLog) begin(worker, id string) *workSpan {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &workSpan{worker: worker, start: time.Now()}
	l.spans[id] = append(l.spans[id], s)
	return s
}

// finish records the end of the work.
func (l *workLog) finish(s *workSpan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.end = time.Now()
}

// overlaps returns the requests that went on at another worker while the one before still
// worked on them overlapNeeded later.
func (l *workLog) overlaps() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for id, spans := range l.spans {
		for i := 1; i < len(spans); i++ {
			before := spans[i-1]
			if before.worker != spans[i].worker && (before.end.IsZero() || before.end.Sub(spans[i].start) >= overlapNeeded) {
				ids = append(ids, id)
				break
			}
		}
	}
	return ids
}

// slowWorker answers like a worker whose requests all advance with the same steps. It does not
// notice that a channel closes.
func (l *workLog) slowWorker(slow func(w *worker) bool) func(w *worker, out http.ResponseWriter, r *http.Request) bool {
	return func(w *worker, out http.ResponseWriter, r *http.Request) bool {
		id := r.Header.Get(names["request_id"])
		span := l.begin(w.id, id)
		defer l.finish(span)
		from := 0
		_, _ = fmt.Sscan(r.Header.Get(names["last_event"]), &from)
		out.Header().Set(names["stamp"], w.id+".proof")
		out.Header().Set("Content-Type", "text/event-stream")
		for i := from + 1; i <= w.eventCount; i++ {
			step := w.eventPause
			if slow(w) {
				step *= slowFactor
			}
			now := time.Now()
			time.Sleep(now.Truncate(step).Add(step).Sub(now))
			fmt.Fprintf(out, "id: %d\ndata: v1 %d\n\n", i, i)
			_ = http.NewResponseController(out).Flush()
		}
		w.c.record.add("%s ends %s", w.id, id)
		return true
	}
}

// runTwice has one worker that turns slow, and checks that no request goes on at another worker
// while it still works on it.
func runTwice(record *recorder, trouble bool) (broken bool, err error) {
	c, err := startCase(record, manifest(1, true, 2), fleet{workers: 7, slots: 8, eventCount: 15, eventPause: 80 * time.Millisecond})
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return false, err
	}
	work := workLog{spans: make(map[string][]*workSpan)}
	start := time.Now().Add(slowStart)
	slow := func(w *worker) bool {
		return trouble && w == c.workers[0] && time.Now().After(start) && time.Since(start) < slowTime
	}
	for _, w := range c.workers {
		w.setSpoil(work.slowWorker(slow))
	}
	end := time.Now().Add(twiceTime)
	var clients sync.WaitGroup
	for n := range twiceClients {
		clients.Go(func() {
			for time.Now().Before(end) {
				c.request(n, "stream", "aa:100")
			}
		})
	}
	clients.Wait()
	ids := work.overlaps()
	for _, id := range ids {
		record.add("two workers worked on %s", id)
	}
	record.say("%d of %d requests went on at another worker while the one before still worked on them %v later", len(ids), len(work.spans), overlapNeeded)
	return len(ids) > 0, nil
}
