package runner

import (
	"slices"
	"time"

	"papayaquay/core/batch"
	"papayaquay/core/event"
	"papayaquay/core/progress"
)

// expire abandons the waiting items of jobs whose expiry has passed.
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

// abandonJob dead-letters all waiting items of a job.
func (w *World) abandonJob(id, reason string) {
	j, ok := w.state.Job(id)
	if !ok {
		return
	}
	items, tokens := 0, 0
	for i, item := range j.Spec().Items() {
		if j.IsWaiting(i) {
			items, tokens = items+1, tokens+item.Tokens()
			w.outputs = append(w.outputs, batch.NewFinalItemOutput(id, batch.NewResult(i, batch.ItemDeadLettered, nil), 0))
		}
	}
	event.JobAbandoned.Log(w.logger, "job", id, "reason", reason, "items", items, "tokens", tokens)
	w.Drop(id)
}

// fill starts waiting items in free slots, in the order of the queue.
func (w *World) fill(now time.Time) {
	free := w.freeSlots(now)
	if len(free) == 0 {
		w.itemsWaiting = len(w.jobOrder) > 0
		return
	}
	for _, entry := range w.queue(now) {
		if len(free) == 0 {
			w.itemsWaiting = true
			return
		}
		row := w.jobs.Get(entry.job)
		j, ok := w.state.Job(entry.job)
		switch {
		case row == nil || !ok || w.config == nil:
		case entry.interrupted:
			w.restartItem(now, j, entry.item, row, free)
		default:
			w.startNewItems(now, j, row, free)
		}
	}
}

// freeSlots returns the number of items that may start on each server with free slots.
func (w *World) freeSlots(now time.Time) map[string]int {
	free := make(map[string]int)
	for _, s := range w.servers {
		id := s.Backend().ID()
		if b := w.backoffs.Get(id); s.Stale() || (b != nil && now.Before(b.until)) || w.ended.Has(now, s.Backend()) {
			continue
		}
		headroom, pause := w.headroom(now, id)
		n := s.Backend().Slots() - headroom - w.onlineRequests(id) - w.runningItems[id]
		if w.isHalfOpen(id) {
			n = min(n, 1-w.runningItems[id])
		}
		if room, limited := w.limitRoom(now, s.Backend()); limited {
			n = min(n, room)
		}
		if n > 0 && !pause {
			free[id] = n
		}
	}
	return free
}

// isHalfOpen reports whether the connection to a server was lost or failed and no bytes
// have arrived from it since. As behind a half-open circuit breaker, the server gets one
// item at a time until then.
func (w *World) isHalfOpen(backend string) bool {
	b := w.backoffs.Get(backend)
	return b != nil && b.consecutiveFailures > 0
}

// headroom returns the number of slots to keep free on a server and whether the server
// gets no items at all. It gets none right after a preemption, since online requests
// would preempt new items too.
func (w *World) headroom(now time.Time, backend string) (slots int, pause bool) {
	at := w.preemptedAt.Get(backend)
	if at == nil || now.Sub(*at) > headroomPeriod {
		return 0, false
	}
	return headroomSlots, now.Sub(*at) < preemptionPause
}

// restartItem starts an interrupted item again if a slot is free and no pause after a
// failure is left.
func (w *World) restartItem(now time.Time, j batch.Job, item int, row *jobRow, free map[string]int) {
	if p := w.progress.Get(itemKey{j.Spec().ID(), item}); p != nil && now.Before(p.retryAt) {
		w.itemsWaiting = true
		return
	}
	if !w.startItem(now, j, item, row, free) {
		w.itemsWaiting = true
		return
	}
	row.restartItems = slices.DeleteFunc(row.restartItems, func(i int) bool { return i == item })
}

// startNewItems starts the items of a job that were not started yet while slots are free.
func (w *World) startNewItems(now time.Time, j batch.Job, row *jobRow, free map[string]int) {
	for row.nextItem < row.itemCount {
		if j.IsWaiting(row.nextItem) && !w.startItem(now, j, row.nextItem, row, free) {
			w.itemsWaiting = true
			return
		}
		row.nextItem++
	}
}

// startItem starts an item on the server with the most free slots. It reports false if
// no server has a free slot or the route is missing.
func (w *World) startItem(now time.Time, j batch.Job, i int, row *jobRow, free map[string]int) bool {
	spec := j.Spec()
	item := spec.Items()[i]
	route, ok := w.config.Match(spec.Host(), item.Path())
	if !ok {
		w.recordMissingRoute(now, spec.ID(), row)
		return false
	}
	row.routeMissingSince = time.Time{}
	key := itemKey{spec.ID(), i}
	service := route.Pick(w.random())
	w.restartWithoutVersion(key, service)
	server, ok := w.pickServer(now, service, w.progress.Get(key), free)
	if !ok {
		return false
	}
	backend := server.Backend()
	w.countSent(now, backend.ID())
	if free[backend.ID()]--; free[backend.ID()] <= 0 {
		delete(free, backend.ID())
	}
	lastEvent := w.lastEvent(key)
	w.lastAttempt++
	counter := progress.New()
	w.running.Put(w.lastAttempt, runningRow{key: key, backend: backend.ID(), incarnation: backend.Incarnation(), version: backend.Version(), tokens: item.Tokens(), started: now, afterEvent: lastEvent, leadershipEpoch: w.leadershipEpoch,
		idleTimer: progress.NewIdleTimer(counter)})
	w.runningItems[backend.ID()]++
	event.ItemAttemptStarted.Log(w.logger, "job", spec.ID(), "item", i, "backend", backend.ID(), "version", backend.Version(), "tokens", item.Tokens(), "after_event", lastEvent,
		"due_ms", row.due.Sub(now).Milliseconds(), "late", w.estimate.isLate(now, row.due, lastEvent))
	w.startAttempt(Attempt{number: w.lastAttempt, job: spec.ID(), host: spec.Host(), item: item, backend: backend, peers: peers(backend, w.servers, w.isHalfOpen), lastEvent: lastEvent, counter: counter})
	return true
}

// recordMissingRoute abandons a job whose route has been missing for longer than
// missingRouteGrace.
func (w *World) recordMissingRoute(now time.Time, id string, row *jobRow) {
	if row.routeMissingSince.IsZero() {
		row.routeMissingSince = now
	}
	if now.Sub(row.routeMissingSince) > missingRouteGrace {
		w.abandonJob(id, "route removed")
	}
}
