package control

import (
	"time"

	"papayaquay/core/outcome"
)

// route serves calls whose ledger is led here and sends the others to the
// believed leader.
func (w *callWorld) route(now time.Time) {
	w.rows.Each(func(number uint64, row *callRow) {
		switch {
		case !now.Before(row.call.deadline):
			w.finish(number, NewResult(outcome.ErrTimeout))
		case row.busy:
			w.due.ArmBefore(row.call.deadline)
		case w.ledgers.Leads(now, row.call.ledger):
			w.serve(now, number, row)
		case row.foreign:
			w.rows.Remove(number)
			row.reply(redirect(w.believedLeader(row.call.ledger)))
		default:
			w.forward(now, number, row)
		}
	})
}

// forward sends a call to the believed leader, or again if no answer came.
func (w *callWorld) forward(now time.Time, number uint64, row *callRow) {
	patience := tryTimeout
	if row.call.wait {
		patience = waitTimeout
	}
	if row.sentTo != "" && now.Before(row.sentAt.Add(patience)) && w.reachable(row.sentTo) {
		w.due.ArmBefore(row.sentAt.Add(patience))
		return
	}
	if row.sentTo != "" {
		w.leaders.Remove(row.call.ledger)
	}
	if now.Before(row.due) {
		w.due.ArmBefore(row.due)
		return
	}
	target := w.pickReplica(row)
	if target == "" {
		row.sentTo, row.due = "", now.Add(retryPause)
		w.due.ArmBefore(row.due)
		return
	}
	row.sentTo, row.sentAt = target, now
	row.tries++
	p := w.out(target)
	p.calls = append(p.calls, NewForwardedCall(number, row.call))
	w.due.ArmBefore(now.Add(patience))
}

// receiveForward takes a call of another instance.
func (w *callWorld) receiveForward(now time.Time, from string, f ForwardedCall) {
	number := f.number
	w.add(now, f.call, func(r Result) {
		p := w.out(from)
		if r.redirect {
			p.responses = append(p.responses, NewRedirect(number, r.leader))
			return
		}
		p.responses = append(p.responses, NewCallResponse(number, r))
	}, true)
}

// receiveBackward takes the answer to a forwarded call.
func (w *callWorld) receiveBackward(now time.Time, from string, b CallResponse) {
	row := w.rows.Get(b.number)
	if row == nil || row.foreign {
		return
	}
	if !b.redirect {
		w.leaders.Put(row.call.ledger, leaderRow{instance: from})
		w.finish(b.number, b.result)
		return
	}
	if row.sentTo != from {
		return
	}
	row.sentTo = ""
	if b.leader != "" && b.leader != from {
		w.leaders.Put(row.call.ledger, leaderRow{instance: b.leader})
		return
	}
	w.leaders.Remove(row.call.ledger)
	row.due = now.Add(retryPause)
}
