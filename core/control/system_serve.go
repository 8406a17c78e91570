package control

import (
	"strings"
	"time"

	"papayaquay/core/home"
	"papayaquay/core/ledger"
	"papayaquay/core/outcome"
)

// claimKey is the ledger and the request key of a claim.
type claimKey struct {
	ledger ledger.ID
	key    home.Key
}

// claimRow is the right of one attempt to run the request of a key. It exists only
// in the leader's memory. It avoids duplicate work, but does not decide the answer:
// the ledger does.
type claimRow struct {
	claimant string
	instance string
	until    time.Time
}

// heldCallRow is a call that is held until its key has an answer.
type heldCallRow struct {
	until time.Time
}

// serve serves a call on the leader of its ledger.
func (w *hostWorld) serve(now time.Time, number uint64, row *callRow) {
	call := row.call
	if call.ledger == ConfigLedger {
		w.serveConfig(number, row)
		return
	}
	hosted := w.homeStates.Get(call.ledger)
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

// serveApply commits a home command. It replies without a commit if the command
// would not change the state: a lease without items to lease or renew, or an answer
// to a key that already has one.
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
	if err == nil && command.Kind() == home.CommandSubmit {
		err = w.checkRoom(command, state, payload)
	}
	w.propose(number, row, payload, err)
}

// serveConfig serves calls to the configuration ledger.
func (w *hostWorld) serveConfig(number uint64, row *callRow) {
	switch row.call.kind {
	case CallChange:
		payload, err := w.codec.encodeChange(row.call.change)
		w.propose(number, row, payload, err)
	case CallHistory:
		w.calls.finish(number, NewResult(nil, WithEvents(w.configState.History(row.call.limit))))
	default:
		w.calls.finish(number, NewResult(outcome.ErrInvalid))
	}
}

// propose appends an encoded command to the log and records the index for the call.
// err is the encoding error, if any.
func (w *hostWorld) propose(number uint64, row *callRow, payload []byte, err error) {
	if err != nil {
		w.calls.finish(number, NewResult(err))
		return
	}
	term, index, err := w.ledgers.Propose(row.call.ledger, payload)
	if err != nil {
		return // no longer the leader, route tries again
	}
	row.serving = true
	w.proposals.Put(proposalKey{ledger: row.call.ledger, index: index}, proposalRow{term: term, call: number})
	w.calls.due.ArmBefore(row.call.deadline)
}

// serveLookup returns the answer to a key. If the request is running and the call may
// wait, it holds the call.
func (w *hostWorld) serveLookup(now time.Time, number uint64, row *callRow, state *home.State) {
	reply := state.Lookup(row.call.key)
	claimed := w.claimOf(now, row.call) != nil
	running := reply.Answer().Code() == outcome.Pending && (reply.Code() == outcome.OK || claimed)
	if running && row.call.wait {
		w.holdCall(now, number, row)
		return
	}
	w.calls.finish(number, NewResult(nil, WithReply(reply), WithClaimedByOther(claimed)))
}

// serveClaim returns the answer to a key if there is one. Otherwise it grants the
// claim. If another attempt holds the claim or the request has started, it holds the
// call or reports that the key is claimed.
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
		w.holdCall(now, number, row)
		return
	}
	w.calls.finish(number, NewResult(nil, WithReply(reply), WithClaimedByOther(true)))
}

// claimOf returns the current claim on a call's key, or nil. A claim ends when it
// expires or its instance is lost.
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

// claimInstance returns the instance of a claimant: the part of its name before
// "#".
func claimInstance(claimant string) string {
	instance, _, _ := strings.Cut(claimant, "#")
	return instance
}

// holdCall holds a call until an entry is committed, for at most maxCallWait. The wait
// ends retryDelay before the call's deadline, because at the deadline the call fails.
func (w *hostWorld) holdCall(now time.Time, number uint64, row *callRow) {
	row.serving = true
	until := minTime(now.Add(maxCallWait), row.call.deadline.Add(-retryDelay))
	w.heldCalls.Put(number, heldCallRow{until: until})
	w.heldCallDue.ArmBefore(until)
}

// serveHeldCalls serves the held calls again after entries were committed or a call
// was held for its maximum wait.
func (w *hostWorld) serveHeldCalls(now time.Time) {
	if !w.recheckHeldCalls {
		return
	}
	w.recheckHeldCalls = false
	for _, number := range w.heldCalls.Keys() {
		until := w.heldCalls.Get(number).until
		w.heldCalls.Remove(number)
		w.serveHeldCall(now, number, until)
	}
}

// serveHeldCall serves one held call again. After until, the call gets a result without
// further waiting.
func (w *hostWorld) serveHeldCall(now time.Time, number uint64, until time.Time) {
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
	if held := w.heldCalls.Get(number); held != nil {
		held.until = until
		w.heldCallDue.ArmBefore(until)
	}
}

// expire proposes an expire command to each led home ledger that has expired data,
// and removes expired claims.
func (w *hostWorld) expire(now time.Time) {
	w.expireDue.Arm(now.Add(expireInterval))
	w.homeStates.Each(func(id ledger.ID, row *homeRow) {
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
