package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Parameters of the case of an entry that was started again.
const (
	aloneTime      = 34 * time.Second // in which there is one version only
	restartPause   = 300 * time.Millisecond
	joinTime       = 700 * time.Millisecond  // after the start of the new workers, until the cut
	cutSettle      = 300 * time.Millisecond  // from the cut to the streams
	resetDelay     = 1200 * time.Millisecond // from the start of the streams to the reset
	restartStreams = 32                      // half of them are reset
)

// runRestarted has an entry that is started again before workers of a second version come, and is
// then cut off, and checks that streams that begin there go on at their version elsewhere.
func runRestarted(record *recorder, trouble bool) (broken bool, err error) {
	var l *link
	c, err := newCluster(record, func(c *cluster) (err error) {
		l, err = c.proxyPeers()
		return err
	})
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return false, err
	}
	workers := fleet{slots: 8, eventCount: 40, eventPause: 60 * time.Millisecond}
	if err := c.configure(manifest(1, true, 2)); err != nil {
		return false, err
	}
	if err := c.addWorkers(workers, "v1"); err != nil {
		return false, err
	}
	if err := c.await(30 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(aloneTime)
	if trouble {
		if err := c.restart(c.role("entry")[1]); err != nil {
			return false, err
		}
	}
	if err := c.addWorkers(workers, "v2"); err != nil {
		return false, err
	}
	time.Sleep(joinTime)
	l.cut.Store(trouble)
	record.add("the second entry is cut off: %t", trouble)
	time.Sleep(cutSettle)
	mixed := c.takeUpAll()
	l.cut.Store(false)
	record.say("%d of %d streams that were taken up hold events of two versions (allowed: %d)", mixed, restartStreams/2, allowedMixed)
	return mixed > allowedMixed, nil
}

// addWorkers starts two workers of a software version.
func (c *cluster) addWorkers(f fleet, version string) error {
	f.software = version
	for n := range 2 {
		if err := c.addWorker(c.zones[n], f); err != nil {
			return err
		}
	}
	return nil
}

// restart kills an instance and starts it again.
func (c *cluster) restart(i *instance) error {
	c.record.add("%s is killed", i.name)
	_ = i.command.Process.Kill()
	<-i.ended
	time.Sleep(restartPause)
	if err := c.start(i, false); err != nil {
		return err
	}
	return c.await(30 * time.Second)
}

// takeUpAll begins streams at the second entry, resets half of their connections, and takes these
// streams up at the first one. It returns how many hold events of two versions.
func (c *cluster) takeUpAll() (mixed int) {
	entries := c.role("entry")
	resets := make(chan struct{})
	firsts := make([]chan answer, restartStreams)
	var streams sync.WaitGroup
	for n := range restartStreams {
		firsts[n] = make(chan answer, 1)
		var mine chan struct{}
		if n%2 == 0 {
			mine = resets
		}
		streams.Go(func() {
			id := fmt.Sprintf("stream%d", n)
			a := c.streamWithReset(mine, entries[1], id, "aa:100,"+id+":250", "content of "+id, nil)
			c.record.add("client: %s got %d, %d events, complete %t", id, a.status, len(a.events), a.complete)
			firsts[n] <- a
		})
	}
	time.Sleep(resetDelay)
	close(resets)
	results := make([]string, restartStreams)
	for n := 0; n < restartStreams; n += 2 {
		streams.Go(func() { results[n] = c.takeUp(entries[0], n, <-firsts[n]) })
	}
	streams.Wait()
	for _, text := range results {
		if strings.Contains(text, "v1") && strings.Contains(text, "v2") {
			mixed++
		}
	}
	return mixed
}

// takeUp takes up a stream whose connection was reset and returns the data of all its events.
func (c *cluster) takeUp(entry *instance, n int, first answer) string {
	if !first.begun || first.complete {
		return ""
	}
	id := fmt.Sprintf("stream%d", n)
	second := c.stream(entry, "again-"+id, "aa:100,"+id+":250", "content of "+id,
		map[string]string{names["last_event"]: fmt.Sprint(first.last), names["resumes"]: id})
	text := strings.Join(append(first.events, second.events...), ", ")
	c.record.add("client: %s taken up after event %d got %d: %s", id, first.last, second.status, text)
	return text
}
