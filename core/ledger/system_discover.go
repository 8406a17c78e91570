package ledger

import (
	"slices"
	"time"
)

// discover lets uninitialized replicas find each other. The initial instance
// with the smallest name bootstraps the ledger once every other initial
// instance has replied that its replica is uninitialized too. A replica that
// finds an existing ledger asks to join it instead.
func (w *World) discover(now time.Time, row *replicaRow) {
	if now.Before(row.discoveryDue) {
		return
	}
	row.discoveryDue = now.Add(discoveryInterval)
	if row.initialized() {
		w.rejoin(now, row)
		return
	}
	initialized := false
	for _, instance := range w.discoveryTargets(row) {
		w.send(NewMessage(MessageDiscover, row.id, row.self, "", 0, WithRoute(w.instance, instance)))
		initialized = initialized || row.discoveries[instance].initialized
	}
	if initialized {
		w.requestJoin(row)
		return
	}
	if !row.joinOnly && slices.Min(row.initialInstances) == w.instance && w.allUninitialized(now, row) {
		w.createLedger(now, row)
	}
}

// discoveryTargets returns the other instances that may host the ledger: the
// initial instances, the contact points and the members.
func (w *World) discoveryTargets(row *replicaRow) []string {
	var others []string
	add := func(instance string) {
		if instance != w.instance && !slices.Contains(others, instance) {
			others = append(others, instance)
		}
	}
	for _, instance := range row.initialInstances {
		add(instance)
	}
	for _, instance := range row.contactPoints {
		add(instance)
	}
	members, _ := row.log.members()
	for _, m := range members {
		add(m.instance)
	}
	return others
}

// Bootstrap initializes a ledger with a member list that was agreed on
// elsewhere. Every listed replica must be given the same list. The call has no
// effect on a replica that is not listed or is already initialized.
func (w *World) Bootstrap(now time.Time, ledger ID, members []Member) {
	row := w.replicas.Get(ledger)
	if row == nil || row.initialized() {
		return
	}
	if !slices.ContainsFunc(members, func(m Member) bool { return m.replica == row.self }) {
		return
	}
	initial := NewSnapshot(1, 1, members, nil)
	row.term = max(row.term, 1)
	w.queueVoteRecord(row)
	row.log.compact(initial, 0)
	row.commit, row.snapshotReleased = initial.index, false
	row.role = RoleFollower
	row.electionDue = now.Add(w.electionTimeout())
	w.queueRecord(row, NewSnapshotRecord(row.id, row.self, initial))
}

// rejoin asks to join the ledger if no leader has been heard for the longest
// election timeout or the newest member list does not contain this replica. A
// membership change that added this replica may have been lost with its leader,
// on this replica or on the others. A leader ignores the request if the replica
// is a member.
func (w *World) rejoin(now time.Time, row *replicaRow) {
	if row.role == RoleUninitialized {
		row.role = RoleFollower
	}
	_, isMember := row.member(row.self)
	leaderSilent := row.role != RoleLeader && now.Sub(row.lastHeardLeader) > w.maxElectionTimeout
	if !isMember || leaderSilent {
		w.requestJoin(row)
	}
}

// allUninitialized reports whether every other initial instance has replied
// within discoveryMaxAge that its replica is uninitialized.
func (w *World) allUninitialized(now time.Time, row *replicaRow) bool {
	for _, instance := range row.initialInstances {
		if instance == w.instance {
			continue
		}
		reply, ok := row.discoveries[instance]
		if !ok || reply.initialized || now.Sub(reply.receivedAt) > discoveryMaxAge {
			return false
		}
	}
	return true
}

// createLedger appends the first member list and becomes leader of term 1.
func (w *World) createLedger(now time.Time, row *replicaRow) {
	members := []Member{NewMember(row.self, w.instance, true)}
	for _, instance := range row.initialInstances {
		if instance != w.instance {
			members = append(members, NewMember(row.discoveries[instance].replica, instance, true))
		}
	}
	row.term, row.vote = 1, row.self
	w.queueVoteRecord(row)
	w.appendAsLeader(row, Entry{kind: EntryMembers, members: members})
	w.becomeLeader(now, row)
}

// requestJoin asks every known instance to add this replica; only the leader
// acts on the request.
func (w *World) requestJoin(row *replicaRow) {
	for _, instance := range w.discoveryTargets(row) {
		w.send(NewMessage(MessageJoin, row.id, row.self, "", 0, WithRoute(w.instance, instance)))
	}
}

// receiveDiscover replies whether this replica belongs to an initialized
// ledger; a reply with reject set means that it does.
func (w *World) receiveDiscover(row *replicaRow, m Message) {
	w.send(NewMessage(MessageDiscoverReply, row.id, row.self, m.from, 0,
		WithRoute(w.instance, m.source), WithReject(row.initialized())))
}

// receiveDiscoverReply stores the reply of an instance.
func (w *World) receiveDiscoverReply(now time.Time, row *replicaRow, m Message) {
	row.discoveries[m.source] = discoveryRow{replica: m.from, initialized: m.reject, receivedAt: now}
}

// receiveJoin adds a replica as a learner. It ignores the request while another
// membership change is in progress; the replica repeats it.
func (w *World) receiveJoin(now time.Time, row *replicaRow, m Message) {
	members, index := row.log.members()
	if row.role != RoleLeader || index > row.commit || row.commit < row.termStart || w.retiring(m.source) {
		return
	}
	if _, ok := row.member(m.from); ok {
		return
	}
	if w.targetVoters > 0 && w.hasEnoughReplicas(now, row, members, m.source) {
		return
	}
	var next []Member
	for _, member := range members {
		if member.voter || member.instance != m.source {
			next = append(next, member)
		}
	}
	w.setMembers(now, row, append(next, NewMember(m.from, m.source, false)))
}

// hasEnoughReplicas reports whether there are enough replicas without counting
// those of the requesting instance. Its new replica replaces its former one.
func (w *World) hasEnoughReplicas(now time.Time, row *replicaRow, members []Member, instance string) bool {
	available := 0
	for _, m := range members {
		if m.instance != instance && !w.retiring(m.instance) && w.hasRecentReply(now, row, m) {
			available++
		}
	}
	return available >= w.targetVoters+spareLearners
}

// setMembers appends a new member list and updates the progress rows.
func (w *World) setMembers(now time.Time, row *replicaRow, members []Member) {
	w.appendAsLeader(row, Entry{kind: EntryMembers, members: members})
	w.trackMembers(now, row)
}

// trackMembers adds missing progress rows for the other members and removes
// those of former members.
func (w *World) trackMembers(now time.Time, row *replicaRow) {
	members, _ := row.log.members()
	for _, m := range members {
		key := progressKey{row.id, m.replica}
		if m.replica != row.self && w.progress.Get(key) == nil {
			w.progress.Put(key, progressRow{instance: m.instance, nextIndex: row.log.lastIndex(), ackedAt: now})
		}
	}
	w.progress.Each(func(key progressKey, _ *progressRow) {
		if _, ok := row.member(key.replica); key.ledger == row.id && !ok {
			w.progress.Remove(key)
		}
	})
}
