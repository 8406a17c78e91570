package ledger

import "time"

// repair makes membership changes one at a time. With a target number of voters
// it calls balance. Otherwise it promotes a learner that has caught up, and
// removes an unresponsive voter if another voter runs on the same instance.
func (w *World) repair(now time.Time, row *replicaRow) {
	members, index := row.log.members()
	if row.role != RoleLeader || index > row.commit || row.commit < row.termStart {
		return
	}
	if w.targetVoters > 0 {
		w.balance(now, row, members)
		return
	}
	for i, m := range members {
		if w.isCaughtUp(now, row, m) {
			w.setMembers(now, row, withVoter(members, i, true))
			return
		}
	}
	for i, m := range members {
		if w.isReplaced(now, row, members, m) {
			w.setMembers(now, row, without(members, i))
			return
		}
	}
}

// withVoter returns a copy of the list in which member i is a voter or a
// learner.
func withVoter(members []Member, i int, voter bool) []Member {
	next := append([]Member(nil), members...)
	next[i].voter = voter
	return next
}

// without returns a copy of the list without member i.
func without(members []Member, i int) []Member {
	next := append([]Member(nil), members[:i]...)
	return append(next, members[i+1:]...)
}

// isCaughtUp reports whether a member is a learner that can be promoted to
// voter.
func (w *World) isCaughtUp(now time.Time, row *replicaRow, m Member) bool {
	p := w.progress.Get(progressKey{row.id, m.replica})
	return !m.voter && p != nil && p.matchIndex > 0 &&
		p.matchIndex+maxLearnerLag >= row.log.lastIndex() && now.Sub(p.ackedAt) < w.minElectionTimeout
}

// isReplaced reports whether an unresponsive voter has been replaced by another
// voter on its instance.
func (w *World) isReplaced(now time.Time, row *replicaRow, members []Member, m Member) bool {
	p := w.progress.Get(progressKey{row.id, m.replica})
	if !m.voter || p == nil || now.Sub(p.ackedAt) < w.minElectionTimeout {
		return false
	}
	for _, other := range members {
		if other.voter && other.instance == m.instance && other.replica != m.replica {
			return true
		}
	}
	return false
}
