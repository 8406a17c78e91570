package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

// Times of the case of joined versions.
const (
	settleTime  = 8 * time.Second // with one version
	releaseTime = time.Second     // from the start of the partition until new workers serve
	beforeBreak = 1200 * time.Millisecond
	maxJoined   = 2
)

// joinedVersions checks that no stream holds events of two software versions, when an entry
// is cut off from the processes with a disk while workers of a new version come.
func joinedVersions(d *deployment, trouble bool) (int, error) {
	if _, err := d.addVersion(0, "v1", streamPause/2); err != nil {
		return exitNotRun, err
	}
	if !d.awaitReady() {
		return exitNotRun, errNotReady
	}
	time.Sleep(settleTime)
	cutOff := d.withRole("entry")[1]
	setCut := func(cut bool) {
		for _, p := range d.processes {
			if p.role != "entry" {
				d.network.setCut(cutOff.listen, p.listen, cut)
			}
		}
		d.record.add("network: entry 1 cut off from the processes with a disk: %t", cut)
	}
	if trouble {
		setCut(true)
	}
	if _, err := d.addVersion(2, "v2", streamPause/2); err != nil {
		return exitNotRun, err
	}
	time.Sleep(releaseTime)
	b, err := newBreaker(strings.TrimPrefix(d.entryURL(0, ""), "http://"))
	if err != nil {
		return exitNotRun, err
	}
	defer b.listener.Close()
	var wait sync.WaitGroup
	streams, next := make([]*stream, streamCount), make([]stream, streamCount)
	for n := range streams {
		s := &stream{id: fmt.Sprintf("9c41d07be2a3%04x", n), began: time.Now()}
		streams[n] = s
		wait.Go(func() {
			d.open(context.Background(), "http://"+b.listener.Addr().String(), s.id, "", 0, timeBudget, s)
		})
	}
	time.Sleep(beforeBreak)
	b.reset()
	d.record.add("network: the channels of the clients to entry 0 are reset")
	wait.Wait()
	for n, s := range streams {
		if s.lastEvent > 0 && s.lastEvent < eventCount {
			wait.Go(func() {
				d.open(context.Background(), d.entryURL(1, ""), s.id+"a", s.id, s.lastEvent, timeBudget-time.Since(s.began), &next[n])
			})
		}
	}
	wait.Wait()
	if trouble {
		setCut(false)
	}
	joined, taken := 0, 0
	for n, s := range streams {
		d.record.add("client: stream %s: status %d, %d events of %q; taken up at entry 1: status %d, %d more events of %q",
			s.id, s.status, s.lastEvent, s.version, next[n].status, next[n].lastEvent, next[n].version)
		if s.lastEvent > 0 {
			taken++
		}
		if s.lastEvent > 0 && next[n].lastEvent > 0 && s.version != next[n].version {
			joined++
		}
	}
	d.record.add("client: %d streams taken up, %d hold events of two versions", taken, joined)
	if taken < minTakenUp {
		return exitNotRun, errors.New("too few streams")
	}
	if joined > maxJoined {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// addVersion starts two workers of a software version, with a pause between their events.
func (d *deployment) addVersion(first int, version string, pause time.Duration) ([]*worker, error) {
	var workers []*worker
	for n := first; n < first+2; n++ {
		w, err := d.newWorker(n, "tokens", version)
		if err != nil {
			return nil, err
		}
		w.pause = pause
		workers = append(workers, w)
	}
	return workers, nil
}
