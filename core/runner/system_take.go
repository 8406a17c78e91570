package runner

import (
	"time"

	"papayaquay/core/batch"
	"papayaquay/core/event"
)

// Take ends an attempt.
func (w *World) Take(now time.Time, o Outcome) {
	row := w.running.Get(o.number)
	if row == nil {
		return
	}
	key, backend := row.key, row.backend
	if o.end == EndPart {
		if row.lead == w.lead && w.jobs.Get(key.job) != nil {
			w.keep(key, o)
		}
		return
	}
	ours := row.lead == w.lead
	w.ended(o.end, now.Sub(row.started))
	w.running.Remove(o.number)
	w.changed = true
	if w.counts[backend]--; w.counts[backend] <= 0 {
		delete(w.counts, backend)
	}
	event.ItemEnded.Log(w.logger, "job", key.job, "item", key.item, "backend", backend, "end", o.end.String(),
		"ran_ms", now.Sub(row.started).Milliseconds(), "last_event", o.last)
	if row.silent && o.end == EndStopped {
		o.end = EndBroken
	}
	w.judge(now, backend, o.end)
	w.pace.note(now.Sub(row.started), o.last-min(row.last, o.last), o.last, o.end == EndDone)
	if job := w.jobs.Get(key.job); ours && job != nil {
		w.settle(now, key, job, o)
	}
}

// judge keeps items away from a server that did not do its work.
func (w *World) judge(now time.Time, backend string, end End) {
	switch end {
	case EndNotRun:
		w.pauses.Put(backend, pauseRow{until: now.Add(notRunPause)})
	case EndBroken, EndUnreachable:
		count := 0
		if p := w.pauses.Get(backend); p != nil {
			if p.count > 0 && now.Before(p.until) {
				return // another item of the same round told already
			}
			count = p.count
		}
		pause := min(brokenPause<<min(count, 10), maxPause)
		w.pauses.Put(backend, pauseRow{until: now.Add(pause), count: count + 1})
	case EndDone:
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
func (w *World) keep(key itemKey, o Outcome) *progressRow {
	p := w.progressOf(key)
	if o.last > p.last {
		if p.last > p.saved {
			p.text = append(p.text, '\n')
		}
		p.text, p.last = append(p.text, o.text...), o.last
	}
	if p.last >= p.saved+saveEvents && o.end != EndDone {
		w.finishes = append(w.finishes, batch.NewPart(key.job, key.item, p.text, p.saved, p.last))
		p.text, p.saved = nil, p.last
	}
	return p
}

// settle stores the item's result or lets it start again.
func (w *World) settle(now time.Time, key itemKey, job *jobRow, o Outcome) {
	p := w.keep(key, o)
	switch o.end {
	case EndDone:
		w.finish(key, batch.NewResult(key.item, batch.VerdictDone, p.text), p.saved)
		return
	case EndImpossible:
		w.finish(key, batch.NewResult(key.item, batch.VerdictDead, nil), p.saved)
		return
	case EndFailed:
		p.failures++
		p.notUntil = now.Add(failurePause)
		if p.failures >= job.attempts {
			w.finish(key, batch.NewResult(key.item, batch.VerdictDead, nil), p.saved)
			return
		}
	}
	job.again = append(job.again, key.item)
}

// finish hands out the result of an item.
func (w *World) finish(key itemKey, result batch.Result, from uint64) {
	w.progress.Remove(key)
	w.finishes = append(w.finishes, batch.NewFinish(key.job, result, from))
}

// Settled takes what became of a result: a job whose items all have results is
// dropped, an item whose result did not fit the stored output starts again.
func (w *World) Settled(j batch.Job, f batch.Finish) {
	if !j.Open() {
		w.Drop(j.Order().ID())
		return
	}
	job, item := w.jobs.Get(f.Job()), f.Result().Item()
	if job == nil || f.Result().Verdict() == 0 || !j.Waits(item) {
		return
	}
	stored := j.Part(item).Last()
	event.ResultMismatch.Log(w.logger, "job", f.Job(), "item", item, "from", f.From(), "stored", stored)
	w.progress.Put(itemKey{f.Job(), item}, progressRow{last: stored, saved: stored})
	job.again = append(job.again, item)
}
