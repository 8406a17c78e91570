package ledger

import (
	"slices"
	"time"
)

// replicate sends entries, snapshots and heartbeats to the other members.
func (w *World) replicate(now time.Time, row *replicaRow) {
	if row.role != RoleLeader {
		return
	}
	beat := w.beat || row.asked
	if beat {
		w.openRound(now, row)
		row.asked = false
	}
	members, _ := row.log.members()
	for _, m := range members {
		if p := w.progress.Get(progressKey{row.id, m.replica}); p != nil {
			w.feed(now, row, m, p, beat)
		}
	}
}

// openRound starts a heartbeat round, which extends the lease once a quorum
// confirms it.
func (w *World) openRound(now time.Time, row *replicaRow) {
	row.round++
	row.rounds = append(row.rounds, roundRow{round: row.round, sent: now})
	if len(row.rounds) > maxRoundHistory {
		row.rounds = row.rounds[1:]
	}
}

// feed sends one member the entries that it lacks, or a heartbeat when one is
// due. A member that trails behind the snapshot gets that first.
func (w *World) feed(now time.Time, row *replicaRow, m Member, p *progressRow, beat bool) {
	if p.next <= row.log.snapshot.index {
		w.feedSnapshot(now, row, m, p, beat)
		return
	}
	if p.probing {
		w.probe(now, row, m, p, beat)
		return
	}
	sent := false
	for p.next-p.match <= appendWindow {
		entries := limitBytes(row.log.after(p.next-1, appendEntries))
		if len(entries) == 0 {
			break
		}
		w.sendAppend(row, m, p.next-1, entries)
		p.next += uint64(len(entries))
		sent = true
	}
	// A follower must not wait for the next heartbeat to learn of a commit.
	if !sent && (beat || p.told < row.commit) {
		w.sendAppend(row, m, p.next-1, nil)
	}
	p.told = row.commit
}

// probe sends one message of entries to a member that refused some, and waits
// for its answer: the messages under way are all refused too, and each refusal
// would have everything sent again.
func (w *World) probe(now time.Time, row *replicaRow, m Member, p *progressRow, beat bool) {
	if now.Before(p.probeDue) {
		if beat {
			w.sendAppend(row, m, p.next-1, nil)
		}
		return
	}
	p.probeDue = now.Add(probeRetry)
	w.sendAppend(row, m, p.next-1, limitBytes(row.log.after(p.next-1, appendEntries)))
	p.told = row.commit
}

// feedSnapshot sends the snapshot, again only after snapshotRetry, and
// heartbeats meanwhile.
func (w *World) feedSnapshot(now time.Time, row *replicaRow, m Member, p *progressRow, beat bool) {
	if !now.Before(p.snapshotDue) {
		p.snapshotDue = now.Add(snapshotRetry)
		w.send(NewMessage(MessageSnapshot, row.id, row.self, m.replica, row.term,
			WithRoute(w.instance, m.instance), WithRound(row.round), WithSnapshot(row.log.snapshot)))
	}
	if beat {
		w.sendAppend(row, m, row.log.snapshot.index, nil)
	}
}

// sendAppend sends entries that follow index.
func (w *World) sendAppend(row *replicaRow, m Member, index uint64, entries []Entry) {
	w.send(NewMessage(MessageAppend, row.id, row.self, m.replica, row.term,
		WithRoute(w.instance, m.instance),
		WithPosition(index, row.log.termAt(index)),
		WithCommit(row.commit), WithRound(row.round), WithEntries(entries)))
}

// limitBytes cuts entries to about appendBytes of payload, at least one entry.
func limitBytes(entries []Entry) []Entry {
	size := 0
	for i, e := range entries {
		size += len(e.payload)
		if size > appendBytes && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

// receiveAppend takes a leader's entries or heartbeat.
func (w *World) receiveAppend(now time.Time, row *replicaRow, m Message) {
	if m.term < row.term {
		w.reply(row, m, row.log.lastIndex(), true, false)
		return
	}
	w.follow(now, row, m.term, m.from, m.source)
	if !row.log.holds(m.index, m.logTerm) {
		w.reply(row, m, min(row.log.lastIndex(), m.index-1), true, false)
		return
	}
	w.storeEntries(row, m.entries)
	matched := m.index + uint64(len(m.entries))
	row.commit = max(row.commit, min(m.commit, matched))
	if len(m.entries) == 0 {
		w.reply(row, m, min(matched, row.durable), false, false)
		return
	}
	w.reply(row, m, matched, false, true)
}

// storeEntries appends the entries that the log lacks. An entry of another
// term at the same index voids the rest of the log.
func (w *World) storeEntries(row *replicaRow, entries []Entry) {
	for _, e := range entries {
		if row.log.holds(e.index, e.term) {
			continue
		}
		if e.index == row.log.lastIndex()+1 {
			row.log.add(e)
		} else {
			row.log.put(e)
			row.durable = min(row.durable, e.index-1)
		}
		w.save(row, NewEntryRecord(row.id, row.self, e))
	}
}

// receiveSnapshot replaces a log that trails behind the leader's snapshot.
func (w *World) receiveSnapshot(now time.Time, row *replicaRow, m Message) {
	if m.term < row.term {
		w.reply(row, m, row.log.lastIndex(), true, false)
		return
	}
	w.follow(now, row, m.term, m.from, m.source)
	if m.snapshot.index > row.commit {
		if row.log.termAt(m.snapshot.index) != m.snapshot.term {
			// The log is dropped; until the snapshot is on disk only what was
			// committed before can be confirmed.
			row.durable = min(row.durable, row.commit)
		}
		row.log.compact(m.snapshot)
		row.commit = m.snapshot.index
		row.restored = false
		w.save(row, NewSnapshotRecord(row.id, row.self, m.snapshot))
	}
	w.reply(row, m, m.snapshot.index, false, true)
}

// reply answers an append or snapshot with the confirmed or last index.
func (w *World) reply(row *replicaRow, m Message, index uint64, reject, durable bool) {
	w.sendDurable(NewMessage(MessageAppendReply, row.id, row.self, m.from, row.term,
		WithRoute(w.instance, m.source), WithPosition(index, 0),
		WithRound(m.round), WithReject(reject)), durable)
}

// receiveAppendReply updates what the leader knows of a member.
func (w *World) receiveAppendReply(now time.Time, row *replicaRow, m Message) {
	if m.term > row.term {
		w.follow(now, row, m.term, "", "")
		return
	}
	p := w.progress.Get(progressKey{row.id, m.from})
	if row.role != RoleLeader || p == nil || m.term < row.term {
		return
	}
	p.ackedAt = now
	p.round = max(p.round, m.round)
	if m.reject {
		next := max(min(p.next, m.index+1), p.match+1)
		if !p.probing || next < p.next {
			p.probeDue = now
		}
		p.next, p.probing = next, true
		return
	}
	p.probing = false
	p.match = max(p.match, m.index)
	p.next = max(p.next, p.match+1)
}

// confirmLease extends the lease to the newest round that a quorum confirmed.
func (w *World) confirmLease(now time.Time, row *replicaRow) {
	if row.role != RoleLeader {
		return
	}
	for i := len(row.rounds) - 1; i >= 0; i-- {
		r := row.rounds[i]
		confirmed := row.quorum(func(m Member) bool {
			p := w.progress.Get(progressKey{row.id, m.replica})
			return m.replica == row.self || (p != nil && p.round >= r.round)
		})
		if confirmed {
			row.leaseUntil = r.sent.Add(w.lease)
			row.confirmed = r.round
			row.leaderContact = now
			row.rounds = row.rounds[i+1:]
			return
		}
	}
}

// advanceCommit commits what a majority of voters has durable, if an entry of
// the leader's own term is among it.
func (w *World) advanceCommit(row *replicaRow) {
	if row.role != RoleLeader {
		return
	}
	members, _ := row.log.members()
	var matches []uint64
	for _, m := range members {
		if !m.voter {
			continue
		}
		match := row.durable
		if m.replica != row.self {
			match = 0
			if p := w.progress.Get(progressKey{row.id, m.replica}); p != nil {
				match = p.match
			}
		}
		matches = append(matches, match)
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if index > row.commit && row.log.termAt(index) == row.term {
		row.commit = index
	}
}

// release hands committed entries to the state machines.
func (w *World) release(row *replicaRow) {
	if !row.restored {
		row.restored = true
		if row.log.snapshot.index > row.applied {
			row.applied = row.log.snapshot.index
			w.committed = append(w.committed, Committed{ledger: row.id, snapshot: row.log.snapshot})
		}
	}
	for n := 0; row.applied < row.commit && n < applyPerTick; n++ {
		entry := row.log.entries[row.applied-row.log.snapshot.index]
		row.applied = entry.index
		w.committed = append(w.committed, Committed{ledger: row.id, entry: entry})
	}
}
