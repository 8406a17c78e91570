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
		if row.lead == w.lead && w.jobs.Get(key.job) != nil {
			w.keep(key, o)
		}
		return
	}
	ours := row.lead == w.lead
	w.ended(o.status, now.Sub(row.started))
	w.running.Remove(o.number)
	w.changed = true
	if w.counts[backend]--; w.counts[backend] <= 0 {
		delete(w.counts, backend)
	}
	event.ItemEnded.Log(w.logger, "job", key.job, "item", key.item, "backend", backend, "end", o.status.String(),
		"ran_ms", now.Sub(row.started).Milliseconds(), "last_event", o.lastEvent)
	if row.silent && o.status == AttemptStopped {
		o.status = AttemptInterrupted
	}
	w.judge(now, backend, o.status)
	w.pace.note(now.Sub(row.started), o.lastEvent-min(row.last, o.lastEvent), o.lastEvent, o.status == AttemptDone)
	if job := w.jobs.Get(key.job); ours && job != nil {
		w.settle(now, key, job, o)
	}
}

// judge keeps items away from a server that did not do its work.
func (w *World) judge(now time.Time, backend string, end AttemptStatus) {
	switch end {
	case AttemptNotRun:
		w.pauses.Put(backend, pauseRow{until: now.Add(notRunPause)})
	case AttemptInterrupted, AttemptUnreachable:
		count := 0
		if p := w.pauses.Get(backend); p != nil {
			if p.count > 0 && now.Before(p.until) {
				return // another item of the same round told already
			}
			count = p.count
		}
		pause := min(brokenPause<<min(count, 10), maxPause)
		w.pauses.Put(backend, pauseRow{until: now.Add(pause), count: count + 1})
	case AttemptDone:
		w.pauses.Remove(backend)
	}
}

// progressOf returns the row of an item.
func (w *World) progressOf(key itemKey) *progressRow {
	if p := w.progress.Get(key); p != nil {
		return p
	}
	return w.progress.Put(key, progressRow{})
}

// keep adds new output of an item and stores it when there is enough.
func (w *World) keep(key itemKey, o AttemptReport) *progressRow {
	p := w.progressOf(key)
	if o.lastEvent > p.last {
		if p.last > p.saved {
			p.text = append(p.text, '\n')
		}
		p.text, p.last = append(p.text, o.text...), o.lastEvent
	}
	if p.last >= p.saved+saveEvents && o.status != AttemptDone {
		w.finishes = append(w.finishes, batch.NewPartialOutput(key.job, key.item, p.text, p.saved, p.last))
		p.text, p.saved = nil, p.last
	}
	return p
}

// settle stores the item's result or lets it start again.
func (w *World) settle(now time.Time, key itemKey, job *jobRow, o AttemptReport) {
	p := w.keep(key, o)
	switch o.status {
	case AttemptDone:
		w.finish(key, batch.NewResult(key.item, batch.ItemDone, p.text), p.saved)
		return
	case AttemptRejected:
		w.finish(key, batch.NewResult(key.item, batch.ItemDeadLettered, nil), p.saved)
		return
	case AttemptFailed:
		p.failures++
		p.notUntil = now.Add(failurePause)
		if p.failures >= job.attempts {
			w.finish(key, batch.NewResult(key.item, batch.ItemDeadLettered, nil), p.saved)
			return
		}
	}
	job.again = append(job.again, key.item)
}

// finish hands out the result of an item.
func (w *World) finish(key itemKey, result batch.Result, from uint64) {
	w.progress.Remove(key)
	w.finishes = append(w.finishes, batch.NewFinalOutput(key.job, result, from))
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
	w.progress.Put(itemKey{f.Job(), item}, progressRow{last: stored, saved: stored})
	job.again = append(job.again, item)
}
