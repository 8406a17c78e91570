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

// submit admits an online request or refuses it. A refusal here is "not run".
func (w *World) submit(now time.Time, request Request, sink func(Event), accepted func(uint64)) {
	if err := w.admit(now, request); err != nil {
		sink(Event{kind: EventError, err: request.doubt(err)})
		accepted(0)
		return
	}
	w.last++
	row := w.requests.Put(w.last, requestRow{request: request, sink: sink, accepted: now, queued: now})
	accepted(w.last)
	if request.atMostOnce {
		w.startOnce(now, w.last, row)
		return
	}
	if w.cutRefuse(request.service) {
		row.phase = phaseWaiting
		w.claim(now, w.last, row, false)
		return
	}
	if !request.generated {
		w.claim(now, w.last, row, false)
	}
	w.enqueue(w.last, row)
}

// cutRefuse reports whether a service's requests start only when their home
// ledger granted the key.
func (w *World) cutRefuse(service string) bool {
	object, ok := w.known.Config().Get(config.NewRef(config.KindService, service))
	return ok && object.Spec().RefuseIfHomeUnreachable()
}

// admit checks whether a request may start: the instance, the service, the
// account's limits, the content's crash count and the queue.
func (w *World) admit(now time.Time, request Request) error {
	if w.known.Draining() || !w.known.ConfigLoaded() {
		return outcome.ErrRetryLater
	}
	if _, ok := w.known.Config().Get(config.NewRef(config.KindService, request.service)); !ok {
		return outcome.ErrNotFound
	}
	if w.known.Crashes(Fingerprint(request.service, request.prompt)) >= poisonCrashes {
		return outcome.ErrRefused
	}
	if len(w.queue) >= w.policy.queueLimit || !now.Before(request.deadline) {
		return outcome.ErrRetryLater
	}
	return w.admitAccount(now, request.key.Account())
}

// admitAccount takes one request from the account's rate and counts it. The
// rate is shared evenly among the instances.
func (w *World) admitAccount(now time.Time, account string) error {
	row := w.accounts.Get(account)
	if row == nil {
		row = w.accounts.Put(account, accountRow{filled: now, tokens: -1})
	}
	object, ok := w.known.Config().Get(config.NewRef(config.KindAccount, account))
	if ok && object.Spec().InFlight() > 0 && row.running >= w.share(object.Spec().InFlight()) {
		return outcome.ErrRetryLater
	}
	if ok && object.Spec().Rate() > 0 {
		burst := float64(max(w.share(object.Spec().Burst()), 1))
		if row.tokens < 0 {
			row.tokens = burst
		}
		rate := object.Spec().Rate() / float64(w.known.LiveInstances())
		row.tokens = min(burst, row.tokens+now.Sub(row.filled).Seconds()*rate)
		row.filled = now
		if row.tokens < 1 {
			return outcome.ErrRetryLater
		}
		row.tokens--
	}
	row.running++
	return nil
}

// share returns this instance's part of a limit, at least one.
func (w *World) share(limit int) int {
	entries := w.known.LiveInstances()
	return max((limit+entries-1)/entries, 1)
}

// claimant names a request in claims and durable starts.
func (w *World) claimant(number uint64) string {
	return fmt.Sprintf("%s/%d/%d", w.owner, w.thread, number)
}

// claim asks the key's home ledger for the right to run the key. The attempt
// starts meanwhile; its text is held back until the reply or claimPatience.
func (w *World) claim(now time.Time, number uint64, row *requestRow, wait bool) {
	row.claim = claimAsked
	deadline := row.request.deadline
	if patience := now.Add(startPatience); row.phase == phaseWaiting && !wait && patience.Before(deadline) {
		deadline = patience
	}
	if !wait {
		w.due.ArmBefore(now.Add(claimPatience))
	}
	call := control.NewCall(control.CallClaim, w.homeOf(row.request.key), deadline,
		control.WithKey(row.request.key), control.WithClaimant(w.claimant(number), wait))
	w.ask(row, call, func(w *World, now time.Time, r control.Result) { w.claimed(now, number, r) })
}

// homeOf returns the home ledger of a key.
func (w *World) homeOf(key home.Key) ledger.ID {
	return control.HomeOf(w.known.Homes(), key)
}

// ask sends a call whose result comes back to this thread.
func (w *World) ask(row *requestRow, call control.Call, then func(w *World, now time.Time, r control.Result)) {
	w.call(row.request.trace, call, func(r control.Result) {
		w.post(Input{result: func(w *World, now time.Time) { then(w, now, r) }})
	})
}

// claimed takes the reply to a claim.
func (w *World) claimed(now time.Time, number uint64, r control.Result) {
	row := w.requests.Get(number)
	if row == nil || row.phase == phaseStoring {
		return
	}
	switch stored := r.Reply().Answer(); {
	case r.Err() != nil && w.cutRefuse(row.request.service):
		w.abandon(row)
		w.finish(number, row, Event{kind: EventError, err: row.refusal()})
		return
	case r.Err() != nil:
		row.claim = claimGranted // the home ledger is out of reach
	case stored.Code() != outcome.Pending:
		w.abandon(row)
		w.finish(number, row, Event{kind: EventAnswer, answer: stored, replaced: row.sent > 0})
		return
	case r.ClaimedByOther() || r.Reply().Code() == outcome.OK:
		if row.sent > 0 {
			return // too late to wait, the ledger decides
		}
		w.abandon(row)
		row.phase, row.text, row.tokens = phaseWaiting, "", 0
		w.claim(now, number, row, true)
		return
	default:
		row.claim = claimGranted
	}
	if row.phase == phaseWaiting {
		w.enqueue(number, row)
	}
	w.pass(now, row)
}

// startOnce makes the start of a request durable before anything leaves.
func (w *World) startOnce(now time.Time, number uint64, row *requestRow) {
	row.phase = phaseStarting
	patience := now.Add(startPatience)
	if row.request.deadline.Before(patience) {
		patience = row.request.deadline
	}
	command := home.NewCommand(home.CommandStart, row.request.key, now,
		home.WithDeadline(row.request.deadline), home.WithNumber(Fingerprint(w.claimant(number), "")))
	call := control.NewCall(control.CallApply, w.homeOf(row.request.key), patience, control.WithCommand(command))
	w.ask(row, call, func(w *World, _ time.Time, r control.Result) { w.started(number, r) })
}

// started takes the reply to the durable start.
func (w *World) started(number uint64, r control.Result) {
	row := w.requests.Get(number)
	if row == nil {
		return
	}
	stored := r.Reply().Answer()
	switch {
	case r.Err() != nil:
		w.finish(number, row, Event{kind: EventError, err: row.request.doubt(outcome.ErrNotRun)})
	case stored.Code() != outcome.Pending:
		w.finish(number, row, Event{kind: EventAnswer, answer: stored})
	case r.Reply().Code() == outcome.Pending:
		row.phase = phaseWaiting
		w.awaitAnswer(number, row)
	default:
		w.enqueue(number, row)
	}
}

// awaitAnswer waits for the answer of a request that another attempt started.
func (w *World) awaitAnswer(number uint64, row *requestRow) {
	call := control.NewCall(control.CallLookup, w.homeOf(row.request.key), row.request.deadline,
		control.WithKey(row.request.key), control.WithWait(true))
	w.ask(row, call, func(w *World, _ time.Time, r control.Result) {
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

// cancel drops a request whose caller is gone. A request that must not be
// repeated runs on, so that its only answer is stored.
func (w *World) cancel(_ time.Time, number uint64) {
	row := w.requests.Get(number)
	if row == nil {
		return
	}
	row.sink = func(Event) {}
	if row.request.atMostOnce || row.phase == phaseStoring {
		return
	}
	w.abandon(row)
	w.finish(number, row, Event{kind: EventError, err: outcome.ErrCancelled})
}
