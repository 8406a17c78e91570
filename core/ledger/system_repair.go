package ledger

import "time"

// repair completes membership changes one step at a time: a learner that
// caught up becomes a voter, and a voter whose instance now holds a newer
// voting replica is removed.
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

// withVoter returns the list with one member's vote changed.
func withVoter(members []Member, i int, voter bool) []Member {
	next := append([]Member(nil), members...)
	next[i].voter = voter
	return next
}

// without returns the list without one member.
func without(members []Member, i int) []Member {
	next := append([]Member(nil), members[:i]...)
	return append(next, members[i+1:]...)
}

// isCaughtUp reports whether a learner can become a voter.
func (w *World) isCaughtUp(now time.Time, row *replicaRow, m Member) bool {
	p := w.progress.Get(progressKey{row.id, m.replica})
	return !m.voter && p != nil && p.matchIndex > 0 &&
		p.matchIndex+maxLearnerLag >= row.log.lastIndex() && now.Sub(p.ackedAt) < w.electionTimeoutMin
}

// isReplaced reports whether a silent voter has a successor on its instance.
func (w *World) isReplaced(now time.Time, row *replicaRow, members []Member, m Member) bool {
	p := w.progress.Get(progressKey{row.id, m.replica})
	if !m.voter || p == nil || now.Sub(p.ackedAt) < w.electionTimeoutMin {
		return false
	}
	for _, other := range members {
		if other.voter && other.instance == m.instance && other.replica != m.replica {
			return true
		}
	}
	return false
}
