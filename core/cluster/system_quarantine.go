package cluster

import (
	"time"

	"papayaquay/core/call"
	"papayaquay/core/directory"
	"papayaquay/core/quarantine"
	"papayaquay/core/table"
)

// Timing of the exchange of crash evidence.
const (
	evidenceMaxWait       = 2 * time.Second
	evidenceTimeout       = 400 * time.Millisecond // in addition to evidenceMaxWait
	evidenceRetryDelay    = 200 * time.Millisecond
	evidenceRoundInterval = 50 * time.Millisecond // between rounds of answers to waiting instances
)

// evidenceRow is the exchange with an upstream.
type evidenceRow struct {
	cursor  quarantine.Cursor // in the upstream's crashes
	sent    uint64            // version up to which the upstream has this instance's evidence
	sending uint64            // the same for the pending call
	number  uint64            // of the newest call; the answers to older ones are ignored
	pending bool
	retryAt time.Time
}

// evidenceWaiterRow is an instance that waits for new evidence.
type evidenceWaiterRow struct {
	callNumber uint64
	cursor     quarantine.Cursor
	due        time.Time
}

// evidenceExchange holds the exchanges with upstreams and the waiting instances. The
// exchange has calls of its own, so that instances of older builds, which do not know
// them, still answer polls.
type evidenceExchange struct {
	rows       *table.Table[string, evidenceRow]
	waiters    *table.Table[string, evidenceWaiterRow]
	lastNumber uint64
	answered   uint64 // version of the last round of answers
	lastRound  time.Time
}

// newEvidenceExchange returns an exchange with nobody.
func newEvidenceExchange() *evidenceExchange {
	return &evidenceExchange{rows: table.New[string, evidenceRow](), waiters: table.New[string, evidenceWaiterRow]()}
}

// newQuarantine returns the crash evidence of an instance. Store instances have none,
// because batch items are never rejected.
func (w *World) newQuarantine() *quarantine.World {
	if w.self.Role() == directory.RoleStore {
		return nil
	}
	return quarantine.New(w.self.Incarnation(), quarantine.WithLogger(w.logger))
}

// runQuarantine updates the rejections and exchanges evidence with the upstreams.
func (w *World) runQuarantine(now time.Time) {
	if w.quarantine == nil {
		return
	}
	if w.quarantine.Run(now) {
		w.snapshotStale = true
	}
	x := w.evidence
	x.rows.Each(func(address string, _ *evidenceRow) {
		if w.upstreams.rows.Get(address) == nil {
			x.rows.Remove(address)
		}
	})
	w.upstreams.rows.Each(func(address string, upstream *upstreamRow) {
		if !upstream.answered {
			x.rows.Remove(address) // it was dropped and chosen again
			return
		}
		row := x.rows.Get(address)
		if row == nil {
			row = x.rows.Put(address, evidenceRow{})
		}
		hasNews := w.quarantine.LocalVersion() > row.sending
		if !now.Before(row.retryAt) && (!row.pending || hasNews) {
			w.sendEvidence(now, address, row)
		}
	})
	w.answerEvidence(now)
}

// sendEvidence sends new evidence to an upstream and waits for the upstream's.
func (w *World) sendEvidence(now time.Time, address string, row *evidenceRow) {
	x := w.evidence
	payload, err := w.codec.EvidenceRequest.Encode(quarantine.NewSyncRequest(row.cursor, w.quarantine.LocalSince(now, row.sent)))
	if err != nil {
		w.codingFailed("evidence", "to", address, err)
		row.retryAt = now.Add(evidenceRetryDelay)
		return
	}
	x.lastNumber++
	number := x.lastNumber
	row.number, row.pending, row.sending = number, true, w.quarantine.Version()
	c := call.New(call.KindEvidence, call.TargetInstance, now.Add(evidenceMaxWait+evidenceTimeout), payload,
		call.WithAddress(address), call.WithMaxWait(evidenceMaxWait))
	w.calls.Start(now, c, func(reply call.Reply) {
		if row := x.rows.Get(address); row != nil && row.number == number {
			w.evidenceAnswered(address, row, reply)
		}
	})
}

// evidenceAnswered merges the evidence of an upstream. If the upstream was restarted, it
// gets all evidence again.
func (w *World) evidenceAnswered(address string, row *evidenceRow, reply call.Reply) {
	row.pending = false
	if reply.Status() != call.StatusDone {
		row.retryAt, row.sending = w.now.Add(evidenceRetryDelay), row.sent
		return
	}
	update, err := w.codec.EvidenceUpdate.Decode(reply.Payload())
	if !w.canUse("evidence", address, err) {
		row.retryAt, row.sending = w.now.Add(evidenceRetryDelay), row.sent
		return
	}
	row.sent = row.sending
	if epoch := row.cursor.Epoch(); epoch != 0 && epoch != update.Cursor().Epoch() {
		row.sent = 0
	}
	row.cursor = update.Cursor()
	w.quarantine.Merge(w.now, update.Crashes())
	w.runAgain = true
}

// serveEvidence merges the evidence of another instance and answers with what it does
// not know, now or as soon as there is something.
func (w *World) serveEvidence(now time.Time, requester requesterKey, r call.Request) {
	if w.quarantine == nil {
		return
	}
	request, err := w.codec.EvidenceRequest.Decode(r.Payload())
	if !w.canUse("evidence", requester.from, err) {
		return
	}
	w.quarantine.Merge(now, request.Crashes())
	w.runAgain = w.runAgain || len(request.Crashes()) > 0
	row := evidenceWaiterRow{callNumber: requester.number, cursor: request.Cursor(), due: now.Add(r.MaxWait())}
	if r.MaxWait() == 0 || request.Cursor().Epoch() != w.quarantine.Epoch() {
		w.replyEvidence(now, requester.from, &row)
		return
	}
	w.evidence.waiters.Put(requester.from, row)
}

// answerEvidence answers the waiting instances that are due or lack evidence.
func (w *World) answerEvidence(now time.Time) {
	x := w.evidence
	round := x.answered != w.quarantine.Version() && !now.Before(x.lastRound.Add(evidenceRoundInterval))
	if round {
		x.answered, x.lastRound = w.quarantine.Version(), now
	}
	x.waiters.Each(func(from string, row *evidenceWaiterRow) {
		if now.Before(row.due) && !(round && row.cursor.Version() < w.quarantine.Version()) {
			return
		}
		x.waiters.Remove(from)
		w.replyEvidence(now, from, row)
	})
}

// replyEvidence answers a call with the crashes after its cursor.
func (w *World) replyEvidence(now time.Time, from string, row *evidenceWaiterRow) {
	requester := requesterKey{from: from, number: row.callNumber}
	version := row.cursor.Version()
	if row.cursor.Epoch() != w.quarantine.Epoch() {
		version = 0
	}
	update := quarantine.NewUpdate(quarantine.NewCursor(w.quarantine.Epoch(), w.quarantine.Version()), w.quarantine.Since(now, version))
	payload, err := w.codec.EvidenceUpdate.Encode(update)
	if err != nil {
		w.codingFailed("evidence", "to", from, err)
		return
	}
	w.reply(requester, call.StatusDone, payload)
}

// nextEvidence returns the next deadline of the quarantine and of the exchange.
func (w *World) nextEvidence() (time.Time, bool) {
	if w.quarantine == nil {
		return time.Time{}, false
	}
	x := w.evidence
	next, ok := w.quarantine.Next()
	consider := func(due time.Time) {
		if !ok || due.Before(next) {
			next, ok = due, true
		}
	}
	if x.answered != w.quarantine.Version() && x.waiters.Len() > 0 {
		consider(x.lastRound.Add(evidenceRoundInterval))
	}
	x.waiters.Each(func(_ string, row *evidenceWaiterRow) { consider(row.due) })
	x.rows.Each(func(_ string, row *evidenceRow) {
		if !row.pending {
			consider(row.retryAt)
		}
	})
	return next, ok
}
