package cluster

import (
	"time"

	"papayaquay/core/batch"
	"papayaquay/core/call"
	"papayaquay/core/event"
	"papayaquay/core/usage"
)

// serve takes a call of another instance or of this one.
func (w *World) serve(now time.Time, from string, r call.Request) {
	asker := askerKey{from: from, number: r.Number()}
	switch r.Kind() {
	case call.KindPoll:
		w.serveFollow(now, asker, r)
	case call.KindPropose:
		w.servePropose(now, asker, r.Payload())
	case call.KindDocument:
		w.serveDocument(asker)
	case call.KindUsage:
		w.serveUsage(now, asker, r.Payload())
	case call.KindCollect:
		w.serveCollect(now, asker, r.Payload())
	case call.KindPage, call.KindBody:
		w.serveQuery(now, asker, r)
	case call.KindRetire, call.KindRetired:
		w.serveRetire(now, asker, r)
	}
}

// serveFollow takes a follower's poll, which waits for news.
func (w *World) serveFollow(now time.Time, asker askerKey, r call.Request) {
	f, err := w.codec.PollRequest.Decode(r.Payload())
	if err != nil {
		event.CallEncodingFailed.Log(w.logger, "call", "follow", "from", asker.from, "error", err)
		return
	}
	w.directory.UpdateNode(now, f.node)
	if r.MaxWait() == 0 || f.epoch != w.directory.Epoch() || f.version == 0 {
		w.news(asker, f)
		return
	}
	row := pollRow{number: asker.number, following: f, due: now.Add(r.MaxWait())}
	w.polls.add(asker.from, row, w.hasNews(&row))
}

// servePropose proposes a command; its caller is answered when it is applied.
func (w *World) servePropose(now time.Time, asker askerKey, payload []byte) {
	id := w.hosted()
	if !w.ledgers.Leads(now, id) {
		w.redirect(asker)
		return
	}
	term, index, err := w.ledgers.Propose(id, payload)
	if err != nil {
		w.redirect(asker)
		return
	}
	w.proposals.add(index, term, asker)
}

// barrier answers a read once a quorum confirmed that this replica leads.
func (w *World) barrier(asker askerKey, answer func()) {
	term, round, ok := w.ledgers.ReadIndex(w.hosted())
	if !ok {
		w.redirect(asker)
		return
	}
	w.proposals.barriers = append(w.proposals.barriers, barrierRow{term: term, round: round, answer: func(passed bool) {
		if !passed {
			w.redirect(asker)
			return
		}
		answer()
	}})
}

// serveDocument answers with the newest configuration document.
func (w *World) serveDocument(asker askerKey) {
	w.barrier(asker, func() {
		d := w.registry.state.Document()
		if d.Number() == 0 {
			w.answer(asker, call.StatusUnknown, nil)
			return
		}
		w.answer(asker, call.StatusDone, d.Content())
	})
}

// serveUsage takes an instance's load and answers with what changed of the sums.
func (w *World) serveUsage(now time.Time, asker askerKey, payload []byte) {
	if w.jobs == nil || !w.ledgers.Leads(now, JobsLedger) {
		w.redirect(asker)
		return
	}
	enquiry, err := w.codec.UsageRequest.Decode(payload)
	if err != nil {
		event.CallEncodingFailed.Log(w.logger, "call", "usage", "from", asker.from, "error", err)
		return
	}
	h := w.jobs
	h.usage.SetReport(now, asker.from, enquiry.Report())
	loads := make(Loads)
	h.usage.Each(func(backend string, online int) { loads[backend] = usage.NewLoad(online, 0) })
	h.runner.EachBackend(func(backend string, items int) {
		loads[backend] = usage.NewLoad(loads[backend].Online(), items)
	})
	w.again = true // the runner must look at the new counts
	w.answerSums(asker, loads, enquiry.Cursor())
}

// answerSums answers with what changed of the sums since the asker's mark.
func (w *World) answerSums(asker askerKey, loads Loads, heard usage.Cursor) {
	h := w.jobs
	h.board.Replace(loads)
	answer, err := w.codec.LoadUpdate.Encode(NewLoadUpdate(h.usage.Len(), h.board.Since(heard)))
	if err != nil {
		event.CallEncodingFailed.Log(w.logger, "call", "sums", "to", asker.from, "error", err)
		return
	}
	w.answer(asker, call.StatusDone, answer)
}

// serveQuery reads a job.
func (w *World) serveQuery(now time.Time, asker askerKey, r call.Request) {
	q, err := w.codec.Query.Decode(r.Payload())
	if err != nil || w.jobs == nil || !w.ledgers.Leads(now, JobsLedger) {
		w.redirect(asker)
		return
	}
	j, ok := w.jobs.state.Job(q.job)
	if !ok {
		w.barrier(asker, func() { w.answerQuery(asker, r.Kind(), q) })
		return
	}
	waits := r.Kind() == call.KindPage && j.Open() && q.after >= len(j.Results())
	if waits && r.MaxWait() > 0 {
		w.jobs.waiters.Put(asker, waiterRow{query: q, due: now.Add(r.MaxWait())})
		return
	}
	w.answerQuery(asker, r.Kind(), q)
}

// answerQuery answers a read of a job from the state.
func (w *World) answerQuery(asker askerKey, kind call.Kind, q Query) {
	j, ok := w.jobs.state.Job(q.job)
	if !ok {
		w.answer(asker, call.StatusUnknown, nil)
		return
	}
	if kind == call.KindBody {
		body, ok := j.ItemBody(q.item)
		if !ok {
			w.answer(asker, call.StatusUnknown, nil)
			return
		}
		w.answer(asker, call.StatusDone, body)
		return
	}
	payload, err := w.codec.Page.Encode(j.Page(q.after))
	if err != nil {
		event.CallEncodingFailed.Log(w.logger, "call", "page", "job", q.job, "error", err)
		return
	}
	w.answer(asker, call.StatusDone, payload)
}

// serveRetire starts to empty an instance, or tells whether that is done.
func (w *World) serveRetire(now time.Time, asker askerKey, r call.Request) {
	if w.jobs == nil || !w.ledgers.Leads(now, JobsLedger) {
		w.redirect(asker)
		return
	}
	address := string(r.Payload())
	if r.Kind() == call.KindRetired {
		w.serveRetired(now, asker, address)
		return
	}
	left := 0
	for _, instance := range w.ledgers.ResponsiveInstances(now, JobsLedger) {
		if instance != address && !w.jobs.state.IsRetiring(instance) {
			left++
		}
	}
	if left < w.ledgers.TargetVoters() && !w.jobs.state.IsRetiring(address) {
		w.answer(asker, call.StatusRejected, nil)
		return
	}
	payload, err := w.codec.Batch.Encode(batch.Retire(address))
	if err != nil {
		event.CallEncodingFailed.Log(w.logger, "call", "retire", "from", asker.from, "error", err)
		return
	}
	w.servePropose(now, asker, payload)
}

// serveRetired tells whether an instance holds nothing that is needed.
func (w *World) serveRetired(now time.Time, asker askerKey, address string) {
	done := byte(1)
	for _, m := range w.members() {
		if m.Instance() == address {
			done = 0
		}
	}
	if !w.ledgers.FullyReplicated(now, JobsLedger) || !w.jobs.state.IsRetiring(address) {
		done = 0
	}
	w.answer(asker, call.StatusDone, []byte{done})
}

// answerWaiting answers the polls and reads whose news came or whose time is up.
func (w *World) answerWaiting(now time.Time) {
	w.polls.take(now, w.newsMark(), w.hasNews, w.news)
	h := w.jobs
	if h == nil {
		return
	}
	h.waiters.Each(func(asker askerKey, row *waiterRow) {
		j, ok := h.state.Job(row.query.job)
		if now.Before(row.due) && ok && j.Open() && row.query.after >= len(j.Results()) {
			return
		}
		q := row.query
		h.waiters.Remove(asker)
		if !w.ledgers.Leads(now, JobsLedger) {
			w.redirect(asker)
			return
		}
		w.answerQuery(asker, call.KindPage, q)
	})
}
