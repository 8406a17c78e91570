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
		case row.serving:
			w.due.ArmBefore(row.call.deadline)
		case w.ledgers.Leads(now, row.call.ledger):
			w.serve(now, number, row)
		case row.forwarded:
			w.rows.Remove(number)
			row.reply(redirect(w.knownLeader(row.call.ledger)))
		default:
			w.forward(now, number, row)
		}
	})
}

// forward sends a call to the believed leader, or again if no answer came.
func (w *callWorld) forward(now time.Time, number uint64, row *callRow) {
	timeout := forwardTimeout
	if row.call.wait {
		timeout = forwardWaitTimeout
	}
	if row.sentTo != "" && now.Before(row.sentAt.Add(timeout)) && w.reachable(row.sentTo) {
		w.due.ArmBefore(row.sentAt.Add(timeout))
		return
	}
	if row.sentTo != "" {
		w.leaderHints.Remove(row.call.ledger)
	}
	if now.Before(row.notBefore) {
		w.due.ArmBefore(row.notBefore)
		return
	}
	target := w.pickReplica(row)
	if target == "" {
		row.sentTo, row.notBefore = "", now.Add(retryDelay)
		w.due.ArmBefore(row.notBefore)
		return
	}
	row.sentTo, row.sentAt = target, now
	row.attempts++
	p := w.packetTo(target)
	p.calls = append(p.calls, NewForwardedCall(number, row.call))
	w.due.ArmBefore(now.Add(timeout))
}

// receiveCall takes a call of another instance.
func (w *callWorld) receiveCall(now time.Time, from string, f ForwardedCall) {
	number := f.number
	w.add(now, f.call, func(r Result) {
		p := w.packetTo(from)
		if r.redirect {
			p.responses = append(p.responses, NewRedirect(number, r.leader))
			return
		}
		p.responses = append(p.responses, NewCallResponse(number, r))
	}, true)
}

// receiveResponse takes the answer to a forwarded call.
func (w *callWorld) receiveResponse(now time.Time, from string, b CallResponse) {
	row := w.rows.Get(b.number)
	if row == nil || row.forwarded {
		return
	}
	if !b.redirect {
		w.leaderHints.Put(row.call.ledger, leaderHintRow{instance: from})
		w.finish(b.number, b.result)
		return
	}
	if row.sentTo != from {
		return
	}
	row.sentTo = ""
	if b.leader != "" && b.leader != from {
		w.leaderHints.Put(row.call.ledger, leaderHintRow{instance: b.leader})
		return
	}
	w.leaderHints.Remove(row.call.ledger)
	row.notBefore = now.Add(retryDelay)
}
