package ledger

import "time"

// transferToPreferred transfers leadership to the preferred instance once its
// replica is up to date.
func (w *World) transferToPreferred(now time.Time, row *replicaRow) {
	if row.role != RoleLeader || row.preferredLeader == "" || row.preferredLeader == w.instance || row.commit < row.termStart {
		return
	}
	if now.Before(row.transferDue) {
		return
	}
	row.transferDue = now.Add(transferRetryInterval)
	w.transferLeadershipTo(now, row, row.preferredLeader)
}

// transferLeadershipTo asks an up-to-date voter on the named instance, or on
// any instance if the name is empty, to start an election. It reports whether
// there was such a voter. The leader gives up its lease first, so that two
// leaders never hold a lease at the same time.
func (w *World) transferLeadershipTo(now time.Time, row *replicaRow, instance string) bool {
	members, index := row.log.members()
	if index > row.commit {
		return false
	}
	for _, m := range members {
		p := w.progress.Get(progressKey{row.id, m.replica})
		if p == nil || !m.voter || (instance != "" && m.instance != instance) {
			continue
		}
		if p.matchIndex != row.log.lastIndex() || now.Sub(p.ackedAt) > 2*w.heartbeatInterval {
			continue
		}
		term := row.term
		w.becomeFollower(now, row, term, "", "")
		w.send(NewMessage(MessageTimeoutNow, row.id, row.self, m.replica, term, WithRoute(w.instance, m.instance)))
		return true
	}
	return false
}

// receiveTimeoutNow starts an election at the leader's request.
func (w *World) receiveTimeoutNow(now time.Time, row *replicaRow, m Message) {
	if m.term != row.term || !row.isVoter() || w.electionsDisabled {
		return
	}
	row.leadershipTransfer = true
	w.becomeCandidate(now, row)
	row.leadershipTransfer = false
}

// TransferLeadership transfers leadership of every ledger that this instance
// leads, if another voter is up to date, and returns the number of ledgers that
// it still leads. A ledger with one voter cannot be transferred and is not
// counted. Afterwards this instance starts no elections.
func (w *World) TransferLeadership(now time.Time) int {
	w.electionsDisabled = true
	remaining := 0
	w.replicas.Each(func(_ ID, row *replicaRow) {
		row.preferredLeader = ""
		if row.role == RoleLeader && row.voterCount() > 1 && !w.transferLeadershipTo(now, row, "") {
			remaining++
		}
	})
	return remaining
}
