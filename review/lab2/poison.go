package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Parameters of the cases of requests that crash workers.
const (
	poisonPart     = "bad0"
	poisonDowntime = 2 * time.Second
	contactTime    = 3 * time.Second // contact_ms
	knownCrashes   = 5               // after which the part must be known
	allowedLate    = 3               // requests that may still reach workers
	poisonTime     = 40 * time.Second
	poisonStart    = 12 * time.Second // from when the requests come that crash workers
)

// poisonFleet is large enough for a zone to keep workers that have not crashed.
var poisonFleet = fleet{workers: 9, slots: 8, eventCount: 10, eventPause: 20 * time.Millisecond}

// crashes counts the crashes of workers, and the requests that crash them and come too late.
type crashes struct {
	mu   sync.Mutex
	at   []time.Time
	late int
}

// arrived records that a request that crashes workers reached one.
func (s *crashes) arrived() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.at) >= knownCrashes && time.Since(s.at[knownCrashes-1]) > contactTime {
		s.late++
	}
}

// crash has a worker crash on a request.
func (s *crashes) crash(w *worker, r *http.Request) {
	w.c.record.add("%s crashes on %s", w.id, r.Header.Get(names["request_id"]))
	s.mu.Lock()
	s.at = append(s.at, time.Now())
	s.mu.Unlock()
	w.crash(poisonDowntime, 0, "v1")
}

// last returns the number of crashes and the time of the last one.
func (s *crashes) last() (int, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.at) == 0 {
		return 0, time.Time{}
	}
	return len(s.at), s.at[len(s.at)-1]
}

// isPoisoned reports whether a request has the part that crashes workers.
func isPoisoned(r *http.Request) bool {
	return strings.Contains(r.Header.Get(names["parts"]), poisonPart+":")
}

// every runs send at an interval, without waiting for its end, until a time.
func every(group *sync.WaitGroup, interval time.Duration, end time.Time, send func(n int)) {
	for n := 0; time.Now().Before(end); n++ {
		group.Go(func() { send(n) })
		time.Sleep(interval)
	}
}

// runPoison sends a request again and again on which each worker crashes once it has written the
// first event of the answer, and other requests.
func runPoison(record *recorder, trouble bool) (broken bool, err error) {
	const (
		poisonInterval = 250 * time.Millisecond
		soundInterval  = 100 * time.Millisecond
	)
	c, err := startCase(record, manifest(1, false, 1), poisonFleet)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return false, err
	}
	var seen crashes
	for _, w := range c.workers {
		w.setSpoil(func(_ *worker, _ http.ResponseWriter, r *http.Request) bool {
			if isPoisoned(r) {
				seen.arrived()
			}
			return false
		})
		w.setAfterEvent(func(w *worker, r *http.Request, event int) bool {
			if event > 1 || !isPoisoned(r) {
				return true
			}
			seen.crash(w, r)
			return false
		})
	}
	var mu sync.Mutex
	sent, complete := 0, 0
	var senders sync.WaitGroup
	end := time.Now().Add(poisonTime)
	senders.Go(func() {
		every(&senders, soundInterval, end, func(n int) {
			a := c.request(n, "sound", "aa:100,cc:100")
			mu.Lock()
			defer mu.Unlock()
			sent++
			if a.complete {
				complete++
			}
		})
	})
	if trouble {
		every(&senders, poisonInterval, end, func(n int) {
			entries := c.role("entry")
			id := newID("poison")
			a := c.stream(entries[n%len(entries)], id, "aa:100,"+poisonPart+":100,own0:250", "the same each time", nil)
			record.add("client: %s got %d, %d events, complete %t", id, a.status, len(a.events), a.complete)
		})
	}
	senders.Wait()
	count, _ := seen.last()
	record.say("%d crashes; %d times the request reached a worker later than %v after crash %d (allowed: %d); %d of %d other requests complete",
		count, seen.late, contactTime, knownCrashes, allowedLate, complete, sent)
	return seen.late > allowedLate, nil
}

// soundRun counts the sound requests before the first crash and after the last one.
type soundRun struct {
	mu                                   sync.Mutex
	before, beganBefore, after, beganNow int
}

// runShared sends requests with a part on which each worker crashes as it begins to answer, and
// sound ones that share the other parts with them.
func runShared(record *recorder, trouble bool) (broken bool, err error) {
	const (
		poisonInterval = 50 * time.Millisecond
		soundInterval  = 500 * time.Millisecond
	)
	c, err := startCase(record, manifest(1, false, 1), poisonFleet)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return false, err
	}
	var seen crashes
	for _, w := range c.workers {
		w.setSpoil(func(w *worker, out http.ResponseWriter, r *http.Request) bool {
			if !isPoisoned(r) {
				return false
			}
			out.Header().Set(names["stamp"], w.id+".proof")
			out.Header().Set("Content-Type", "text/event-stream")
			_ = http.NewResponseController(out).Flush()
			seen.crash(w, r)
			return true
		})
	}
	var run soundRun
	var senders sync.WaitGroup
	start := time.Now().Add(poisonStart)
	end := start.Add(poisonTime)
	senders.Go(func() {
		every(&senders, soundInterval, end, func(n int) {
			sentAt := time.Now()
			a := c.request(n, "sound", "aa:100,good:50,dd:50")
			run.count(sentAt, start, &seen, a.begun)
		})
	})
	time.Sleep(time.Until(start))
	if trouble {
		every(&senders, poisonInterval, end, func(n int) { c.request(n, "poison", fmt.Sprintf("aa:100,%s:50,dd:50", poisonPart)) })
	}
	senders.Wait()
	count, _ := seen.last()
	record.say("%d crashes; sound requests that began: %d of %d before the crashes, %d of %d later than %v after the last one",
		count, run.beganBefore, run.before, run.beganNow, run.after, 2*contactTime)
	const enough = 20 // requests on both sides
	isLess := 2*run.beganNow*run.before < run.beganBefore*run.after
	return run.before >= enough && run.after >= enough && isLess, nil
}

// count counts a sound request. Without crashes, the time counts from the start of the others.
func (s *soundRun) count(sentAt, start time.Time, seen *crashes, began bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, last := seen.last()
	if last.Before(start) {
		last = start
	}
	switch {
	case sentAt.Before(start):
		s.before++
		if began {
			s.beganBefore++
		}
	case sentAt.Sub(last) > 2*contactTime:
		s.after++
		if began {
			s.beganNow++
		}
	}
}
