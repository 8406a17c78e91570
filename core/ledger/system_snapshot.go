package ledger

import "time"

// transferRow is a snapshot that a leader sends to a member part by part. A leader sends
// one snapshot at a time, so that the parts of several do not delay its heartbeats.
type transferRow struct {
	partsRow
	to      ReplicaID
	sendDue time.Time // the next part is sent then, again if there was no reply
	ackedAt time.Time // time of the last reply
}

// incomingRow identifies the snapshot that a replica receives.
type incomingRow struct {
	from  ReplicaID
	term  uint64 // of the leader
	index uint64
	next  int // position of the part to receive next
}

// sendSnapshot sends a member the state that it lacks, and heartbeats in between.
func (w *World) sendSnapshot(now time.Time, row *replicaRow, m Member, p *progressRow, heartbeat bool) {
	if w.export == nil {
		w.sendWholeSnapshot(now, row, m, p)
	} else if t := w.transferTo(now, row, m); t != nil && !now.Before(t.sendDue) {
		w.sendPart(now, row, m, t)
	}
	if heartbeat {
		w.sendAppend(row, m, row.log.snapshot.index, nil)
	}
}

// sendWholeSnapshot sends the snapshot in one message and repeats it after
// snapshotRetryInterval.
func (w *World) sendWholeSnapshot(now time.Time, row *replicaRow, m Member, p *progressRow) {
	if now.Before(p.snapshotDue) {
		return
	}
	p.snapshotDue = now.Add(snapshotRetryInterval)
	w.sendSnapshotMessage(MessageSnapshot, row, m.replica, m.instance, row.log.snapshot, row.round)
}

// transferTo returns the transfer of the present state to a member, or nil while a snapshot
// is sent to another one.
func (w *World) transferTo(now time.Time, row *replicaRow, m Member) *transferRow {
	if row.transfer == nil && w.hasRecentReply(now, row, m) {
		row.transfer = &transferRow{partsRow: *w.newPartsRow(row), to: m.replica, ackedAt: now}
	}
	if row.transfer == nil || row.transfer.to != m.replica {
		return nil
	}
	return row.transfer
}

// endTransfer ends a transfer whose member has not replied for snapshotRetryInterval, and
// one whose snapshot no longer reaches up to the log.
func (w *World) endTransfer(now time.Time, row *replicaRow) {
	t := row.transfer
	if t != nil && (now.Sub(t.ackedAt) > snapshotRetryInterval || t.position.index < row.log.snapshot.index) {
		row.transfer = nil
	}
}

// sendPart sends the next part of a transfer. A transfer whose part cannot be encoded ends.
func (w *World) sendPart(now time.Time, row *replicaRow, m Member, t *transferRow) {
	part, err := t.encodeNext()
	if err != nil {
		row.transfer = nil
		return
	}
	t.sendDue = now.Add(probeRetryInterval)
	w.sendSnapshotMessage(MessageSnapshot, row, m.replica, m.instance, part, row.round)
}

// sendSnapshotMessage sends a snapshot, a part of one, or the reply to a part.
func (w *World) sendSnapshotMessage(kind MessageKind, row *replicaRow, to ReplicaID, instance string, s Snapshot, round uint64) {
	w.sendAfterSync(NewMessage(kind, row.id, row.self, to, row.term,
		WithRoute(w.instance, instance), WithRound(round), WithSnapshot(s)), kind == MessageSnapshotReply)
}

// receiveSnapshotReply makes the leader send the part that a member asks for.
func (w *World) receiveSnapshotReply(now time.Time, row *replicaRow, m Message) {
	if m.term > row.term {
		w.becomeFollower(now, row, m.term, "", "")
		return
	}
	p, t := w.progress.Get(progressKey{row.id, m.from}), row.transfer
	if row.role != RoleLeader || p == nil || m.term < row.term {
		return
	}
	p.ackedAt, p.ackedRound = now, max(p.ackedRound, m.round)
	if t == nil || t.to != m.from || m.snapshot.index != t.position.index || m.snapshot.part >= t.parts.count {
		return
	}
	t.next, t.sendDue, t.ackedAt = m.snapshot.part, now, now
}

// receiveSnapshot installs the leader's snapshot, or stores a part of it, if it covers
// entries that are not committed here yet.
func (w *World) receiveSnapshot(now time.Time, row *replicaRow, m Message) {
	if m.term < row.term {
		w.replyAppend(row, m, row.log.lastIndex(), true, false)
		return
	}
	w.becomeFollower(now, row, m.term, m.from, m.source)
	if m.snapshot.index > row.commit {
		if !w.storePart(row, m) {
			return
		}
		w.installSnapshot(row, m.snapshot)
	}
	w.replyAppend(row, m, m.snapshot.index, false, true)
}

// storePart stores one part of a snapshot, passes it to the state machine and asks for the
// next one. It reports whether the snapshot is complete; a whole snapshot always is.
func (w *World) storePart(row *replicaRow, m Message) bool {
	s := m.snapshot
	if s.parts <= 1 {
		return true
	}
	sender := incomingRow{from: m.from, term: m.term, index: s.index, next: s.part}
	if s.part == 0 {
		row.incoming, row.compaction = sender, nil
	}
	if row.incoming != sender {
		sender.next = 0
		if row.incoming.from == m.from && row.incoming.term == m.term && row.incoming.index == s.index {
			sender.next = row.incoming.next
		}
		w.requestPart(row, m, sender.next)
		return false
	}
	row.incoming.next++
	w.committed = append(w.committed, Committed{ledger: row.id, snapshot: s})
	if s.IsLast() {
		return true
	}
	w.queueRecord(row, NewSnapshotRecord(row.id, row.self, s))
	w.requestPart(row, m, row.incoming.next)
	return false
}

// requestPart asks the sender of a part for the part at another position.
func (w *World) requestPart(row *replicaRow, m Message, part int) {
	s := m.snapshot.withoutData()
	s.part, s.parts, s.members = part, m.snapshot.parts, nil
	w.sendSnapshotMessage(MessageSnapshotReply, row, m.from, m.source, s, m.round)
}

// installSnapshot replaces the log by a snapshot that is whole, or whose other parts are
// stored.
func (w *World) installSnapshot(row *replicaRow, s Snapshot) {
	if row.log.termAt(s.index) != s.term {
		// compact removes all entries. Until the snapshot is durable, only
		// the entries committed so far may be confirmed.
		row.durableIndex = min(row.durableIndex, row.commit)
	}
	row.incoming, row.compaction = incomingRow{}, nil
	row.commit = s.index
	if s.parts > 1 {
		row.log.compact(s.withoutData(), len(s.data)*s.parts)
		row.applied, row.snapshotReleased = s.index, true
	} else {
		row.log.compact(s, len(s.data))
		row.snapshotReleased = false
	}
	w.queueRecord(row, NewSnapshotRecord(row.id, row.self, s))
}

// releaseSnapshot passes the log's snapshot to the state machine, part by part if it was
// loaded in parts.
func (w *World) releaseSnapshot(row *replicaRow) {
	s := row.log.snapshot
	for i, data := range row.loadedParts {
		part := NewSnapshotPart(s.index, s.term, s.members, i, len(row.loadedParts), data)
		w.committed = append(w.committed, Committed{ledger: row.id, snapshot: part})
	}
	if len(row.loadedParts) == 0 {
		w.committed = append(w.committed, Committed{ledger: row.id, snapshot: s})
	}
	row.loadedParts = nil
	if w.export != nil {
		row.log.snapshot = s.withoutData()
	}
}
