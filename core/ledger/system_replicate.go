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
	heartbeat := w.sendHeartbeats || row.roundRequested
	if heartbeat {
		w.startRound(now, row)
		row.roundRequested = false
	}
	w.endTransfer(now, row)
	members, _ := row.log.members()
	for _, m := range members {
		if p := w.progress.Get(progressKey{row.id, m.replica}); p != nil {
			w.sendToMember(now, row, m, p, heartbeat)
		}
	}
}

// startRound starts a heartbeat round. The round extends the lease when a
// quorum confirms it.
func (w *World) startRound(now time.Time, row *replicaRow) {
	row.round++
	row.rounds = append(row.rounds, roundRow{round: row.round, sentAt: now})
	if len(row.rounds) > maxRoundHistory {
		row.rounds = row.rounds[1:]
	}
}

// sendToMember sends a member the entries that it lacks, or a heartbeat if one
// is due. A member that lacks entries covered by the snapshot receives the
// snapshot first.
func (w *World) sendToMember(now time.Time, row *replicaRow, m Member, p *progressRow, heartbeat bool) {
	if p.nextIndex <= row.log.snapshot.index {
		w.sendSnapshot(now, row, m, p, heartbeat)
		return
	}
	if p.probing {
		w.sendProbe(now, row, m, p, heartbeat)
		return
	}
	sent := false
	for p.nextIndex-p.matchIndex <= maxInFlightEntries {
		entries := limitBytes(row.log.entriesAfter(p.nextIndex-1, maxAppendEntries))
		if len(entries) == 0 {
			break
		}
		w.sendAppend(row, m, p.nextIndex-1, entries)
		p.nextIndex += uint64(len(entries))
		sent = true
	}
	// The follower must not wait for the next heartbeat to learn the commit index.
	if !sent && (heartbeat || p.sentCommit < row.commit) {
		w.sendAppend(row, m, p.nextIndex-1, nil)
	}
	p.sentCommit = row.commit
}

// sendProbe sends one message with entries to a member that rejected some, and
// then waits for the reply. The member also rejects every message already in
// flight, and without the wait each rejection would make the leader send all
// entries again.
func (w *World) sendProbe(now time.Time, row *replicaRow, m Member, p *progressRow, heartbeat bool) {
	if now.Before(p.probeDue) {
		if heartbeat {
			w.sendAppend(row, m, p.nextIndex-1, nil)
		}
		return
	}
	p.probeDue = now.Add(probeRetryInterval)
	w.sendAppend(row, m, p.nextIndex-1, limitBytes(row.log.entriesAfter(p.nextIndex-1, maxAppendEntries)))
	p.sentCommit = row.commit
}

// sendAppend sends entries that follow index; without entries the message is a
// heartbeat.
func (w *World) sendAppend(row *replicaRow, m Member, index uint64, entries []Entry) {
	w.send(NewMessage(MessageAppend, row.id, row.self, m.replica, row.term,
		WithRoute(w.instance, m.instance),
		WithPosition(index, row.log.termAt(index)),
		WithCommit(row.commit), WithRound(row.round), WithEntries(entries)))
}

// limitBytes returns the leading entries with at most maxAppendBytes of payload
// in total, but at least one entry.
func limitBytes(entries []Entry) []Entry {
	size := 0
	for i, e := range entries {
		size += len(e.payload)
		if size > maxAppendBytes && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

// receiveAppend handles a leader's entries or heartbeat.
func (w *World) receiveAppend(now time.Time, row *replicaRow, m Message) {
	if m.term < row.term {
		w.replyAppend(row, m, row.log.lastIndex(), true, false)
		return
	}
	w.becomeFollower(now, row, m.term, m.from, m.source)
	if !row.log.matches(m.index, m.logTerm) {
		w.replyAppend(row, m, min(row.log.lastIndex(), m.index-1), true, false)
		return
	}
	if len(m.entries) > 0 {
		row.incoming = incomingRow{}
	}
	w.storeEntries(row, m.entries)
	matched := m.index + uint64(len(m.entries))
	row.commit = max(row.commit, min(m.commit, matched))
	if len(m.entries) == 0 {
		w.replyAppend(row, m, min(matched, row.durableIndex), false, false)
		return
	}
	w.replyAppend(row, m, matched, false, true)
}

// storeEntries stores the entries that the log lacks. An entry with another
// term than the stored one replaces it and removes all entries that follow.
func (w *World) storeEntries(row *replicaRow, entries []Entry) {
	for _, e := range entries {
		if row.log.matches(e.index, e.term) {
			continue
		}
		if e.index == row.log.lastIndex()+1 {
			row.log.add(e)
		} else {
			row.log.overwriteFrom(e)
			row.durableIndex = min(row.durableIndex, e.index-1)
		}
		w.queueRecord(row, NewEntryRecord(row.id, row.self, e))
	}
}

// replyAppend answers an append or snapshot message. index is the confirmed
// index or, if reject is true, the highest index that may match.
func (w *World) replyAppend(row *replicaRow, m Message, index uint64, reject, waitForSync bool) {
	w.sendAfterSync(NewMessage(MessageAppendReply, row.id, row.self, m.from, row.term,
		WithRoute(w.instance, m.source), WithPosition(index, 0),
		WithRound(m.round), WithReject(reject)), waitForSync)
}

// receiveAppendReply updates the leader's progress row of a member.
func (w *World) receiveAppendReply(now time.Time, row *replicaRow, m Message) {
	if m.term > row.term {
		w.becomeFollower(now, row, m.term, "", "")
		return
	}
	p := w.progress.Get(progressKey{row.id, m.from})
	if row.role != RoleLeader || p == nil || m.term < row.term {
		return
	}
	p.ackedAt = now
	p.ackedRound = max(p.ackedRound, m.round)
	if m.reject {
		next := max(min(p.nextIndex, m.index+1), p.matchIndex+1)
		if !p.probing || next < p.nextIndex {
			p.probeDue = now
		}
		p.nextIndex, p.probing = next, true
		return
	}
	p.probing = false
	p.matchIndex = max(p.matchIndex, m.index)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	if t := row.transfer; t != nil && t.to == m.from && p.matchIndex >= t.position.index {
		row.transfer = nil
	}
}

// renewLease extends the lease from the start of the newest round that a quorum
// confirmed.
func (w *World) renewLease(now time.Time, row *replicaRow) {
	if row.role != RoleLeader {
		return
	}
	for i := len(row.rounds) - 1; i >= 0; i-- {
		r := row.rounds[i]
		confirmed := row.hasQuorum(func(m Member) bool {
			p := w.progress.Get(progressKey{row.id, m.replica})
			return m.replica == row.self || (p != nil && p.ackedRound >= r.round)
		})
		if confirmed {
			row.leaseUntil = r.sentAt.Add(w.leaseDuration)
			row.confirmedRound = r.round
			row.lastLeaderContact = now
			row.rounds = row.rounds[i+1:]
			return
		}
	}
}

// advanceCommit advances the commit index to the highest index that is durable
// on a majority of voters, if that entry is of the leader's own term.
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
		match := row.durableIndex
		if m.replica != row.self {
			match = 0
			if p := w.progress.Get(progressKey{row.id, m.replica}); p != nil {
				match = p.matchIndex
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

// releaseCommitted queues a new snapshot and newly committed entries for the
// state machine.
func (w *World) releaseCommitted(row *replicaRow) {
	if !row.snapshotReleased {
		row.snapshotReleased = true
		if row.log.snapshot.index > row.applied {
			row.applied = row.log.snapshot.index
			w.releaseSnapshot(row)
		}
	}
	for n := 0; row.applied < row.commit && n < maxApplyPerTick; n++ {
		entry := row.log.entries[row.applied-row.log.snapshot.index]
		row.applied = entry.index
		w.committed = append(w.committed, Committed{ledger: row.id, entry: entry})
	}
}
