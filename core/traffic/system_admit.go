package traffic

import (
	"fmt"
	"time"

	"papayaquay/core/config"
	"papayaquay/core/control"
	"papayaquay/core/home"
	"papayaquay/core/ledger"
	"papayaquay/core/outcome"
)

// submit admits or rejects an online request. A request that is rejected here was not run
// by this call.
func (w *World) submit(now time.Time, request Request, sink func(Event), accepted func(uint64)) {
	if err := w.admit(now, request); err != nil {
		sink(Event{kind: EventError, err: request.markEarlierCall(err)})
		accepted(0)
		return
	}
	w.lastRequest++
	row := w.requests.Put(w.lastRequest, requestRow{request: request, sink: sink, acceptedAt: now, queuedAt: now})
	accepted(w.lastRequest)
	if request.atMostOnce {
		w.startAtMostOnce(now, w.lastRequest, row)
		return
	}
	if w.requiresClaim(request.service) {
		row.phase = phaseAwaitingClaim
		w.claim(now, w.lastRequest, row, false)
		return
	}
	if !request.hasGeneratedKey {
		w.claim(now, w.lastRequest, row, false)
	}
	w.enqueue(w.lastRequest, row)
}

// requiresClaim reports whether the requests of a service start only after their home
// ledger granted the claim on the key.
func (w *World) requiresClaim(service string) bool {
	object, ok := w.current.Config().Get(config.NewRef(config.KindService, service))
	return ok && object.Spec().RefuseIfHomeUnreachable()
}

// admit returns an error if a request may not start. It checks the state of the instance,
// the service, the crash count of the content, the queue, the deadline and the limits of
// the account.
func (w *World) admit(now time.Time, request Request) error {
	if w.current.Draining() || !w.current.ConfigLoaded() {
		return outcome.ErrRetryLater
	}
	if _, ok := w.current.Config().Get(config.NewRef(config.KindService, request.service)); !ok {
		return outcome.ErrNotFound
	}
	if w.current.Crashes(Fingerprint(request.service, request.prompt)) >= poisonCrashes {
		return outcome.ErrRefused
	}
	if len(w.queue) >= w.policy.queueLimit || !now.Before(request.deadline) {
		return outcome.ErrRetryLater
	}
	return w.admitAccount(now, request.key.Account())
}

// admitAccount checks the limits of an account and counts the request. The limits are
// divided evenly among the live instances.
func (w *World) admitAccount(now time.Time, account string) error {
	row := w.accounts.Get(account)
	if row == nil {
		row = w.accounts.Put(account, accountRow{refilledAt: now, bucketTokens: -1})
	}
	object, ok := w.current.Config().Get(config.NewRef(config.KindAccount, account))
	if ok && object.Spec().InFlight() > 0 && row.inFlight >= w.instanceShare(object.Spec().InFlight()) {
		return outcome.ErrRetryLater
	}
	if ok && object.Spec().Rate() > 0 {
		burst := float64(max(w.instanceShare(object.Spec().Burst()), 1))
		if row.bucketTokens < 0 {
			row.bucketTokens = burst
		}
		rate := object.Spec().Rate() / float64(w.current.LiveInstances())
		row.bucketTokens = min(burst, row.bucketTokens+now.Sub(row.refilledAt).Seconds()*rate)
		row.refilledAt = now
		if row.bucketTokens < 1 {
			return outcome.ErrRetryLater
		}
		row.bucketTokens--
	}
	row.inFlight++
	return nil
}

// instanceShare returns this instance's share of a limit, at least 1.
func (w *World) instanceShare(limit int) int {
	instances := w.current.LiveInstances()
	return max((limit+instances-1)/instances, 1)
}

// claimant returns the name of a request in claims and durable starts.
func (w *World) claimant(number uint64) string {
	return fmt.Sprintf("%s/%d/%d", w.owner, w.thread, number)
}

// claim asks the home ledger of the key for the claim. Unless the service requires the
// claim, an attempt starts in the meantime. Its text is held back until the reply, or for
// at most claimTimeout. If wait is set, the home ledger delays its reply while another
// attempt holds the claim.
func (w *World) claim(now time.Time, number uint64, row *requestRow, wait bool) {
	row.claim = claimPending
	deadline := row.request.deadline
	if timeout := now.Add(startTimeout); row.phase == phaseAwaitingClaim && !wait && timeout.Before(deadline) {
		deadline = timeout
	}
	if !wait {
		w.deadlines.ArmBefore(now.Add(claimTimeout))
	}
	call := control.NewCall(control.CallClaim, w.homeOf(row.request.key), deadline,
		control.WithKey(row.request.key), control.WithClaimant(w.claimant(number), wait))
	w.callLedger(row, call, func(w *World, now time.Time, r control.Result) { w.receiveClaim(now, number, r) })
}

// homeOf returns the home ledger of a key.
func (w *World) homeOf(key home.Key) ledger.ID {
	return control.HomeOf(w.current.Homes(), key)
}

// callLedger sends a call to a ledger. onResult runs on this thread.
func (w *World) callLedger(row *requestRow, call control.Call, onResult func(w *World, now time.Time, r control.Result)) {
	w.call(row.request.trace, call, func(r control.Result) {
		w.post(Input{result: func(w *World, now time.Time) { onResult(w, now, r) }})
	})
}

// receiveClaim processes the reply to a claim.
func (w *World) receiveClaim(now time.Time, number uint64, r control.Result) {
	row := w.requests.Get(number)
	if row == nil || row.phase == phaseStoring {
		return
	}
	switch stored := r.Reply().Answer(); {
	case r.Err() != nil && w.requiresClaim(row.request.service):
		w.abortAll(row)
		w.finish(number, row, Event{kind: EventError, err: row.noAnswerError()})
		return
	case r.Err() != nil:
		row.claim = claimSettled // the home ledger is unreachable
	case stored.Code() != outcome.Pending:
		w.abortAll(row)
		w.finish(number, row, Event{kind: EventAnswer, answer: stored, replaced: row.sentBytes > 0})
		return
	case r.ClaimedByOther() || r.Reply().Code() == outcome.OK:
		if row.sentBytes > 0 {
			return // the caller has text already; the ledger selects the answer when it is stored
		}
		w.abortAll(row)
		row.phase, row.text, row.tokens = phaseAwaitingClaim, "", 0
		w.claim(now, number, row, true)
		return
	default:
		row.claim = claimSettled
	}
	if row.phase == phaseAwaitingClaim {
		w.enqueue(number, row)
	}
	w.sendText(now, row)
}

// startAtMostOnce stores the start of an at-most-once request before an attempt starts.
func (w *World) startAtMostOnce(now time.Time, number uint64, row *requestRow) {
	row.phase = phaseStarting
	deadline := now.Add(startTimeout)
	if row.request.deadline.Before(deadline) {
		deadline = row.request.deadline
	}
	command := home.NewCommand(home.CommandStart, row.request.key, now,
		home.WithDeadline(row.request.deadline), home.WithNumber(Fingerprint(w.claimant(number), "")))
	call := control.NewCall(control.CallApply, w.homeOf(row.request.key), deadline, control.WithCommand(command))
	w.callLedger(row, call, func(w *World, _ time.Time, r control.Result) { w.receiveStart(number, r) })
}

// receiveStart processes the reply to the durable start.
func (w *World) receiveStart(number uint64, r control.Result) {
	row := w.requests.Get(number)
	if row == nil {
		return
	}
	stored := r.Reply().Answer()
	switch {
	case r.Err() != nil:
		w.finish(number, row, Event{kind: EventError, err: row.request.markEarlierCall(outcome.ErrNotRun)})
	case stored.Code() != outcome.Pending:
		w.finish(number, row, Event{kind: EventAnswer, answer: stored})
	case r.Reply().Code() == outcome.Pending:
		row.phase = phaseAwaitingClaim
		w.awaitAnswer(number, row)
	default:
		w.enqueue(number, row)
	}
}

// awaitAnswer waits for the answer of a request that another attempt started.
func (w *World) awaitAnswer(number uint64, row *requestRow) {
	call := control.NewCall(control.CallLookup, w.homeOf(row.request.key), row.request.deadline,
		control.WithKey(row.request.key), control.WithWait(true))
	w.callLedger(row, call, func(w *World, _ time.Time, r control.Result) {
		row := w.requests.Get(number)
		if row == nil {
			return
		}
		switch stored := r.Reply().Answer(); {
		case r.Err() == nil && stored.Code() != outcome.Pending:
			w.finish(number, row, Event{kind: EventAnswer, answer: stored})
		case r.Err() == nil:
			w.awaitAnswer(number, row)
		default:
			w.finish(number, row, Event{kind: EventError, err: outcome.ErrInProgress})
		}
	})
}

// cancel removes a request whose caller has disconnected. An at-most-once request continues,
// so that its only answer is stored.
func (w *World) cancel(_ time.Time, number uint64) {
	row := w.requests.Get(number)
	if row == nil {
		return
	}
	row.sink = func(Event) {}
	if row.request.atMostOnce || row.phase == phaseStoring {
		return
	}
	w.abortAll(row)
	w.finish(number, row, Event{kind: EventError, err: outcome.ErrCancelled})
}
