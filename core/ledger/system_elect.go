package ledger

import "time"

// elect starts a pre-vote after the election timeout. A leader that no quorum
// confirms steps down.
func (w *World) elect(now time.Time, row *replicaRow) {
	if row.role == RoleUninitialized {
		return
	}
	if row.role == RoleLeader {
		if now.Sub(row.leaseUntil) > stepDownTimeouts*w.maxElectionTimeout {
			w.becomeFollower(now, row, row.term, "", "")
		}
		return
	}
	if now.Before(row.electionDue) {
		return
	}
	row.electionDue = now.Add(w.electionTimeout())
	if !row.isVoter() || w.electionsDisabled {
		return
	}
	row.role = RolePreCandidate
	row.leader, row.leaderInstance = "", ""
	w.campaign(now, row, MessagePreVote, row.term+1)
}

// campaign sends a pre-vote or vote request for term to all other voters.
func (w *World) campaign(now time.Time, row *replicaRow, kind MessageKind, term uint64) {
	row.votes = map[ReplicaID]bool{row.self: true}
	members, _ := row.log.members()
	for _, m := range members {
		if !m.voter || m.replica == row.self {
			continue
		}
		message := NewMessage(kind, row.id, row.self, m.replica, term,
			WithRoute(w.instance, m.instance),
			WithPosition(row.log.lastIndex(), row.log.lastTerm()),
			WithLeadershipTransfer(row.leadershipTransfer))
		w.sendAfterSync(message, kind == MessageVote)
	}
	w.countVotes(now, row)
}

// countVotes advances a pre-candidate to candidate, or a candidate to leader,
// if a majority has granted its request.
func (w *World) countVotes(now time.Time, row *replicaRow) {
	if !row.hasQuorum(func(m Member) bool { return row.votes[m.replica] }) {
		return
	}
	switch row.role {
	case RolePreCandidate:
		w.becomeCandidate(now, row)
	case RoleCandidate:
		w.becomeLeader(now, row)
	}
}

// becomeCandidate starts a new term and requests votes in it.
func (w *World) becomeCandidate(now time.Time, row *replicaRow) {
	row.role = RoleCandidate
	row.term++
	row.vote = row.self
	w.queueVoteRecord(row)
	w.campaign(now, row, MessageVote, row.term)
}

// becomeLeader makes the replica the leader of the current term.
func (w *World) becomeLeader(now time.Time, row *replicaRow) {
	row.role = RoleLeader
	row.leader, row.leaderInstance = row.self, w.instance
	row.leadershipTransfer = false
	row.rounds, row.leaseUntil, row.roundRequested = nil, now, true
	row.transfer = nil
	w.progress.Each(func(key progressKey, _ *progressRow) {
		if key.ledger == row.id {
			w.progress.Remove(key)
		}
	})
	row.termStart = w.appendAsLeader(row, Entry{kind: EntryNoOp}).index
	w.trackMembers(now, row)
}

// becomeFollower makes the replica a follower in term. leader and instance are
// empty if the leader is unknown.
func (w *World) becomeFollower(now time.Time, row *replicaRow, term uint64, leader ReplicaID, instance string) {
	if term > row.term {
		row.term, row.vote = term, ""
		w.queueVoteRecord(row)
	}
	row.role = RoleFollower
	if !row.initialized() {
		row.role = RoleUninitialized
	}
	row.leader, row.leaderInstance = leader, instance
	row.leaseUntil, row.transfer = time.Time{}, nil
	row.electionDue = now.Add(w.electionTimeout())
	if leader != "" {
		row.lastHeardLeader, row.lastLeaderContact = now, now
	}
}

// mustRejectVotes reports whether the replica must reject vote requests because
// a leader may still hold a lease that this replica confirmed.
func (w *World) mustRejectVotes(now time.Time, row *replicaRow) bool {
	if row.role == RoleLeader {
		return now.Before(row.leaseUntil)
	}
	return now.Sub(row.lastHeardLeader) < w.minElectionTimeout
}

// isCandidateUpToDate reports whether the candidate's log contains every entry
// that this replica may have helped to commit.
func (row *replicaRow) isCandidateUpToDate(m Message) bool {
	if m.logTerm != row.log.lastTerm() {
		return m.logTerm > row.log.lastTerm()
	}
	return m.index >= row.log.lastIndex()
}

// receivePreVote answers whether this replica would vote for the candidate in
// the given term.
func (w *World) receivePreVote(now time.Time, row *replicaRow, m Message) {
	grant := m.term > row.term && row.isCandidateUpToDate(m) && !w.mustRejectVotes(now, row)
	term := row.term
	if grant {
		term = m.term
	}
	w.send(NewMessage(MessagePreVoteReply, row.id, row.self, m.from, term,
		WithRoute(w.instance, m.source), WithReject(!grant)))
}

// receivePreVoteReply counts a pre-vote. A rejection from a higher term raises
// this replica's term. Otherwise a replica with a longer log but a lower term
// could never win an election.
func (w *World) receivePreVoteReply(now time.Time, row *replicaRow, m Message) {
	if m.reject && m.term > row.term {
		w.becomeFollower(now, row, m.term, "", "")
		return
	}
	if row.role == RolePreCandidate && m.term == row.term+1 && !m.reject {
		row.votes[m.from] = true
		w.countVotes(now, row)
	}
}

// receiveVote grants or rejects a vote. The lease does not matter if a
// leadership transfer caused the request, because the leader gave up its lease
// before the transfer.
func (w *World) receiveVote(now time.Time, row *replicaRow, m Message) {
	if m.term < row.term || (!m.transfer && w.mustRejectVotes(now, row)) {
		w.send(NewMessage(MessageVoteReply, row.id, row.self, m.from, row.term,
			WithRoute(w.instance, m.source), WithReject(true)))
		return
	}
	if m.term > row.term {
		w.becomeFollower(now, row, m.term, "", "")
	}
	grant := (row.vote == "" || row.vote == m.from) && row.role != RoleLeader && row.isCandidateUpToDate(m)
	if grant && row.vote == "" {
		row.vote = m.from
		w.queueVoteRecord(row)
	}
	if grant {
		row.electionDue = now.Add(w.electionTimeout())
	}
	w.sendAfterSync(NewMessage(MessageVoteReply, row.id, row.self, m.from, row.term,
		WithRoute(w.instance, m.source), WithReject(!grant)), true)
}

// receiveVoteReply counts a vote.
func (w *World) receiveVoteReply(now time.Time, row *replicaRow, m Message) {
	if m.term > row.term {
		w.becomeFollower(now, row, m.term, "", "")
		return
	}
	if row.role == RoleCandidate && m.term == row.term && !m.reject {
		row.votes[m.from] = true
		w.countVotes(now, row)
	}
}
