package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Parameters of the case of two software versions.
const (
	versionClients  = 12
	versionDowntime = 500 * time.Millisecond
	versionLate     = time.Second            // of the first liveness report after a start
	versionGap      = 900 * time.Millisecond // between the crashes of two workers
	versionStart    = 3 * time.Second        // until the first crash
	versionTime     = 12 * time.Second
	allowedMixed    = 2 // streams
)

// versionRun counts the streams that hold events of two versions.
type versionRun struct {
	mu                       sync.Mutex
	streams, complete, mixed int
}

// runVersions has workers that crash one after the other and start again under their id with a new
// software version, and checks that no stream holds events of two versions.
func runVersions(record *recorder, trouble bool) (broken bool, err error) {
	c, err := startCase(record, manifest(1, true, 2), fleet{workers: 6, slots: 8, eventCount: 20, eventPause: 50 * time.Millisecond})
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return false, err
	}
	var run versionRun
	end := time.Now().Add(versionTime)
	var clients sync.WaitGroup
	for n := range versionClients {
		clients.Go(func() {
			for time.Now().Before(end) {
				run.count(c.readThrough(n))
			}
		})
	}
	if trouble {
		time.Sleep(versionStart)
		for _, w := range c.workers {
			record.add("%s crashes", w.id)
			w.crash(versionDowntime, versionLate, "v2")
			time.Sleep(versionGap)
		}
	}
	clients.Wait()
	record.say("%d streams, %d complete, %d hold events of two versions (allowed: %d)", run.streams, run.complete, run.mixed, allowedMixed)
	return run.mixed > allowedMixed, nil
}

// count counts a stream by the versions of its events.
func (v *versionRun) count(versions map[string]bool, complete bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.streams++
	if complete {
		v.complete++
	}
	if len(versions) > 1 {
		v.mixed++
	}
}

// readThrough reads one stream, with one retry that takes it up at another entry. It returns the
// versions of its events and whether it is complete.
func (c *cluster) readThrough(client int) (versions map[string]bool, complete bool) {
	entries := c.role("entry")
	id := newID("stream")
	first := c.stream(entries[client%len(entries)], id, "aa:100,"+id+":250", "content of "+id, nil)
	c.record.add("client: %s got %d, %d events, complete %t", id, first.status, len(first.events), first.complete)
	events, complete := first.events, first.complete
	if !complete && first.begun {
		again := newID("again")
		second := c.stream(entries[(client+1)%len(entries)], again, "aa:100,"+id+":250", "content of "+id,
			map[string]string{names["last_event"]: fmt.Sprint(first.last), names["resumes"]: id})
		c.record.add("client: %s takes up %s after event %d: got %d, %d events, complete %t", again, id, first.last, second.status, len(second.events), second.complete)
		events, complete = append(events, second.events...), second.complete
	}
	versions = make(map[string]bool)
	for _, e := range events {
		version, _, _ := strings.Cut(e, " ")
		versions[version] = true
	}
	if len(versions) > 1 {
		c.record.add("client: the stream %s holds events of two versions: %s", id, strings.Join(events, ", "))
	}
	return versions, complete
}

// Parameters of the case of items and two software versions.
const (
	itemCount    = 60
	itemDowntime = 300 * time.Millisecond
)

// runItems has workers that crash one after the other while a batch job runs and start again under
// their id with a new software version, and checks that no result holds text of two versions.
func runItems(record *recorder, trouble bool) (broken bool, err error) {
	c, err := startCase(record, manifest(1, true, 2), fleet{workers: 6, slots: 8, eventCount: 100, eventPause: 40 * time.Millisecond})
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return false, err
	}
	id := newID("job")
	if err := c.submit(id, itemCount); err != nil {
		return false, err
	}
	time.Sleep(versionStart / 2)
	for _, w := range c.workers {
		if trouble {
			record.add("%s crashes", w.id)
			w.crash(itemDowntime, versionLate, "v2")
		}
		time.Sleep(versionGap)
	}
	for end := time.Now().Add(4 * finishTime); time.Now().Before(end) && c.listed(id) < itemCount; {
		time.Sleep(jobInterval)
	}
	mixed, results := 0, c.results(id).Results
	for _, r := range results {
		if strings.Contains(r.Text, "v1 ") && strings.Contains(r.Text, "v2 ") {
			mixed++
			record.add("client: the result of %s holds text of two versions: %s", r.ID, strings.ReplaceAll(r.Text, "\n", ", "))
		}
	}
	record.say("%d of %d results listed, %d hold text of two versions (allowed: none)", len(results), itemCount, mixed)
	return mixed > 0, nil
}
