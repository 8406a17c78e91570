package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

// Times of the cases of joined versions.
const (
	longSettleTime = 32 * time.Second // with one version, until control processes deduce versions
	settleTime     = 8 * time.Second  // with one version
	releaseTime    = time.Second      // from the start of the partition until new workers serve
	beforeBreak    = 1200 * time.Millisecond
	maxJoined      = 2 // streams that may hold events of two versions
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
	if trouble {
		d.cutOffEntry(true)
	}
	if _, err := d.addVersion(2, "v2", streamPause/2); err != nil {
		return exitNotRun, err
	}
	time.Sleep(releaseTime)
	streams, next, err := d.takeUp(0, proxiedEntryNumber)
	if trouble {
		d.cutOffEntry(false)
	}
	if err != nil {
		return exitNotRun, err
	}
	return judgeVersions(d, streams, next)
}

// cutOffEntry cuts the entry behind proxies off from the processes with a disk, or joins them.
func (d *deployment) cutOffEntry(cut bool) {
	for _, p := range d.processes {
		if p.role != "entry" {
			d.network.setCut(d.processes[proxiedEntry].listen, p.listen, cut)
		}
	}
	d.record.add("network: entry %d cut off from the processes with a disk: %t", proxiedEntryNumber, cut)
}

// takeUp begins streams at an entry, resets their channels after beforeBreak, and takes them
// up at another one.
func (d *deployment) takeUp(first, second int) ([]*stream, []stream, error) {
	b, err := newBreaker(strings.TrimPrefix(d.entryURL(first, ""), "http://"))
	if err != nil {
		return nil, nil, err
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
	d.record.add("network: the channels of the clients to entry %d are reset", first)
	wait.Wait()
	for n, s := range streams {
		if s.lastEvent > 0 && s.lastEvent < eventCount {
			wait.Go(func() {
				d.open(context.Background(), d.entryURL(second, ""), s.id+"a", s.id, s.lastEvent, timeBudget-time.Since(s.began), &next[n])
			})
		}
	}
	wait.Wait()
	return streams, next, nil
}

// judgeVersions counts the streams that hold events of two versions.
func judgeVersions(d *deployment, streams []*stream, next []stream) (int, error) {
	joined, taken := 0, 0
	for n, s := range streams {
		d.record.add("client: stream %s: status %d, %d events of %q; taken up: status %d, %d more events of %q",
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

// deducedVersion checks that no stream holds events of two software versions, when the entry
// that begins streams is cut off from the processes with a disk after workers of a new version
// came, and another one continues them.
func deducedVersion(d *deployment, trouble bool) (int, error) {
	if _, err := d.addVersion(0, "v1", streamPause/2); err != nil {
		return exitNotRun, err
	}
	if !d.awaitReady() {
		return exitNotRun, errNotReady
	}
	time.Sleep(longSettleTime)
	if _, err := d.addVersion(2, "v2", streamPause/2); err != nil {
		return exitNotRun, err
	}
	time.Sleep(releaseTime)
	if trouble {
		d.cutOffEntry(true)
	}
	streams, next, err := d.takeUp(proxiedEntryNumber, 0)
	if trouble {
		d.cutOffEntry(false)
	}
	if err != nil {
		return exitNotRun, err
	}
	return judgeVersions(d, streams, next)
}
