package cluster

import (
	"time"

	"papayaquay/core/batch"
	"papayaquay/core/call"
	"papayaquay/core/usage"
)

// serve handles a request of another instance or of this one.
func (w *World) serve(now time.Time, from string, r call.Request) {
	requester := requesterKey{from: from, number: r.Number()}
	switch r.Kind() {
	case call.KindPoll:
		w.servePoll(now, requester, r)
	case call.KindPropose:
		w.servePropose(now, requester, r.Payload())
	case call.KindDocument:
		w.serveDocument(requester)
	case call.KindDocumentPart:
		w.serveDocumentPart(now, requester, r)
	case call.KindStreamRecords:
		w.serveStreamRecords(now, requester, r.Payload())
	case call.KindStreamQuery:
		w.serveStreamQuery(now, requester, r.Payload())
	case call.KindUsage:
		w.serveUsage(now, requester, r.Payload())
	case call.KindCollect:
		w.serveCollect(now, requester, r.Payload())
	case call.KindPage, call.KindBody:
		w.serveQuery(now, requester, r)
	case call.KindEvidence:
		w.serveEvidence(now, requester, r)
	case call.KindRetire, call.KindRetired:
		w.serveRetire(now, requester, r)
	}
}

// servePoll answers the poll of another instance, or keeps it until there is an
// update.
func (w *World) servePoll(now time.Time, requester requesterKey, r call.Request) {
	request, err := w.codec.PollRequest.Decode(r.Payload())
	if err != nil {
		w.codingFailed("follow", "from", requester.from, err)
		return
	}
	w.directory.UpdateInstance(now, request.instance)
	if r.MaxWait() == 0 || request.epoch != w.directory.Epoch() || request.version == 0 {
		w.answerPoll(requester, request)
		return
	}
	row := pollRow{callNumber: requester.number, request: request, due: now.Add(r.MaxWait())}
	w.polls.add(requester.from, row, w.hasUpdate(&row))
}

// servePropose proposes a command. The requester gets its answer when the
// command is applied.
func (w *World) servePropose(now time.Time, requester requesterKey, payload []byte) {
	id := w.hosted()
	if !w.ledgers.Leads(now, id) {
		w.redirect(requester)
		return
	}
	if w.mustReject(requester, payload) {
		w.reply(requester, call.StatusRejected, nil)
		return
	}
	term, index, err := w.ledgers.Propose(id, payload)
	if err != nil {
		w.redirect(requester)
		return
	}
	w.proposals.add(index, term, requester)
}

// linearizableRead calls answer once a quorum has confirmed that this replica
// still leads (Raft's read index). Otherwise the requester is redirected.
func (w *World) linearizableRead(requester requesterKey, answer func()) {
	term, round, ok := w.ledgers.ReadIndex(w.hosted())
	if !ok {
		w.redirect(requester)
		return
	}
	w.proposals.reads = append(w.proposals.reads, readRow{term: term, round: round, answer: func(confirmed bool) {
		if !confirmed {
			w.redirect(requester)
			return
		}
		answer()
	}})
}

// serveDocument answers with the newest configuration document.
func (w *World) serveDocument(requester requesterKey) {
	w.linearizableRead(requester, func() {
		d := w.registry.state.Document()
		if d.Number() == 0 {
			w.reply(requester, call.StatusUnknown, nil)
			return
		}
		w.reply(requester, call.StatusDone, d.Content())
	})
}

// serveUsage records the load of another instance and answers with an update of
// the load totals.
func (w *World) serveUsage(now time.Time, requester requesterKey, payload []byte) {
	if w.jobs == nil || !w.ledgers.Leads(now, JobsLedger) {
		w.redirect(requester)
		return
	}
	request, err := w.codec.SyncRequest.Decode(payload)
	if !w.canUse("usage", requester.from, err) {
		return
	}
	h := w.jobs
	h.usage.SetReport(now, requester.from, request.Report())
	loads := make(Loads)
	h.usage.Each(func(backend string, online int) { loads[backend] = usage.NewLoad(online, 0) })
	h.runner.EachBackend(func(backend string, items int) {
		loads[backend] = loads[backend].Add(0, items)
	})
	addLimits(loads, w.limited(now))
	w.runAgain = true // the runner must see the new counts
	w.replyLoadUpdate(requester, loads, request.Cursor())
}

// replyLoadUpdate answers with an update of the load totals from the requester's
// cursor on.
func (w *World) replyLoadUpdate(requester requesterKey, loads Loads, cursor usage.Cursor) {
	h := w.jobs
	h.loadTotals.Replace(loads)
	answer, err := w.codec.LoadUpdate.Encode(NewLoadUpdate(h.usage.Len(), h.loadTotals.Since(cursor)))
	if err != nil {
		w.codingFailed("sums", "to", requester.from, err)
		return
	}
	w.reply(requester, call.StatusDone, answer)
}

// serveQuery answers a read of a job. A read of results waits for new ones if it
// allows that.
func (w *World) serveQuery(now time.Time, requester requesterKey, r call.Request) {
	if w.jobs == nil || !w.ledgers.Leads(now, JobsLedger) {
		w.redirect(requester)
		return
	}
	q, err := w.codec.Query.Decode(r.Payload())
	if err != nil { // no other instance can read it either
		w.codingFailed(r.Kind().String(), "from", requester.from, err)
		w.reply(requester, call.StatusRejected, nil)
		return
	}
	j, ok := w.jobs.state.Job(q.job)
	if !ok {
		w.linearizableRead(requester, func() { w.answerQuery(requester, r.Kind(), q) })
		return
	}
	waits := r.Kind() == call.KindPage && j.Open() && q.after >= len(j.Results())
	if waits && r.MaxWait() > 0 {
		w.jobs.waitingPages.Put(requester, waitingPageRow{query: q, due: now.Add(r.MaxWait())})
		return
	}
	w.answerQuery(requester, r.Kind(), q)
}

// answerQuery answers a read of a job from the applied state.
func (w *World) answerQuery(requester requesterKey, kind call.Kind, q Query) {
	j, ok := w.jobs.state.Job(q.job)
	if !ok {
		w.reply(requester, call.StatusUnknown, nil)
		return
	}
	if kind == call.KindBody {
		body, ok := j.ItemBody(q.item)
		if !ok {
			w.reply(requester, call.StatusUnknown, nil)
			return
		}
		w.reply(requester, call.StatusDone, body)
		return
	}
	payload, err := w.codec.Page.Encode(j.Page(q.after))
	if err != nil {
		w.codingFailed("page", "to", requester.from, err)
		return
	}
	w.reply(requester, call.StatusDone, payload)
}

// serveRetire starts to empty an instance, or reports whether that is done. It
// rejects the request if too few other instances would be left for the replicas.
func (w *World) serveRetire(now time.Time, requester requesterKey, r call.Request) {
	if w.jobs == nil || !w.ledgers.Leads(now, JobsLedger) {
		w.redirect(requester)
		return
	}
	address := string(r.Payload())
	if r.Kind() == call.KindRetired {
		w.serveRetired(now, requester, address)
		return
	}
	remaining := 0
	for _, instance := range w.ledgers.ResponsiveInstances(now, JobsLedger) {
		if instance != address && !w.jobs.state.IsRetiring(instance) {
			remaining++
		}
	}
	if remaining < w.ledgers.TargetVoters() && !w.jobs.state.IsRetiring(address) {
		w.reply(requester, call.StatusRejected, nil)
		return
	}
	payload, err := w.codec.Batch.Encode(batch.Retire(address))
	if err != nil {
		w.codingFailed("retire", "from", requester.from, err)
		return
	}
	w.servePropose(now, requester, payload)
}

// serveRetired reports whether an instance is empty: it has no replica of the
// jobs ledger, and enough other replicas respond.
func (w *World) serveRetired(now time.Time, requester requesterKey, address string) {
	done := byte(1)
	for _, m := range w.members() {
		if m.Instance() == address {
			done = 0
		}
	}
	if !w.ledgers.FullyReplicated(now, JobsLedger) || !w.jobs.state.IsRetiring(address) {
		done = 0
	}
	w.reply(requester, call.StatusDone, []byte{done})
}

// answerWaiting answers the polls and reads that are due or have something new.
func (w *World) answerWaiting(now time.Time) {
	w.polls.answerReady(now, w.updateVersion(), w.hasUpdate, w.answerPoll)
	h := w.jobs
	if h == nil {
		return
	}
	h.waitingPages.Each(func(requester requesterKey, row *waitingPageRow) {
		j, ok := h.state.Job(row.query.job)
		if now.Before(row.due) && ok && j.Open() && row.query.after >= len(j.Results()) {
			return
		}
		q := row.query
		h.waitingPages.Remove(requester)
		if !w.ledgers.Leads(now, JobsLedger) {
			w.redirect(requester)
			return
		}
		w.answerQuery(requester, call.KindPage, q)
	})
}
