package runner

import (
	"time"

	"papayaquay/core/batch"
	"papayaquay/core/event"
)

// Receive ends an attempt.
func (w *World) Receive(now time.Time, o AttemptReport) {
	row := w.running.Get(o.number)
	if row == nil {
		return
	}
	key, backend := row.key, row.backend
	if o.status == AttemptPartial {
		if row.epoch == w.epoch && w.jobs.Get(key.job) != nil {
			w.appendOutput(key, o)
		}
		return
	}
	sameEpoch := row.epoch == w.epoch
	w.attemptEnded(o.status, now.Sub(row.started))
	w.running.Remove(o.number)
	w.changed = true
	if w.runningItems[backend]--; w.runningItems[backend] <= 0 {
		delete(w.runningItems, backend)
	}
	event.ItemEnded.Log(w.logger, "job", key.job, "item", key.item, "backend", backend, "end", o.status.String(),
		"ran_ms", now.Sub(row.started).Milliseconds(), "last_event", o.lastEvent)
	if row.stalled && o.status == AttemptStopped {
		o.status = AttemptInterrupted
	}
	w.updateBackoff(now, backend, o.status)
	w.estimate.record(now.Sub(row.started), o.lastEvent-min(row.afterEvent, o.lastEvent), o.lastEvent, o.status == AttemptDone)
	if job := w.jobs.Get(key.job); sameEpoch && job != nil {
		w.applyReport(now, key, job, o)
	}
}

// updateBackoff keeps items away from a server that did not do its work.
func (w *World) updateBackoff(now time.Time, backend string, end AttemptStatus) {
	switch end {
	case AttemptNotRun:
		w.backoffs.Put(backend, backoffRow{until: now.Add(notRunBackoff)})
	case AttemptInterrupted, AttemptUnreachable:
		count := 0
		if p := w.backoffs.Get(backend); p != nil {
			if p.failedRounds > 0 && now.Before(p.until) {
				return // another item of the same round told already
			}
			count = p.failedRounds
		}
		backoff := min(baseBackoff<<min(count, 10), maxBackoff)
		w.backoffs.Put(backend, backoffRow{until: now.Add(backoff), failedRounds: count + 1})
	case AttemptDone:
		w.backoffs.Remove(backend)
	}
}

// progressOf returns the row of an item.
func (w *World) progressOf(key itemKey) *progressRow {
	if p := w.progress.Get(key); p != nil {
		return p
	}
	return w.progress.Put(key, progressRow{})
}

// appendOutput adds new output of an item and stores it when there is enough.
func (w *World) appendOutput(key itemKey, o AttemptReport) *progressRow {
	p := w.progressOf(key)
	if o.lastEvent > p.lastEvent {
		if p.lastEvent > p.storedEvent {
			p.text = append(p.text, '\n')
		}
		p.text, p.lastEvent = append(p.text, o.text...), o.lastEvent
	}
	if p.lastEvent >= p.storedEvent+minStoreEvents && o.status != AttemptDone {
		w.outputs = append(w.outputs, batch.NewPartialOutput(key.job, key.item, p.text, p.storedEvent, p.lastEvent))
		p.text, p.storedEvent = nil, p.lastEvent
	}
	return p
}

// applyReport stores the item's result or lets it start again.
func (w *World) applyReport(now time.Time, key itemKey, job *jobRow, o AttemptReport) {
	p := w.appendOutput(key, o)
	switch o.status {
	case AttemptDone:
		w.storeResult(key, batch.NewResult(key.item, batch.ItemDone, p.text), p.storedEvent)
		return
	case AttemptRejected:
		w.storeResult(key, batch.NewResult(key.item, batch.ItemDeadLettered, nil), p.storedEvent)
		return
	case AttemptFailed:
		p.failures++
		p.retryAt = now.Add(itemRetryDelay)
		if p.failures >= job.maxAttempts {
			w.storeResult(key, batch.NewResult(key.item, batch.ItemDeadLettered, nil), p.storedEvent)
			return
		}
	}
	job.restartItems = append(job.restartItems, key.item)
}

// storeResult hands out the result of an item.
func (w *World) storeResult(key itemKey, result batch.Result, from uint64) {
	w.progress.Remove(key)
	w.outputs = append(w.outputs, batch.NewFinalOutput(key.job, result, from))
}

// ResultApplied takes what became of a result: a job whose items all have results is
// dropped, an item whose result did not fit the stored output starts again.
func (w *World) ResultApplied(j batch.Job, f batch.ItemOutput) {
	if !j.Open() {
		w.Drop(j.Spec().ID())
		return
	}
	job, item := w.jobs.Get(f.Job()), f.Result().Item()
	if job == nil || f.Result().Status() == 0 || !j.IsWaiting(item) {
		return
	}
	stored := j.Partial(item).LastEvent()
	event.ResultMismatch.Log(w.logger, "job", f.Job(), "item", item, "from", f.AfterEvent(), "stored", stored)
	w.progress.Put(itemKey{f.Job(), item}, progressRow{lastEvent: stored, storedEvent: stored})
	job.restartItems = append(job.restartItems, item)
}
