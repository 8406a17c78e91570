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

// runLedgers runs the hosted ledger, persists and sends its output and applies
// what was committed.
func (w *World) runLedgers(now time.Time) {
	id := w.hosted()
	if id == "" {
		return
	}
	w.setContactPoints(id)
	if w.reportTransfer != nil {
		w.transferLeadership(now)
	}
	w.proposeInitialMembers(now)
	w.ledgers.Run(now)
	messages, records, sequence, committed := w.ledgers.Output()
	for _, m := range messages {
		w.outbox.addMessage(m)
	}
	if sequence != 0 {
		w.persist(sequence, records)
	}
	for _, c := range committed {
		w.apply(c)
	}
	if w.ledgers.LeadingTerm(id) == 0 {
		w.proposals.removeAll(w.redirect)
	}
	w.proposals.answerReads(func(term, round uint64) (bool, bool) { return w.ledgers.ReadReady(id, term, round) })
	w.compactLog(id)
	w.logMembers()
}

// setContactPoints gives the ledger the addresses of instances that may have a
// replica.
func (w *World) setContactPoints(id ledger.ID) {
	if w.contactPointsVersion == w.directory.MembershipVersion() {
		return
	}
	w.contactPointsVersion = w.directory.MembershipVersion()
	var points []string
	for _, n := range w.directory.Instances(w.self.Role()) {
		points = append(points, n.Address())
	}
	if w.self.Role() == directory.RoleControl {
		points = append(points, w.seeds...)
	}
	w.ledgers.SetContactPoints(id, points)
}

// transferLeadership transfers the leadership before a planned stop.
func (w *World) transferLeadership(now time.Time) {
	w.reportTransfer(w.ledgers.TransferLeadership(now))
}

// apply applies a committed entry or snapshot to the state machine and answers
// the requester.
func (w *World) apply(c ledger.Committed) {
	if c.Snapshot().Index() > 0 {
		w.restore(c.Snapshot())
		return
	}
	entry := c.Entry()
	requester, sameTerm, waiting := w.proposals.applied(entry)
	if entry.Kind() != ledger.EntryCommand {
		if waiting {
			w.redirect(requester)
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
	case !waiting:
	case sameTerm:
		w.reply(requester, status, nil)
	default:
		w.redirect(requester)
	}
}

// restore replaces the state machine by a snapshot. The first snapshot of an
// initial member has no content.
func (w *World) restore(s ledger.Snapshot) {
	if len(s.Data()) == 0 {
		return
	}
	var err error
	if w.registry != nil {
		err = w.restoreRegistry(s.Data())
	} else {
		err = w.restoreBatch(s)
	}
	if err != nil {
		event.CommandInvalid.Log(w.logger, "snapshot", s.Index(), "error", err)
		return
	}
	if s.IsLast() {
		event.LedgerRestored.Log(w.logger, "ledger", w.hosted(), "index", s.Index(), "parts", s.Parts())
	}
}

// memberLogKey identifies the leader and member list that were logged last.
type memberLogKey struct {
	leader string
	term   uint64
	index  uint64
}

// logMembers logs a new leader or member list.
func (w *World) logMembers() {
	for _, s := range w.ledgers.Statuses() {
		key := memberLogKey{leader: s.Leader(), term: s.Term(), index: s.MembersIndex()}
		if key == w.loggedMembers {
			continue
		}
		w.loggedMembers = key
		text := ""
		for _, m := range s.Members() {
			text += fmt.Sprintf(" %s:%t", m.Replica(), m.Voter())
		}
		event.MembersChanged.Log(w.logger, "ledger", s.Ledger(), "role", s.Role().String(), "term", s.Term(),
			"commit", s.CommitIndex(), "leader", s.Leader(), "members", strings.TrimSpace(text))
	}
}
