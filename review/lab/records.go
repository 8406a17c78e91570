package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

// Times and counts of the case of lost records.
const (
	mixedTime  = 8 * time.Second                    // in which two versions serve, before the streams begin
	beginTime  = 700 * time.Millisecond             // until the control processes are killed
	breakAfter = contactTime + 500*time.Millisecond // after the control processes were started again
	freshCount = 12                                 // streams that begin beside those that are taken up
)

// lostRecords checks that clients can take up streams while workers of two software versions
// serve, after all control processes were killed at once and started again.
func lostRecords(d *deployment, trouble bool) (int, error) {
	for n, version := range []string{"v1", "v2"} {
		if _, err := d.addVersion(2*n, version, streamPause); err != nil {
			return exitNotRun, err
		}
	}
	if !d.awaitReady() {
		return exitNotRun, errNotReady
	}
	time.Sleep(mixedTime)
	streams := make([]*stream, streamCount)
	b, err := newBreaker(strings.TrimPrefix(d.entryURL(0, ""), "http://"))
	if err != nil {
		return exitNotRun, err
	}
	defer b.listener.Close()
	var wait sync.WaitGroup
	for n := range streams {
		s := &stream{id: fmt.Sprintf("9c41d07be2a3%04x", n), began: time.Now()}
		streams[n] = s
		wait.Go(func() {
			d.open(context.Background(), "http://"+b.listener.Addr().String(), s.id, "", 0, timeBudget, s)
		})
	}
	time.Sleep(beginTime)
	if trouble {
		d.record.add("control: all processes are killed")
		for _, p := range d.withRole("control") {
			_ = p.command.Process.Kill()
			<-p.exited
		}
		for _, p := range d.withRole("control") {
			if err := d.start(p, false); err != nil {
				return exitNotRun, err
			}
		}
		d.record.add("control: all processes are started again")
	}
	time.Sleep(breakAfter)
	b.reset()
	d.record.add("network: the channels of the clients to entry 0 are reset")
	wait.Wait()
	return judgeTakenUp(d, streams)
}

// judgeTakenUp takes up broken streams at the other entry, begins new ones beside them, and
// compares the shares that go on and begin.
func judgeTakenUp(d *deployment, streams []*stream) (int, error) {
	var wait sync.WaitGroup
	next, fresh := make([]stream, len(streams)), make([]stream, freshCount)
	taken := 0
	for n, s := range streams {
		d.record.add("client: stream %s of %s: status %d, broken after event %d", s.id, s.version, s.status, s.lastEvent)
		if s.lastEvent == 0 || s.lastEvent == eventCount {
			continue
		}
		taken++
		wait.Go(func() {
			for try := 1; try <= 2 && next[n].lastEvent == 0; try++ {
				d.open(context.Background(), d.entryURL(try, ""), fmt.Sprintf("%s%d", s.id, try), s.id, s.lastEvent, timeBudget-time.Since(s.began), &next[n])
				d.record.add("client: stream %s taken up at entry %d: status %d, %d more events, of %q", s.id, try, next[n].status, next[n].lastEvent, next[n].version)
				time.Sleep(retryAfter)
			}
		})
	}
	for n := range fresh {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			d.open(ctx, d.entryURL(1, ""), fmt.Sprintf("9c41d07be2b3%04x", n), "", 0, timeBudget, &fresh[n])
		})
	}
	wait.Wait()
	goesOn, begins := 0, 0
	for n, s := range streams {
		if next[n].lastEvent > 0 && next[n].version == s.version {
			goesOn++
		}
	}
	for n := range fresh {
		d.record.add("client: new stream %d at entry 1: status %d, %d events", n, fresh[n].status, fresh[n].lastEvent)
		if fresh[n].lastEvent > 0 {
			begins++
		}
	}
	d.record.add("client: %d of %d streams go on, %d of %d new streams begin", goesOn, taken, begins, freshCount)
	if taken < minTakenUp {
		return exitNotRun, errors.New("too few streams")
	}
	if goesOn*2*freshCount < begins*taken {
		return exitBroken, nil
	}
	return exitHeld, nil
}
