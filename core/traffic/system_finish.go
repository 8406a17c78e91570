package traffic

import (
	"time"

	"papayaquay/core/control"
	"papayaquay/core/home"
	"papayaquay/core/outcome"

	"github.com/cockroachdb/errors"
)

// storeFailure stores a final answer without text, with a code other than OK.
func (w *World) storeFailure(now time.Time, number uint64, row *requestRow, code outcome.Code, reason string) {
	row.answer = home.NewAnswer(code, "", 0, reason, "", now)
	w.storeAnswer(now, number, row)
}

// storeAnswer stores the answer in the home ledger of the key. The caller gets the answer
// that the ledger returns. If another attempt stored its answer first, that answer is
// returned.
func (w *World) storeAnswer(now time.Time, number uint64, row *requestRow) {
	if row.item != 0 {
		w.finishItem(number, row, control.NewItemResult(row.item, row.answer))
		return
	}
	row.phase = phaseStoring
	command := home.NewCommand(home.CommandPutAnswer, row.request.key, now, home.WithAnswer(row.answer))
	call := control.NewCall(control.CallApply, w.homeOf(row.request.key), now.Add(storeTimeout), control.WithCommand(command))
	w.callLedger(row, call, func(w *World, now time.Time, r control.Result) { w.receiveStored(now, number, r, false) })
}

// receiveStored processes the reply of the ledger to the stored answer. localOnly is set if
// it is the ledger of this data centre instead of the home ledger.
func (w *World) receiveStored(now time.Time, number uint64, r control.Result, localOnly bool) {
	row := w.requests.Get(number)
	if row == nil {
		return
	}
	if r.Err() != nil {
		w.storeLocally(now, number, row, localOnly)
		return
	}
	answer := r.Reply().Answer()
	isOurAnswer := answer.Code() == row.answer.Code() && answer.Text() == row.answer.Text()
	if isOurAnswer {
		row.claim = claimSettled // the ledger has selected this answer
		w.sendText(now, row)
	}
	w.finish(number, row, Event{kind: EventAnswer, answer: answer, replaced: !isOurAnswer, localOnly: localOnly})
}

// storeLocally stores an answer in the ledger of this data centre if its home ledger is
// unreachable. If that fails too, the request ends with an unknown outcome. The answer of
// an at-most-once request is retried at the home ledger until the deadline.
func (w *World) storeLocally(now time.Time, number uint64, row *requestRow, localOnly bool) {
	if row.request.atMostOnce && now.Before(row.request.deadline) {
		w.storeAnswer(now, number, row) // only the home ledger may store the answer
		return
	}
	id := w.current.LocalLedger()
	if localOnly || id == "" || row.request.atMostOnce {
		w.finish(number, row, Event{kind: EventError, err: outcome.ErrUnknown})
		return
	}
	command := home.NewCommand(home.CommandPutAnswer, row.request.key, now, home.WithAnswer(row.answer))
	call := control.NewCall(control.CallApply, id, now.Add(storeTimeout), control.WithCommand(command))
	w.callLedger(row, call, func(w *World, now time.Time, r control.Result) { w.receiveStored(now, number, r, true) })
}

// finish removes a request and reports its last event to the caller.
func (w *World) finish(number uint64, row *requestRow, e Event) {
	w.abortAll(row)
	w.requests.Remove(number)
	if row.item != 0 {
		return
	}
	if account := w.accounts.Get(row.request.key.Account()); account != nil {
		account.inFlight--
	}
	w.observer.finished(e.code())
	row.sink(e)
}

// code returns the outcome of a request that ends with this event.
func (e Event) code() outcome.Code {
	if e.kind == EventAnswer {
		return e.answer.Code()
	}
	switch {
	case errors.Is(e.err, outcome.ErrCancelled):
		return outcome.Cancelled
	case errors.Is(e.err, outcome.ErrRefused):
		return outcome.Refused
	case errors.Is(e.err, outcome.ErrUnknown), errors.Is(e.err, outcome.ErrEarlierCallUnknown):
		return outcome.Unknown
	default:
		return outcome.NotRun
	}
}
