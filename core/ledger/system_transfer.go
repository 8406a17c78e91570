package ledger

import "time"

// transferToPreferred hands the lead to the preferred instance once that is up to date.
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

// transferLeadershipTo lets an up-to-date voter of the named instance start an election.
// Any instance will do when the name is empty. The lease ends here first, so
// that two leaders never hold one at the same time.
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

// receiveTransfer starts an election at the leader's request.
func (w *World) receiveTransfer(now time.Time, row *replicaRow, m Message) {
	if m.term != row.term || !row.isVoter() || w.electionsDisabled {
		return
	}
	row.leadershipTransfer = true
	w.becomeCandidate(now, row)
	row.leadershipTransfer = false
}

// TransferLeadership gives the lead of every ledger led here to another instance, as far
// as one is up to date, and reports how many are still led here; a ledger with
// one voter cannot be handed over and does not count. This instance
// does not stand for election any more.
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
