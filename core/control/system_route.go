package control

import (
	"slices"
	"time"

	"papayaquay/core/ledger"
	"papayaquay/core/outcome"
)

// callRow is a call on its way.
type callRow struct {
	call    Call
	reply   func(Result)
	foreign bool // forwarded by another instance
	busy    bool // being served here
	sentTo  string
	sentAt  time.Time
	due     time.Time // not to be sent before
	tries   int
}

// leaderRow is the believed leader of a ledger.
type leaderRow struct {
	instance string
}

// addCall starts a call.
func (w *World) addCall(now time.Time, call Call, reply func(Result), foreign bool) uint64 {
	w.lastCall++
	w.calls.Put(w.lastCall, callRow{call: call, reply: reply, foreign: foreign, due: now})
	return w.lastCall
}

// finishCall answers a call.
func (w *World) finishCall(number uint64, result Result) {
	row := w.calls.Get(number)
	if row == nil {
		return
	}
	w.calls.Remove(number)
	w.waiters.Remove(number)
	row.reply(result)
}

// retryCall makes a call available to route again.
func (w *World) retryCall(now time.Time, number uint64) {
	if row := w.calls.Get(number); row != nil {
		row.busy, row.sentTo, row.due = false, "", now
		w.again = true
	}
}

// route serves calls whose ledger is led here and sends the others to the
// believed leader.
func (w *World) route(now time.Time) {
	w.calls.Each(func(number uint64, row *callRow) {
		switch {
		case !now.Before(row.call.deadline):
			w.finishCall(number, NewResult(outcome.ErrTimeout))
		case row.busy:
			w.routeDue.ArmBefore(row.call.deadline)
		case w.ledgers.Leads(now, row.call.ledger):
			w.serve(now, number, row)
		case row.foreign:
			w.calls.Remove(number)
			row.reply(redirect(w.believedLeader(row.call.ledger)))
		default:
			w.forward(now, number, row)
		}
	})
}

// forward sends a call to the believed leader, or again if no answer came.
func (w *World) forward(now time.Time, number uint64, row *callRow) {
	patience := tryTimeout
	if row.call.wait {
		patience = waitTimeout
	}
	if row.sentTo != "" && now.Before(row.sentAt.Add(patience)) && w.reachable(row.sentTo) {
		w.routeDue.ArmBefore(row.sentAt.Add(patience))
		return
	}
	if row.sentTo != "" {
		w.leaders.Remove(row.call.ledger)
	}
	if now.Before(row.due) {
		w.routeDue.ArmBefore(row.due)
		return
	}
	target := w.pickReplica(row)
	if target == "" {
		row.sentTo, row.due = "", now.Add(retryPause)
		w.routeDue.ArmBefore(row.due)
		return
	}
	row.sentTo, row.sentAt = target, now
	row.tries++
	p := w.out(target)
	p.calls = append(p.calls, NewForward(number, row.call))
	w.routeDue.ArmBefore(now.Add(patience))
}

// believedLeader returns the leader of a ledger as far as known.
func (w *World) believedLeader(id ledger.ID) string {
	if w.ledgers.Hosts(id) {
		if leader := w.ledgers.LeaderOf(id); leader != "" {
			return leader
		}
	}
	if row := w.leaders.Get(id); row != nil {
		return row.instance
	}
	return ""
}

// pickReplica returns where to send a call: the believed leader, else the
// replicas in turn.
func (w *World) pickReplica(row *callRow) string {
	if leader := w.believedLeader(row.call.ledger); leader != "" && leader != w.name && w.reachable(leader) {
		return leader
	}
	replicas := w.replicasOf(row.call.ledger)
	for i := range replicas {
		target := replicas[(row.tries+i)%len(replicas)]
		if target != w.name && w.reachable(target) {
			return target
		}
	}
	return ""
}

// replicasOf returns the instances that hold a replica of a ledger.
func (w *World) replicasOf(id ledger.ID) []string {
	i := slices.IndexFunc(w.placements, func(p Placement) bool { return p.ledger == id })
	if i < 0 {
		return nil
	}
	return w.placements[i].replicas
}

// reachable reports whether an instance is not known to be lost.
func (w *World) reachable(name string) bool {
	instance, ok := w.members.Get(name)
	return ok && (instance.Reachable() || instance.State() == 0)
}

// receiveForward takes a call of another instance.
func (w *World) receiveForward(now time.Time, from string, f Forward) {
	number := f.number
	w.addCall(now, f.call, func(r Result) {
		p := w.out(from)
		if r.redirect {
			p.answers = append(p.answers, NewRedirect(number, r.leader))
			return
		}
		p.answers = append(p.answers, NewBackward(number, r))
	}, true)
}

// receiveBackward takes the answer to a forwarded call.
func (w *World) receiveBackward(now time.Time, from string, b Backward) {
	row := w.calls.Get(b.number)
	if row == nil || row.foreign {
		return
	}
	if !b.redirect {
		w.leaders.Put(row.call.ledger, leaderRow{instance: from})
		w.finishCall(b.number, b.result)
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
