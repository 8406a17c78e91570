package control

import (
	"time"

	"papayaquay/core/outcome"
)

// route serves the calls whose ledger this instance leads and forwards the others
// to the known leader. A call from another instance is redirected instead, and a
// call past its deadline fails.
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

// forward sends a call to the known leader or another replica. It sends the call
// again if there is no response in time or the receiver is lost.
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

// receiveCall adds a call from another instance.
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

// receiveResponse processes the response to a forwarded call. A redirect without
// another leader delays the next attempt by retryDelay.
func (w *callWorld) receiveResponse(now time.Time, from string, r CallResponse) {
	row := w.rows.Get(r.number)
	if row == nil || row.forwarded {
		return
	}
	if !r.redirect {
		w.leaderHints.Put(row.call.ledger, leaderHintRow{instance: from})
		w.finish(r.number, r.result)
		return
	}
	if row.sentTo != from {
		return
	}
	row.sentTo = ""
	if r.leader != "" && r.leader != from {
		w.leaderHints.Put(row.call.ledger, leaderHintRow{instance: r.leader})
		return
	}
	w.leaderHints.Remove(row.call.ledger)
	row.notBefore = now.Add(retryDelay)
}
