package ledger

import "time"

// Status describes one hosted replica.
type Status struct {
	ledger       ID
	replica      ReplicaID
	role         Role
	term         uint64
	leader       string
	commitIndex  uint64
	lastIndex    uint64
	members      []Member
	membersIndex uint64
}

// Ledger returns the ledger's id.
func (s Status) Ledger() ID { return s.ledger }

// Replica returns the id of the hosted replica.
func (s Status) Replica() ReplicaID { return s.replica }

// Role returns the replica's role.
func (s Status) Role() Role { return s.role }

// Term returns the current term.
func (s Status) Term() uint64 { return s.term }

// Leader returns the leader's instance; it is empty if the leader is unknown.
func (s Status) Leader() string { return s.leader }

// CommitIndex returns the commit index.
func (s Status) CommitIndex() uint64 { return s.commitIndex }

// LastIndex returns the index of the log's last entry.
func (s Status) LastIndex() uint64 { return s.lastIndex }

// Members returns the newest member list.
func (s Status) Members() []Member { return s.members }

// MembersIndex returns the index of the entry that set the newest member list.
func (s Status) MembersIndex() uint64 { return s.membersIndex }

// Statuses returns the status of all hosted replicas.
func (w *World) Statuses() []Status {
	var statuses []Status
	w.replicas.Each(func(id ID, row *replicaRow) {
		members, index := row.log.members()
		statuses = append(statuses, Status{
			ledger: id, replica: row.self, role: row.role, term: row.term,
			leader: row.leaderInstance, commitIndex: row.commit, lastIndex: row.log.lastIndex(), members: members, membersIndex: index,
		})
	})
	return statuses
}

// Leads reports whether this instance leads the ledger and may answer reads:
// its lease is valid and it has applied an entry of its own term.
func (w *World) Leads(now time.Time, ledger ID) bool {
	row := w.replicas.Get(ledger)
	return row != nil && row.role == RoleLeader && now.Before(row.leaseUntil) &&
		row.applied >= row.termStart
}

// FullyReplicated reports whether this instance leads the ledger, its newest
// member list is committed and contains at least the target number of voters,
// and all voters are responsive.
func (w *World) FullyReplicated(now time.Time, ledger ID) bool {
	row := w.replicas.Get(ledger)
	if row == nil || row.role != RoleLeader {
		return false
	}
	members, index := row.log.members()
	voters := 0
	for _, m := range members {
		if m.voter && !w.isResponsive(now, row, m) {
			return false
		}
		if m.voter {
			voters++
		}
	}
	return index <= row.commit && voters >= w.targetVoters
}

// ResponsiveInstances returns the instances whose replicas have replied recently
// and that are not retiring. The result may include this instance. It is nil if
// this instance does not lead the ledger.
func (w *World) ResponsiveInstances(now time.Time, ledger ID) []string {
	row := w.replicas.Get(ledger)
	if row == nil || row.role != RoleLeader {
		return nil
	}
	var instances []string
	members, _ := row.log.members()
	for _, m := range members {
		if w.isResponsive(now, row, m) {
			instances = append(instances, m.instance)
		}
	}
	return instances
}

// TargetVoters returns the number of voters that each ledger should have.
func (w *World) TargetVoters() int { return w.targetVoters }

// Hosts reports whether this instance hosts a replica of the ledger.
func (w *World) Hosts(ledger ID) bool { return w.replicas.Get(ledger) != nil }

// LeadingTerm returns the term in which this replica is the leader, even if its
// lease has expired. It returns 0 if the replica is not the leader.
func (w *World) LeadingTerm(ledger ID) uint64 {
	row := w.replicas.Get(ledger)
	if row == nil || row.role != RoleLeader {
		return 0
	}
	return row.term
}

// LeaderOf returns the instance that leads the ledger as far as this replica
// knows; it is empty if the leader is unknown.
func (w *World) LeaderOf(ledger ID) string {
	row := w.replicas.Get(ledger)
	if row == nil {
		return ""
	}
	return row.leaderInstance
}

// LastLeaderContact returns when this replica last received a message from a
// leader or, on the leader, when a quorum last confirmed it. It returns the
// zero time if neither has happened since the start.
func (w *World) LastLeaderContact(ledger ID) time.Time {
	row := w.replicas.Get(ledger)
	if row == nil {
		return time.Time{}
	}
	return row.lastLeaderContact
}

// CaughtUp reports whether this replica knows a leader and has applied every
// entry that it knows to be committed.
func (w *World) CaughtUp(ledger ID) bool {
	row := w.replicas.Get(ledger)
	return row != nil && row.leader != "" && row.commit > 0 && row.applied == row.commit
}

// UncompactedEntries returns the number of applied entries that the last
// snapshot does not cover.
func (w *World) UncompactedEntries(ledger ID) uint64 {
	row := w.replicas.Get(ledger)
	if row == nil || row.applied <= row.log.snapshot.index {
		return 0
	}
	return row.applied - row.log.snapshot.index
}

// ShouldCompact reports whether the applied entries should be replaced by a snapshot:
// if there are at least maxEntries of them, or if the log takes minCompactBytes and half
// as much as the last snapshot. So disk and memory hold no more than a multiple of the
// state, whatever the size of an entry. While a snapshot is sent to a member, the log may
// grow to twice that size, so that the member can go on from the snapshot.
func (w *World) ShouldCompact(ledger ID, maxEntries uint64) bool {
	row, entries := w.replicas.Get(ledger), w.UncompactedEntries(ledger)
	if entries == 0 {
		return false
	}
	maxBytes := max(minCompactBytes, row.log.snapshotBytes/2)
	if row.transfer != nil {
		return entries >= 2*maxEntries || row.log.bytes >= 2*maxBytes
	}
	return entries >= maxEntries || row.log.bytes >= maxBytes
}

// LogBytes returns the size in bytes of the entries that the log holds in memory.
func (w *World) LogBytes(ledger ID) int {
	row := w.replicas.Get(ledger)
	if row == nil {
		return 0
	}
	return row.log.bytes
}

// SnapshotBytes returns the size in bytes of the last snapshot.
func (w *World) SnapshotBytes(ledger ID) int {
	row := w.replicas.Get(ledger)
	if row == nil {
		return 0
	}
	return row.log.snapshotBytes
}

// Applied returns the index of the last entry that Output returned or will
// return next.
func (w *World) Applied(ledger ID) uint64 {
	row := w.replicas.Get(ledger)
	if row == nil {
		return 0
	}
	return row.applied
}

// Compact replaces the entries up to index by a snapshot. data is the encoded
// state machine after it applied the entry at index.
func (w *World) Compact(ledger ID, index uint64, data []byte) {
	row := w.replicas.Get(ledger)
	if row == nil || index > row.applied || index <= row.log.snapshot.index {
		return
	}
	members, _ := row.log.membersAt(index)
	snapshot := NewSnapshot(index, row.log.termAt(index), members, data)
	row.log.compact(snapshot, len(data))
	w.queueRecord(row, NewSnapshotRecord(row.id, row.self, snapshot))
}
