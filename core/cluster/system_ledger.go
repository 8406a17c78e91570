package cluster

import (
	"fmt"
	"strings"
	"time"

	"papayaquay/core/call"
	"papayaquay/core/directory"
	"papayaquay/core/event"
	"papayaquay/core/ledger"
)

// runLedgers runs the hosted ledger and applies what was committed.
func (w *World) runLedgers(now time.Time) {
	id := w.hosted()
	if id == "" {
		return
	}
	w.setContacts(id)
	if w.leaving != nil {
		w.handOver(now)
	}
	w.found(now)
	w.ledgers.Run(now)
	messages, records, sequence, committed := w.ledgers.Output()
	for _, m := range messages {
		w.outbox.message(m)
	}
	if sequence != 0 {
		w.persist(sequence, records)
	}
	for _, c := range committed {
		w.apply(c)
	}
	if w.ledgers.LeadingTerm(id) == 0 {
		w.proposals.abandon(w.redirect)
	}
	w.proposals.checkBarriers(func(term, round uint64) (bool, bool) { return w.ledgers.ReadReady(id, term, round) })
	w.compact(id)
	w.noteMembers()
}

// setContacts tells the ledger where other replicas may be.
func (w *World) setContacts(id ledger.ID) {
	if w.contacts == w.directory.MembershipVersion() {
		return
	}
	w.contacts = w.directory.MembershipVersion()
	var contacts []string
	for _, n := range w.directory.Nodes(w.self.Role()) {
		contacts = append(contacts, n.Address())
	}
	if w.self.Role() == directory.RoleControl {
		contacts = append(contacts, w.seeds...)
	}
	w.ledgers.SetContactPoints(id, contacts)
}

// handOver gives up the lead before a planned stop.
func (w *World) handOver(now time.Time) {
	w.leaving(w.ledgers.TransferLeadership(now))
}

// apply hands a committed step to the state machine and answers its caller.
func (w *World) apply(c ledger.Committed) {
	if c.Snapshot().Index() > 0 {
		w.restore(c.Snapshot())
		return
	}
	entry := c.Entry()
	asker, ours, waits := w.proposals.applied(entry)
	if entry.Kind() != ledger.EntryCommand {
		if waits {
			w.redirect(asker)
		}
		return
	}
	var status call.Status
	var err error
	if w.registry != nil {
		status, err = w.applyRegistry(entry)
	} else {
		status, err = w.applyBatch(entry)
	}
	if err != nil {
		event.CommandInvalid.Log(w.logger, "ledger", c.Ledger(), "index", entry.Index(), "error", err)
		status = call.StatusRejected
	}
	switch {
	case !waits:
	case ours:
		w.answer(asker, status, nil)
	default:
		w.redirect(asker)
	}
}

// restore loads a snapshot into the state machine. A founder's base has no
// content.
func (w *World) restore(s ledger.Snapshot) {
	if len(s.Data()) == 0 {
		return
	}
	var err error
	if w.registry != nil {
		err = w.restoreRegistry(s.Data())
	} else {
		err = w.restoreBatch(s.Data())
	}
	if err != nil {
		event.CommandInvalid.Log(w.logger, "snapshot", s.Index(), "error", err)
		return
	}
	event.LedgerRestored.Log(w.logger, "ledger", w.hosted(), "index", s.Index())
}

// memberKey tells whether a member list was logged.
type memberKey struct {
	leader string
	term   uint64
	index  uint64
}

// noteMembers logs a new leader or member list.
func (w *World) noteMembers() {
	for _, s := range w.ledgers.Statuses() {
		key := memberKey{leader: s.Leader(), term: s.Term(), index: s.MembersIndex()}
		if key == w.noted {
			continue
		}
		w.noted = key
		text := ""
		for _, m := range s.Members() {
			text += fmt.Sprintf(" %s:%t", m.Replica(), m.Voter())
		}
		event.MembersChanged.Log(w.logger, "ledger", s.Ledger(), "role", s.Role().String(), "term", s.Term(),
			"commit", s.CommitIndex(), "leader", s.Leader(), "members", strings.TrimSpace(text))
	}
}
