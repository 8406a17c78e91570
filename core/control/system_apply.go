package control

import (
	"time"

	"papayaquay/core/event"
	"papayaquay/core/home"
	"papayaquay/core/ledger"

	"papayaquay/core/config"
)

// proposalKey is the ledger and the log index at which a call's command was
// appended.
type proposalKey struct {
	ledger ledger.ID
	index  uint64
}

// proposalRow is the term in which a command was proposed and the number of the
// call that waits for it.
type proposalRow struct {
	term uint64
	call uint64
}

// apply passes new records to the disk and messages to the outbox, and applies the
// committed entries to the state machines.
func (w *hostWorld) apply(now time.Time) {
	messages, records, sequence, committed := w.ledgers.Output()
	if sequence != 0 {
		w.persist(sequence, records)
	}
	for _, m := range messages {
		p := w.packetTo(m.Target())
		p.ledgerMessages = append(p.ledgerMessages, m)
	}
	for _, c := range committed {
		w.applyCommitted(now, c)
	}
	if len(committed) > 0 {
		w.recheckHeldCalls = true
	}
	w.retryLostProposals()
}

// applyCommitted applies one committed entry or restores one snapshot.
func (w *hostWorld) applyCommitted(now time.Time, c ledger.Committed) {
	if c.Snapshot().Index() > 0 {
		w.restore(c)
		return
	}
	entry := c.Entry()
	if entry.Kind() != ledger.EntryCommand {
		w.completeProposal(now, c.Ledger(), entry, Result{}, false)
		return
	}
	var result Result
	if c.Ledger() == ConfigLedger {
		result = w.applyChange(now, entry)
	} else if row := w.homeStates.Get(c.Ledger()); row != nil {
		result = w.applyHome(c.Ledger(), row, entry)
	}
	w.completeProposal(now, c.Ledger(), entry, result, true)
}

// applyChange decodes and applies a configuration change.
func (w *hostWorld) applyChange(now time.Time, entry ledger.Entry) Result {
	change, err := w.codec.decodeChange(entry.Payload())
	if err != nil {
		event.CommandInvalid.Log(w.logger, "ledger", ConfigLedger, "index", entry.Index(), "error", err)
		return NewResult(err)
	}
	result := w.configState.Apply(change)
	event.ConfigApplied.Log(w.logger, "revision", w.configState.Revision(), "lag", now.Sub(change.At()))
	return NewResult(nil, WithChangeResult(result))
}

// applyHome decodes and applies a home command.
func (w *hostWorld) applyHome(id ledger.ID, row *homeRow, entry ledger.Entry) Result {
	command, err := w.codec.decodeCommand(entry.Payload())
	if err != nil {
		event.CommandInvalid.Log(w.logger, "index", entry.Index(), "error", err)
		return NewResult(err)
	}
	if command.Kind() == home.CommandExpire {
		row.expiring = false
	}
	if command.Kind() == home.CommandSubmit {
		w.jobCommitted(id)
	}
	return NewResult(nil, WithReply(row.state.Apply(command)))
}

// completeProposal finishes the call that proposed a command at the entry's index.
// If the index holds another leader's entry, the call is retried.
func (w *hostWorld) completeProposal(now time.Time, id ledger.ID, entry ledger.Entry, result Result, command bool) {
	key := proposalKey{ledger: id, index: entry.Index()}
	p := w.proposals.Get(key)
	if p == nil {
		return
	}
	w.proposals.Remove(key)
	if command && p.term == entry.Term() {
		w.calls.finish(p.call, result)
		return
	}
	w.calls.retry(now, p.call)
}

// retryLostProposals retries the calls whose ledger this instance no longer leads.
func (w *hostWorld) retryLostProposals() {
	w.proposals.Each(func(key proposalKey, p *proposalRow) {
		if w.ledgers.LeaderOf(key.ledger) != w.self {
			w.proposals.Remove(key)
			w.calls.retry(time.Time{}, p.call)
		}
	})
}

// restore replaces a state machine by the content of a snapshot. If decoding fails,
// it logs the error and keeps the state machine.
func (w *hostWorld) restore(c ledger.Committed) {
	data := c.Snapshot().Data()
	var err error
	if c.Ledger() == ConfigLedger {
		var state *config.State
		if state, err = w.codec.decodeConfig(data); err == nil {
			w.configState = state
		}
	} else if row := w.homeStates.Get(c.Ledger()); row != nil {
		var records home.Records
		if records, err = w.codec.decodeHome(data); err == nil {
			row.state = home.Restore(records)
		}
	}
	if err != nil {
		event.CommandInvalid.Log(w.logger, "ledger", c.Ledger(), "index", c.Snapshot().Index(), "error", err)
		return
	}
	event.LedgerRestored.Log(w.logger, "ledger", c.Ledger(), "index", c.Snapshot().Index())
}

// compact starts a snapshot of each ledger whose log is long: it holds compactAfter
// applied entries or many bytes. The state is copied on the control thread and encoded in the
// background.
func (w *hostWorld) compact() {
	w.homeStates.Each(func(id ledger.ID, row *homeRow) {
		if row.encodingSnapshot || !w.ledgers.ShouldCompact(id, w.compactAfter) {
			return
		}
		row.encodingSnapshot = true
		records, index := row.state.Export(), w.ledgers.Applied(id)
		w.encode(id, index, func() ([]byte, error) { return w.codec.encodeHome(records) },
			func() { row.encodingSnapshot = false })
	})
	if w.configState != nil && !w.encodingConfig && w.ledgers.ShouldCompact(ConfigLedger, w.compactAfter) {
		w.encodingConfig = true
		state, index := w.configState.Copy(), w.ledgers.Applied(ConfigLedger)
		w.encode(ConfigLedger, index, func() ([]byte, error) { return w.codec.encodeConfig(state) },
			func() { w.encodingConfig = false })
	}
}

// encode runs an encode function in the background. Then it calls done on the
// control thread and compacts the log with the encoded snapshot.
func (w *hostWorld) encode(id ledger.ID, index uint64, encode func() ([]byte, error), done func()) {
	w.background(func() {
		data, err := encode()
		w.post(Input{work: func() {
			done()
			if err != nil {
				event.SnapshotFailed.Log(w.logger, "ledger", id, "error", err)
				return
			}
			w.ledgers.Compact(id, index, data)
		}})
	})
}
