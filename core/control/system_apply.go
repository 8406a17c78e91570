package control

import (
	"time"

	"papayaquay/core/event"
	"papayaquay/core/home"
	"papayaquay/core/ledger"

	"papayaquay/core/config"
)

// proposalKey names a log position at which a call's command was appended.
type proposalKey struct {
	ledger ledger.ID
	index  uint64
}

// proposalRow ties a position to the call that waits for it.
type proposalRow struct {
	term uint64
	call uint64
}

// apply hands records to the disk and messages to the outbox, and applies
// committed entries to the state machines.
func (w *hostWorld) apply(now time.Time) {
	messages, records, sequence, committed := w.ledgers.Output()
	if sequence != 0 {
		w.persist(sequence, records)
	}
	for _, m := range messages {
		p := w.out(m.Target())
		p.ledgerMessages = append(p.ledgerMessages, m)
	}
	for _, c := range committed {
		w.applyOne(now, c)
	}
	if len(committed) > 0 {
		w.wake = true
	}
	w.dropLostProposals()
}

// applyOne applies one entry or loads one snapshot.
func (w *hostWorld) applyOne(now time.Time, c ledger.Committed) {
	if c.Snapshot().Index() > 0 {
		w.restore(c)
		return
	}
	entry := c.Entry()
	if entry.Kind() != ledger.EntryCommand {
		w.settle(now, c.Ledger(), entry, Result{}, false)
		return
	}
	var result Result
	if c.Ledger() == ConfigLedger {
		result = w.applyChange(now, entry)
	} else if row := w.states.Get(c.Ledger()); row != nil {
		result = w.applyHome(c.Ledger(), row, entry)
	}
	w.settle(now, c.Ledger(), entry, result, true)
}

// applyChange applies a configuration change.
func (w *hostWorld) applyChange(now time.Time, entry ledger.Entry) Result {
	change, err := w.codec.decodeChange(entry.Payload())
	if err != nil {
		event.CommandInvalid.Log(w.logger, "ledger", ConfigLedger, "index", entry.Index(), "error", err)
		return NewResult(err)
	}
	verdict := w.config.Apply(change)
	event.ConfigApplied.Log(w.logger, "revision", w.config.Revision(), "lag", now.Sub(change.At()))
	return NewResult(nil, WithChangeResult(verdict))
}

// applyHome applies a home command.
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
		w.submitted(id)
	}
	return NewResult(nil, WithReply(row.state.Apply(command)))
}

// settle answers the call whose command stood at the entry's position. If
// another leader's entry took the position, the call is sent again.
func (w *hostWorld) settle(now time.Time, id ledger.ID, entry ledger.Entry, result Result, command bool) {
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

// dropLostProposals sends calls again whose ledger is no longer led here.
func (w *hostWorld) dropLostProposals() {
	w.proposals.Each(func(key proposalKey, p *proposalRow) {
		if w.ledgers.LeaderOf(key.ledger) != w.self {
			w.proposals.Remove(key)
			w.calls.retry(time.Time{}, p.call)
		}
	})
}

// restore loads a snapshot into a state machine.
func (w *hostWorld) restore(c ledger.Committed) {
	data := c.Snapshot().Data()
	var err error
	if c.Ledger() == ConfigLedger {
		var state *config.State
		if state, err = w.codec.decodeConfig(data); err == nil {
			w.config = state
		}
	} else if row := w.states.Get(c.Ledger()); row != nil {
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

// compact starts snapshots of ledgers whose logs have grown. The state is
// exported here and encoded off the control thread.
func (w *hostWorld) compact() {
	w.states.Each(func(id ledger.ID, row *homeRow) {
		if row.encoding || w.ledgers.UncompactedEntries(id) < w.compactAfter {
			return
		}
		row.encoding = true
		records, index := row.state.Export(), w.ledgers.Applied(id)
		w.encode(id, index, func() ([]byte, error) { return w.codec.encodeHome(records) },
			func() { row.encoding = false })
	})
	if w.config != nil && !w.configEncoding && w.ledgers.UncompactedEntries(ConfigLedger) >= w.compactAfter {
		w.configEncoding = true
		state, index := w.config.Copy(), w.ledgers.Applied(ConfigLedger)
		w.encode(ConfigLedger, index, func() ([]byte, error) { return w.codec.encodeConfig(state) },
			func() { w.configEncoding = false })
	}
}

// encode runs an encoder in the background and compacts with its result.
func (w *hostWorld) encode(id ledger.ID, index uint64, encoder func() ([]byte, error), done func()) {
	w.background(func() {
		data, err := encoder()
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
