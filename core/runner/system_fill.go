package runner

import (
	"slices"
	"time"

	"papayaquay/core/batch"
	"papayaquay/core/directory"
	"papayaquay/core/event"
	"papayaquay/core/progress"
)

// preempt stops items on servers that have more work than slots.
func (w *World) preempt(now time.Time) {
	var stopping map[string]int
	for _, s := range w.servers {
		id := s.Backend().ID()
		excess := w.onlineRequests(id) + w.runningItems[id] - s.Backend().Slots()
		if excess <= 0 || w.runningItems[id] == 0 {
			continue
		}
		if stopping == nil {
			stopping = w.stoppingCounts()
		}
		for n := stopping[id]; n < excess && w.preemptOne(now, id); n++ {
		}
	}
}

// stoppingCounts counts the attempts on each server that are being stopped.
func (w *World) stoppingCounts() map[string]int {
	counts := make(map[string]int)
	w.running.Each(func(_ uint64, row *runningRow) {
		if row.stopping {
			counts[row.backend]++
		}
	})
	return counts
}

// preemptOne stops the attempt on a server that can best wait: one that is late
// anyway, else the one that is due last. It reports false when there is none.
func (w *World) preemptOne(now time.Time, backend string) bool {
	victim := uint64(0)
	var best *runningRow
	w.running.Each(func(number uint64, row *runningRow) {
		if row.backend == backend && !row.stopping && (best == nil || w.isBetterVictim(now, row, best)) {
			victim, best = number, row
		}
	})
	if best == nil {
		return false
	}
	event.ItemPreempted.Log(w.logger, "job", best.key.job, "item", best.key.item, "backend", backend,
		"online", w.onlineRequests(backend), "batch", w.runningItems[backend], "ran_ms", now.Sub(best.started).Milliseconds())
	w.preemptedAt.Put(backend, now)
	w.requestStop(victim, best)
	return true
}

// isBetterVictim reports whether an attempt can rather wait than another one.
func (w *World) isBetterVictim(now time.Time, row, other *runningRow) bool {
	job, otherJob := w.jobs.Get(row.key.job), w.jobs.Get(other.key.job)
	if job == nil || otherJob == nil {
		return job == nil
	}
	late, otherLate := w.estimate.isLate(now, job.due, row.afterEvent), w.estimate.isLate(now, otherJob.due, other.afterEvent)
	if late != otherLate {
		return late
	}
	return job.due.After(otherJob.due)
}

// expire gives up the items of jobs that may be given up.
func (w *World) expire(now time.Time) {
	if now.Before(w.nextExpire) {
		return
	}
	w.nextExpire = now.Add(expireInterval)
	for _, id := range slices.Clone(w.jobOrder) {
		if row := w.jobs.Get(id); row != nil && !row.expiry.IsZero() && now.After(row.expiry) {
			w.abandonJob(id, "expired")
		}
	}
}

// abandonJob marks all waiting items of a job as dead.
func (w *World) abandonJob(id, reason string) {
	j, ok := w.state.Job(id)
	if !ok {
		return
	}
	event.JobAbandoned.Log(w.logger, "job", id, "reason", reason)
	for i := range j.Spec().Items() {
		if j.IsWaiting(i) {
			w.outputs = append(w.outputs, batch.NewFinalOutput(id, batch.NewResult(i, batch.ItemDeadLettered, nil), 0))
		}
	}
	w.Drop(id)
}

// fill starts items in free slots, jobs that are due first coming first. Jobs
// that can no longer be in time come after the others.
func (w *World) fill(now time.Time) {
	w.sortJobs(now)
	free := w.freeSlots(now)
	for _, id := range slices.Clone(w.jobOrder) {
		row := w.jobs.Get(id)
		if row == nil {
			continue
		}
		if len(free) == 0 {
			w.itemsWaiting = true
			return
		}
		w.fillJob(now, id, row, free)
	}
}

// sortJobs orders the jobs by due time, late ones last.
func (w *World) sortJobs(now time.Time) {
	late := func(id string) bool { return w.estimate.isLate(now, w.jobs.Get(id).due, 0) }
	slices.SortStableFunc(w.jobOrder, func(a, b string) int {
		if late(a) != late(b) {
			if late(a) {
				return 1
			}
			return -1
		}
		return w.jobs.Get(a).due.Compare(w.jobs.Get(b).due)
	})
}

// freeSlots returns the servers with room for items.
func (w *World) freeSlots(now time.Time) map[string]int {
	free := make(map[string]int)
	for _, s := range w.servers {
		id := s.Backend().ID()
		if p := w.backoffs.Get(id); s.Stale() || (p != nil && now.Before(p.until)) {
			continue
		}
		headroom, pause := w.headroom(now, id)
		n := s.Backend().Slots() - headroom - w.onlineRequests(id) - w.runningItems[id]
		if w.isHalfOpen(id) {
			n = min(n, 1-w.runningItems[id])
		}
		if n > 0 && !pause {
			free[id] = n
		}
	}
	return free
}

// isHalfOpen reports whether a server did not work at last. It gets one item at a
// time until bytes come of one.
func (w *World) isHalfOpen(backend string) bool {
	p := w.backoffs.Get(backend)
	return p != nil && p.failedRounds > 0
}

// headroom returns the slots to leave free on a server and whether it gets no
// items at all: right after items gave way there, the next would have to too.
func (w *World) headroom(now time.Time, backend string) (slots int, pause bool) {
	at := w.preemptedAt.Get(backend)
	if at == nil || now.Sub(*at) > headroomPeriod {
		return 0, false
	}
	return headroomSlots, now.Sub(*at) < preemptionPause
}

// fillJob starts items of one job as long as there are slots.
func (w *World) fillJob(now time.Time, id string, row *jobRow, free map[string]int) {
	j, ok := w.state.Job(id)
	if !ok || w.config == nil {
		return
	}
	items := j.Spec().Items()
	restartItems := row.restartItems
	row.restartItems = nil
	for n, i := range restartItems {
		if p := w.progress.Get(itemKey{id, i}); p != nil && now.Before(p.retryAt) {
			row.restartItems = append(row.restartItems, i)
			w.itemsWaiting = true
			continue
		}
		if !w.startItem(now, j, i, row, free) {
			row.restartItems = append(row.restartItems, restartItems[n:]...)
			w.itemsWaiting = true
			return
		}
	}
	for row.nextItem < len(items) {
		if j.IsWaiting(row.nextItem) && !w.startItem(now, j, row.nextItem, row, free) {
			w.itemsWaiting = true
			return
		}
		row.nextItem++
	}
}

// startItem starts an item on the server with the most free slots, and
// reports false when there is none.
func (w *World) startItem(now time.Time, j batch.Job, i int, row *jobRow, free map[string]int) bool {
	o := j.Spec()
	item := o.Items()[i]
	route, ok := w.config.Match(o.Host(), item.Path())
	if !ok {
		w.recordMissingRoute(now, o.ID(), row)
		return false
	}
	row.routeMissingSince = time.Time{}
	server, ok := w.pickServer(route.Pick(w.random()), free)
	if !ok {
		return false
	}
	backend := server.Backend()
	if free[backend.ID()]--; free[backend.ID()] <= 0 {
		delete(free, backend.ID())
	}
	key := itemKey{o.ID(), i}
	last := uint64(0)
	if p := w.progress.Get(key); p != nil {
		last = p.lastEvent
	}
	w.lastAttempt++
	counter := progress.New()
	w.running.Put(w.lastAttempt, runningRow{key: key, backend: backend.ID(), started: now, afterEvent: last, epoch: w.epoch,
		idleTimer: progress.NewIdleTimer(counter)})
	w.runningItems[backend.ID()]++
	w.startAttempt(Attempt{number: w.lastAttempt, job: o.ID(), host: o.Host(), item: item, backend: backend, lastEvent: last, counter: counter})
	return true
}

// recordMissingRoute gives a job up when its route has been gone for long.
func (w *World) recordMissingRoute(now time.Time, id string, row *jobRow) {
	if row.routeMissingSince.IsZero() {
		row.routeMissingSince = now
	}
	if now.Sub(row.routeMissingSince) > missingRouteGrace {
		w.abandonJob(id, "route removed")
	}
}

// pickServer returns the server of a service with the most free slots.
func (w *World) pickServer(service string, free map[string]int) (directory.Server, bool) {
	var best directory.Server
	most := 0
	for _, s := range w.servers {
		if n := free[s.Backend().ID()]; n > most && s.Backend().Runs(service) {
			best, most = s, n
		}
	}
	return best, most > 0
}
