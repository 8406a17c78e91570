package ledger

import (
	"slices"
	"time"
)

// form lets fresh replicas find each other. A ledger is formed by the first
// configured instance, and only while every configured instance answers that
// it is fresh too; a replica that meets a formed ledger joins it instead.
func (w *World) form(now time.Time, row *replicaRow) {
	if now.Before(row.helloDue) {
		return
	}
	row.helloDue = now.Add(helloInterval)
	if row.formed() {
		w.rejoin(now, row)
		return
	}
	joined := false
	for _, instance := range w.acquaintances(row) {
		w.send(NewMessage(MessageDiscover, row.id, row.self, "", 0, WithRoute(w.instance, instance)))
		joined = joined || row.hellos[instance].formed
	}
	if joined {
		w.join(row)
		return
	}
	if !row.joins && slices.Min(row.configured) == w.instance && w.allFresh(now, row) {
		w.found(now, row)
	}
}

// acquaintances returns the other instances that may hold the ledger: the
// configured ones, the contacts and the members.
func (w *World) acquaintances(row *replicaRow) []string {
	var others []string
	add := func(instance string) {
		if instance != w.instance && !slices.Contains(others, instance) {
			others = append(others, instance)
		}
	}
	for _, instance := range row.configured {
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

// Bootstrap founds a ledger whose first members were agreed on elsewhere. Each of
// them calls it with the same list; it does nothing on any other replica.
func (w *World) Bootstrap(now time.Time, ledger ID, members []Member) {
	row := w.replicas.Get(ledger)
	if row == nil || row.formed() {
		return
	}
	if !slices.ContainsFunc(members, func(m Member) bool { return m.replica == row.self }) {
		return
	}
	base := NewSnapshot(1, 1, members, nil)
	row.term = max(row.term, 1)
	w.saveVote(row)
	row.log.compact(base)
	row.commit, row.restored = base.index, false
	row.role = RoleFollower
	row.electionDue = now.Add(w.electionTimeout())
	w.save(row, NewSnapshotRecord(row.id, row.self, base))
}

// rejoin asks to be taken in while no leader is heard or the newest member list
// lacks this replica: a change that added it may have been lost with its
// leader, here or there. A leader ignores members that ask.
func (w *World) rejoin(now time.Time, row *replicaRow) {
	if row.role == RoleUninitialized {
		row.role = RoleFollower
	}
	_, listed := row.member(row.self)
	silent := row.role != RoleLeader && now.Sub(row.heardLeader) > w.electionMax
	if !listed || silent {
		w.join(row)
	}
}

// allFresh reports whether every other configured instance said lately that it
// is fresh.
func (w *World) allFresh(now time.Time, row *replicaRow) bool {
	for _, instance := range row.configured {
		if instance == w.instance {
			continue
		}
		hello, ok := row.hellos[instance]
		if !ok || hello.formed || now.Sub(hello.at) > helloFresh {
			return false
		}
	}
	return true
}

// found writes the first member list and leads the first term.
func (w *World) found(now time.Time, row *replicaRow) {
	members := []Member{NewMember(row.self, w.instance, true)}
	for _, instance := range row.configured {
		if instance != w.instance {
			members = append(members, NewMember(row.hellos[instance].replica, instance, true))
		}
	}
	row.term, row.vote = 1, row.self
	w.saveVote(row)
	w.appendOwn(row, Entry{kind: EntryMembers, members: members})
	w.lead(now, row)
}

// join asks every known instance to take this replica in; the leader acts.
func (w *World) join(row *replicaRow) {
	for _, instance := range w.acquaintances(row) {
		w.send(NewMessage(MessageJoin, row.id, row.self, "", 0, WithRoute(w.instance, instance)))
	}
}

// receiveHello tells a fresh replica whether this one belongs to a formed ledger.
func (w *World) receiveHello(row *replicaRow, m Message) {
	w.send(NewMessage(MessageDiscoverReply, row.id, row.self, m.from, 0,
		WithRoute(w.instance, m.source), WithReject(row.formed())))
}

// receiveHelloReply notes the answer of a configured instance.
func (w *World) receiveHelloReply(now time.Time, row *replicaRow, m Message) {
	row.hellos[m.source] = helloRow{replica: m.from, formed: m.reject, at: now}
}

// receiveJoin adds a replica as learner. One membership change is in progress
// at a time; the joining replica asks again.
func (w *World) receiveJoin(now time.Time, row *replicaRow, m Message) {
	members, index := row.log.members()
	if row.role != RoleLeader || index > row.commit || row.commit < row.termStart || w.retiring(m.source) {
		return
	}
	if _, ok := row.member(m.from); ok {
		return
	}
	if w.targetVoters > 0 && w.crowded(now, row, members, m.source) {
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

// crowded reports whether there are enough replicas without one of the
// instance that asks. Its own former replica makes place for the new one.
func (w *World) crowded(now time.Time, row *replicaRow, members []Member, instance string) bool {
	useful := 0
	for _, m := range members {
		if m.instance != instance && !w.retiring(m.instance) && w.heard(now, row, m) {
			useful++
		}
	}
	return useful >= w.targetVoters+standbys
}

// setMembers appends a new member list and adjusts the progress rows.
func (w *World) setMembers(now time.Time, row *replicaRow, members []Member) {
	w.appendOwn(row, Entry{kind: EntryMembers, members: members})
	w.trackMembers(now, row)
}

// trackMembers gives each other member a progress row and removes former ones.
func (w *World) trackMembers(now time.Time, row *replicaRow) {
	members, _ := row.log.members()
	for _, m := range members {
		key := progressKey{row.id, m.replica}
		if m.replica != row.self && w.progress.Get(key) == nil {
			w.progress.Put(key, progressRow{instance: m.instance, next: row.log.lastIndex(), ackedAt: now})
		}
	}
	w.progress.Each(func(key progressKey, _ *progressRow) {
		if _, ok := row.member(key.replica); key.ledger == row.id && !ok {
			w.progress.Remove(key)
		}
	})
}
