package runner

import (
	"slices"
	"time"

	"papayaquay/core/batch"
	"papayaquay/core/directory"
	"papayaquay/core/event"
	"papayaquay/core/progress"
)

// yield stops items on servers that have more work than slots.
func (w *World) yield(now time.Time) {
	var stopping map[string]int
	for _, s := range w.servers {
		id := s.Backend().ID()
		excess := w.online(id) + w.counts[id] - s.Backend().Slots()
		if excess <= 0 || w.counts[id] == 0 {
			continue
		}
		if stopping == nil {
			stopping = w.stopping()
		}
		for n := stopping[id]; n < excess && w.stopOne(now, id); n++ {
		}
	}
}

// stopping counts the attempts on each server that are being stopped.
func (w *World) stopping() map[string]int {
	counts := make(map[string]int)
	w.running.Each(func(_ uint64, row *runningRow) {
		if row.stopping {
			counts[row.backend]++
		}
	})
	return counts
}

// stopOne stops the attempt on a server that can best wait: one that is late
// anyway, else the one that is due last. It reports false when there is none.
func (w *World) stopOne(now time.Time, backend string) bool {
	victim := uint64(0)
	var best *runningRow
	w.running.Each(func(number uint64, row *runningRow) {
		if row.backend == backend && !row.stopping && (best == nil || w.canWait(now, row, best)) {
			victim, best = number, row
		}
	})
	if best == nil {
		return false
	}
	event.ItemPreempted.Log(w.logger, "job", best.key.job, "item", best.key.item, "backend", backend,
		"online", w.online(backend), "batch", w.counts[backend], "ran_ms", now.Sub(best.started).Milliseconds())
	w.yielded.Put(backend, now)
	w.halt(victim, best)
	return true
}

// canWait reports whether an attempt can rather wait than another one.
func (w *World) canWait(now time.Time, row, other *runningRow) bool {
	job, otherJob := w.jobs.Get(row.key.job), w.jobs.Get(other.key.job)
	if job == nil || otherJob == nil {
		return job == nil
	}
	late, otherLate := w.pace.late(now, job.due, row.last), w.pace.late(now, otherJob.due, other.last)
	if late != otherLate {
		return late
	}
	return job.due.After(otherJob.due)
}

// expire gives up the items of jobs that may be given up.
func (w *World) expire(now time.Time) {
	if now.Before(w.expireAt) {
		return
	}
	w.expireAt = now.Add(expireEvery)
	for _, id := range slices.Clone(w.order) {
		if row := w.jobs.Get(id); row != nil && !row.expiry.IsZero() && now.After(row.expiry) {
			w.giveUp(id, "expired")
		}
	}
}

// giveUp marks all waiting items of a job as dead.
func (w *World) giveUp(id, reason string) {
	j, ok := w.state.Job(id)
	if !ok {
		return
	}
	event.JobAbandoned.Log(w.logger, "job", id, "reason", reason)
	for i := range j.Spec().Items() {
		if j.IsWaiting(i) {
			w.finishes = append(w.finishes, batch.NewFinalOutput(id, batch.NewResult(i, batch.ItemDeadLettered, nil), 0))
		}
	}
	w.Drop(id)
}

// fill starts items in free slots, jobs that are due first coming first. Jobs
// that can no longer be in time come after the others.
func (w *World) fill(now time.Time) {
	w.sort(now)
	free := w.freeSlots(now)
	for _, id := range slices.Clone(w.order) {
		row := w.jobs.Get(id)
		if row == nil {
			continue
		}
		if len(free) == 0 {
			w.waiting = true
			return
		}
		w.fillJob(now, id, row, free)
	}
}

// sort orders the jobs by due time, late ones last.
func (w *World) sort(now time.Time) {
	late := func(id string) bool { return w.pace.late(now, w.jobs.Get(id).due, 0) }
	slices.SortStableFunc(w.order, func(a, b string) int {
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
		if p := w.pauses.Get(id); s.Stale() || (p != nil && now.Before(p.until)) {
			continue
		}
		reserve, pause := w.caution(now, id)
		n := s.Backend().Slots() - reserve - w.online(id) - w.counts[id]
		if w.doubtful(id) {
			n = min(n, 1-w.counts[id])
		}
		if n > 0 && !pause {
			free[id] = n
		}
	}
	return free
}

// doubtful reports whether a server did not work at last. It gets one item at a
// time until bytes come of one.
func (w *World) doubtful(backend string) bool {
	p := w.pauses.Get(backend)
	return p != nil && p.count > 0
}

// caution returns the slots to leave free on a server and whether it gets no
// items at all: right after items gave way there, the next would have to too.
func (w *World) caution(now time.Time, backend string) (reserve int, pause bool) {
	at := w.yielded.Get(backend)
	if at == nil || now.Sub(*at) > yieldCaution {
		return 0, false
	}
	return cautiousSlots, now.Sub(*at) < yieldPause
}

// fillJob starts items of one job as long as there are slots.
func (w *World) fillJob(now time.Time, id string, row *jobRow, free map[string]int) {
	j, ok := w.state.Job(id)
	if !ok || w.config == nil {
		return
	}
	items := j.Spec().Items()
	again := row.again
	row.again = nil
	for n, i := range again {
		if p := w.progress.Get(itemKey{id, i}); p != nil && now.Before(p.notUntil) {
			row.again = append(row.again, i)
			w.waiting = true
			continue
		}
		if !w.startItem(now, j, i, row, free) {
			row.again = append(row.again, again[n:]...)
			w.waiting = true
			return
		}
	}
	for row.next < len(items) {
		if j.IsWaiting(row.next) && !w.startItem(now, j, row.next, row, free) {
			w.waiting = true
			return
		}
		row.next++
	}
}

// startItem starts an item on the server with the most free slots, and
// reports false when there is none.
func (w *World) startItem(now time.Time, j batch.Job, i int, row *jobRow, free map[string]int) bool {
	o := j.Spec()
	item := o.Items()[i]
	route, ok := w.config.Match(o.Host(), item.Path())
	if !ok {
		w.miss(now, o.ID(), row)
		return false
	}
	row.missing = time.Time{}
	server, ok := w.pick(route.Pick(w.random()), free)
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
		last = p.last
	}
	w.last++
	counter := progress.New()
	w.running.Put(w.last, runningRow{key: key, backend: backend.ID(), started: now, last: last, lead: w.lead,
		watch: progress.NewIdleTimer(counter)})
	w.counts[backend.ID()]++
	w.start(Attempt{number: w.last, job: o.ID(), host: o.Host(), item: item, backend: backend, lastEvent: last, counter: counter})
	return true
}

// miss gives a job up when its route has been gone for long.
func (w *World) miss(now time.Time, id string, row *jobRow) {
	if row.missing.IsZero() {
		row.missing = now
	}
	if now.Sub(row.missing) > routeGrace {
		w.giveUp(id, "route removed")
	}
}

// pick returns the server of a service with the most free slots.
func (w *World) pick(service string, free map[string]int) (directory.Server, bool) {
	var best directory.Server
	most := 0
	for _, s := range w.servers {
		if n := free[s.Backend().ID()]; n > most && s.Backend().Runs(service) {
			best, most = s, n
		}
	}
	return best, most > 0
}
