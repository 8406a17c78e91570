package traffic

import (
	"time"

	"papayaquay/core/control"
	"papayaquay/core/home"
	"papayaquay/core/outcome"

	"github.com/cockroachdb/errors"
)

// conclude stores a final answer other than OK.
func (w *World) conclude(now time.Time, number uint64, row *requestRow, code outcome.Code, reason string) {
	row.answer = home.NewAnswer(code, "", 0, reason, "", now)
	w.store(now, number, row)
}

// store makes the answer durable in the key's home ledger. The caller gets the
// stored answer, which is another attempt's if that was first.
func (w *World) store(now time.Time, number uint64, row *requestRow) {
	if row.item != 0 {
		w.endItem(number, row, control.NewItemResult(row.item, row.answer))
		return
	}
	row.phase = phaseStoring
	command := home.NewCommand(home.CommandPutAnswer, row.request.key, now, home.WithAnswer(row.answer))
	call := control.NewCall(control.CallApply, w.homeOf(row.request.key), now.Add(storePatience), control.WithCommand(command))
	w.ask(row, call, func(w *World, now time.Time, r control.Result) { w.stored(now, number, r, false) })
}

// stored takes the reply of the ledger that stores the answer.
func (w *World) stored(now time.Time, number uint64, r control.Result, local bool) {
	row := w.requests.Get(number)
	if row == nil {
		return
	}
	if r.Err() != nil {
		w.storeElsewhere(now, number, row, local)
		return
	}
	answer := r.Reply().Answer()
	ours := answer.Code() == row.answer.Code() && answer.Text() == row.answer.Text()
	if ours {
		row.claim = claimGranted // the stored answer settles whose text counts
		w.pass(now, row)
	}
	w.finish(number, row, Event{kind: EventAnswer, answer: answer, replaced: !ours, local: local})
}

// storeElsewhere keeps an answer in this data centre while its home ledger is
// out of reach, and gives up when that fails too.
func (w *World) storeElsewhere(now time.Time, number uint64, row *requestRow, local bool) {
	if row.request.atMostOnce && now.Before(row.request.deadline) {
		w.store(now, number, row) // the home ledger alone may answer it
		return
	}
	id := w.known.LocalLedger()
	if local || id == "" || row.request.atMostOnce {
		w.finish(number, row, Event{kind: EventError, err: outcome.ErrUnknown})
		return
	}
	command := home.NewCommand(home.CommandPutAnswer, row.request.key, now, home.WithAnswer(row.answer))
	call := control.NewCall(control.CallApply, id, now.Add(storePatience), control.WithCommand(command))
	w.ask(row, call, func(w *World, now time.Time, r control.Result) { w.stored(now, number, r, true) })
}

// finish reports the end of a request and removes it.
func (w *World) finish(number uint64, row *requestRow, e Event) {
	w.abandon(row)
	w.requests.Remove(number)
	if row.item != 0 {
		return
	}
	if account := w.accounts.Get(row.request.key.Account()); account != nil {
		account.running--
	}
	w.observe.finished(e.code())
	row.sink(e)
}

// code returns the outcome that an event stands for.
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
