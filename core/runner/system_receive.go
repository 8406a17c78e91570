package runner

import (
	"time"

	"papayaquay/core/batch"
	"papayaquay/core/event"
)

// Receive processes the report of an attempt: new output or its end.
func (w *World) Receive(now time.Time, report AttemptReport) {
	row := w.running.Get(report.number)
	if row == nil {
		return
	}
	key, backend := row.key, row.backend
	if report.status == AttemptPartial {
		if row.leadershipEpoch == w.leadershipEpoch && w.jobs.Get(key.job) != nil {
			w.appendOutput(key, row.version, report)
		}
		return
	}
	sameEpoch := row.leadershipEpoch == w.leadershipEpoch
	w.attemptEnded(report.status, row.tokens, now.Sub(row.started))
	w.running.Remove(report.number)
	w.changed = true
	if w.runningItems[backend]--; w.runningItems[backend] <= 0 {
		delete(w.runningItems, backend)
	}
	event.ItemAttemptEnded.Log(w.logger, "job", key.job, "item", key.item, "backend", backend, "end", report.status.String(), "tokens", row.tokens,
		"ran_ms", now.Sub(row.started).Milliseconds(), "last_event", report.lastEvent)
	if row.stalled && report.status == AttemptStopped {
		report.status = AttemptInterrupted
	}
	w.recordEnd(now, row, report.status)
	w.updateBackoff(now, backend, report.status)
	w.estimate.record(now.Sub(row.started), report.lastEvent-min(row.afterEvent, report.lastEvent), report.lastEvent, report.status == AttemptDone)
	if job := w.jobs.Get(key.job); sameEpoch && job != nil {
		w.applyReport(now, key, row.version, job, report)
	}
}

// updateBackoff sets or clears the backoff of a server after an attempt ended with the
// given status.
func (w *World) updateBackoff(now time.Time, backend string, status AttemptStatus) {
	switch status {
	case AttemptNotRun:
		w.backoffs.Put(backend, backoffRow{until: now.Add(notRunBackoff)})
	case AttemptInterrupted, AttemptUnreachable, AttemptServerEnded:
		failures := 0
		if b := w.backoffs.Get(backend); b != nil {
			if b.consecutiveFailures > 0 && now.Before(b.until) {
				return // another attempt has started this backoff
			}
			failures = b.consecutiveFailures
		}
		backoff := min(baseBackoff<<min(failures, 10), maxBackoff)
		w.backoffs.Put(backend, backoffRow{until: now.Add(backoff), consecutiveFailures: failures + 1})
	case AttemptDone:
		w.backoffs.Remove(backend)
	}
}

// progressOf returns the progress row of an item, which it adds if there is none.
func (w *World) progressOf(key itemKey) *progressRow {
	if p := w.progress.Get(key); p != nil {
		return p
	}
	return w.progress.Put(key, progressRow{})
}

// appendOutput adds new output of an item, which a server of a software version wrote. It
// stores the output once at least minStoreEvents events are not stored yet.
func (w *World) appendOutput(key itemKey, version string, report AttemptReport) *progressRow {
	p := w.progressOf(key)
	if report.lastEvent > p.lastEvent {
		if p.lastEvent == 0 {
			p.version = version
		}
		if p.lastEvent > p.storedEvent {
			p.text = append(p.text, '\n')
		}
		p.text, p.lastEvent = append(p.text, report.text...), report.lastEvent
	}
	if p.lastEvent >= p.storedEvent+minStoreEvents && report.status != AttemptDone {
		w.outputs = append(w.outputs, p.mark(batch.NewPartialItemOutput(key.job, key.item, p.text, p.storedEvent, p.lastEvent)))
		p.text, p.storedEvent, p.replaces = nil, p.lastEvent, false
	}
	return p
}

// applyReport stores the result of an item whose attempt ended, or queues the item to
// start again.
func (w *World) applyReport(now time.Time, key itemKey, version string, job *jobRow, report AttemptReport) {
	p := w.appendOutput(key, version, report)
	switch report.status {
	case AttemptDone:
		w.storeResult(key, p, batch.NewResult(key.item, batch.ItemDone, p.text))
		return
	case AttemptRejected:
		w.storeResult(key, p, batch.NewResult(key.item, batch.ItemDeadLettered, nil))
		return
	case AttemptFailed:
		p.failures++
		p.retryAt = now.Add(itemRetryDelay)
		if p.failures >= job.maxAttempts {
			w.storeResult(key, p, batch.NewResult(key.item, batch.ItemDeadLettered, nil))
			return
		}
	}
	job.restartItems = append(job.restartItems, key.item)
}

// mark returns an output of the item with the version of its servers, and whether it replaces
// the output in the ledger.
func (p *progressRow) mark(output batch.ItemOutput) batch.ItemOutput {
	output = output.WithVersion(p.version)
	if p.replaces {
		output = output.AsReplacement()
	}
	return output
}

// storeResult adds the result of an item to the outputs to store.
func (w *World) storeResult(key itemKey, p *progressRow, result batch.Result) {
	w.progress.Remove(key)
	w.outputs = append(w.outputs, p.mark(batch.NewFinalItemOutput(key.job, result, p.storedEvent)))
}

// ResultApplied processes the state of a job after the ledger applied an output. A job
// without waiting items is dropped. An item whose result did not continue the stored
// output starts again.
func (w *World) ResultApplied(j batch.Job, output batch.ItemOutput) {
	if !j.Open() {
		w.Drop(j.Spec().ID())
		return
	}
	job, item := w.jobs.Get(output.Job()), output.Result().Item()
	if job == nil || output.Result().Status() == 0 || !j.IsWaiting(item) {
		return
	}
	partial := j.PartialOutput(item)
	stored := partial.LastEvent()
	event.ResultMismatch.Log(w.logger, "job", output.Job(), "item", item, "from", output.AfterEvent(), "stored", stored)
	w.progress.Put(itemKey{output.Job(), item}, progressRow{lastEvent: stored, storedEvent: stored, version: partial.Version()})
	job.restartItems = append(job.restartItems, item)
}
