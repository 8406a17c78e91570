package control

import (
	"strings"
	"time"

	"papayaquay/core/home"
	"papayaquay/core/ledger"
	"papayaquay/core/outcome"
)

// claimKey names a claimed request key.
type claimKey struct {
	ledger ledger.ID
	key    home.Key
}

// claimRow is the right of one attempt to run a key. It lives in the leader's
// memory only: it saves double work, while the ledger alone decides the answer.
type claimRow struct {
	claimant string
	instance string
	until    time.Time
}

// waiterRow is a call held until its key has an answer.
type waiterRow struct {
	until time.Time
}

// serve answers a call at the ledger's leader.
func (w *hostWorld) serve(now time.Time, number uint64, row *callRow) {
	call := row.call
	if call.ledger == ConfigLedger {
		w.serveConfig(number, row)
		return
	}
	hosted := w.states.Get(call.ledger)
	if hosted == nil {
		w.calls.finish(number, NewResult(outcome.ErrNotFound))
		return
	}
	switch call.kind {
	case CallApply:
		w.serveApply(number, row, hosted.state)
	case CallLookup:
		w.serveLookup(now, number, row, hosted.state)
	case CallClaim:
		w.serveClaim(now, number, row, hosted.state)
	case CallJob:
		w.calls.finish(number, NewResult(nil, WithReply(hosted.state.JobStatus(call.key))))
	case CallResults:
		w.calls.finish(number, NewResult(nil, WithReply(hosted.state.Results(call.key, call.from, call.limit))))
	default:
		w.calls.finish(number, NewResult(outcome.ErrInvalid))
	}
}

// serveApply commits a home command, unless its reply is known without.
func (w *hostWorld) serveApply(number uint64, row *callRow, state *home.State) {
	command := row.call.command
	switch command.Kind() {
	case home.CommandLease:
		if !state.LeaseDue(command) {
			reply := home.NewReply(outcome.OK, "", home.WithCancelled(state.Cancelled(command.Owner())))
			w.calls.finish(number, NewResult(nil, WithReply(reply)))
			return
		}
	case home.CommandPutAnswer:
		if stored := state.Lookup(command.Key()); stored.Answer().Code() != outcome.Pending {
			w.calls.finish(number, NewResult(nil, WithReply(stored)))
			return
		}
	}
	payload, err := w.codec.encodeCommand(command)
	w.propose(number, row, payload, err)
}

// serveConfig serves calls to the configuration ledger.
func (w *hostWorld) serveConfig(number uint64, row *callRow) {
	switch row.call.kind {
	case CallChange:
		payload, err := w.codec.encodeChange(row.call.change)
		w.propose(number, row, payload, err)
	case CallHistory:
		w.calls.finish(number, NewResult(nil, WithEvents(w.config.History(row.call.limit))))
	default:
		w.calls.finish(number, NewResult(outcome.ErrInvalid))
	}
}

// propose appends an encoded command and ties the call to its position.
func (w *hostWorld) propose(number uint64, row *callRow, payload []byte, err error) {
	if err != nil {
		w.calls.finish(number, NewResult(err))
		return
	}
	term, index, err := w.ledgers.Propose(row.call.ledger, payload)
	if err != nil {
		return // the lead was lost, route tries again
	}
	row.busy = true
	w.proposals.Put(proposalKey{ledger: row.call.ledger, index: index}, proposalRow{term: term, call: number})
	w.calls.due.ArmBefore(row.call.deadline)
}

// serveLookup reads an answer, or waits for one while the key is running.
func (w *hostWorld) serveLookup(now time.Time, number uint64, row *callRow, state *home.State) {
	reply := state.Lookup(row.call.key)
	claimed := w.claimOf(now, row.call) != nil
	running := reply.Answer().Code() == outcome.Pending && (reply.Code() == outcome.OK || claimed)
	if running && row.call.wait {
		w.hold(now, number, row)
		return
	}
	w.calls.finish(number, NewResult(nil, WithReply(reply), WithClaimedByOther(claimed)))
}

// serveClaim grants the right to run a key, or returns its answer.
func (w *hostWorld) serveClaim(now time.Time, number uint64, row *callRow, state *home.State) {
	call := row.call
	reply := state.Lookup(call.key)
	if reply.Answer().Code() != outcome.Pending {
		w.calls.finish(number, NewResult(nil, WithReply(reply)))
		return
	}
	claim := w.claimOf(now, call)
	started := reply.Code() == outcome.OK
	if !started && (claim == nil || claim.claimant == call.claimant) {
		w.claims.Put(claimKey{call.ledger, call.key}, claimRow{
			claimant: call.claimant, instance: claimInstance(call.claimant), until: call.deadline})
		w.calls.finish(number, NewResult(nil, WithReply(reply)))
		return
	}
	if call.wait {
		w.hold(now, number, row)
		return
	}
	w.calls.finish(number, NewResult(nil, WithReply(reply), WithClaimedByOther(true)))
}

// claimOf returns the live claim on a call's key, or nil.
func (w *hostWorld) claimOf(now time.Time, call Call) *claimRow {
	key := claimKey{call.ledger, call.key}
	claim := w.claims.Get(key)
	if claim == nil {
		return nil
	}
	holder, known := w.members.Get(claim.instance)
	if now.After(claim.until) || known && !holder.Reachable() {
		w.claims.Remove(key)
		return nil
	}
	return claim
}

// claimInstance returns the instance of a claimant, whose name starts with it.
func claimInstance(claimant string) string {
	instance, _, _ := strings.Cut(claimant, "#")
	return instance
}

// hold keeps a call until its key changes or the hold time is over.
func (w *hostWorld) hold(now time.Time, number uint64, row *callRow) {
	row.busy = true
	until := minTime(now.Add(holdTimeout), row.call.deadline.Add(-retryPause))
	w.waiters.Put(number, waiterRow{until: until})
	w.wakeDue.ArmBefore(until)
}

// wakeWaiters serves held calls again when something was committed, and
// answers them without waiting when their hold time is over.
func (w *hostWorld) wakeWaiters(now time.Time) {
	if !w.wake {
		return
	}
	w.wake = false
	for _, number := range w.waiters.Keys() {
		until := w.waiters.Get(number).until
		w.waiters.Remove(number)
		w.wakeWaiter(now, number, until)
	}
}

// wakeWaiter serves one held call again.
func (w *hostWorld) wakeWaiter(now time.Time, number uint64, until time.Time) {
	row := w.calls.rows.Get(number)
	if row == nil {
		return
	}
	if !w.ledgers.Leads(now, row.call.ledger) {
		w.calls.retry(now, number)
		return
	}
	if !now.Before(until) {
		row.call.wait = false
	}
	w.serve(now, number, row)
	if kept := w.waiters.Get(number); kept != nil {
		kept.until = until
		w.wakeDue.ArmBefore(until)
	}
}

// expire drops what hosted home ledgers keep too long, and old claims.
func (w *hostWorld) expire(now time.Time) {
	w.expireDue.Arm(now.Add(expireInterval))
	w.states.Each(func(id ledger.ID, row *homeRow) {
		if row.expiring || !w.ledgers.Leads(now, id) || !row.state.ExpireDue(now) {
			return
		}
		row.expiring = true
		command := home.NewCommand(home.CommandExpire, home.Key{}, now)
		call := NewCall(CallApply, id, now.Add(expireInterval), WithCommand(command))
		w.calls.add(now, call, func(Result) { row.expiring = false }, false)
	})
	w.claims.Each(func(key claimKey, claim *claimRow) {
		if now.After(claim.until) {
			w.claims.Remove(key)
		}
	})
}
