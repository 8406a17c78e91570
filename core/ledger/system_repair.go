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
	for i, m := range members {
		if w.caughtUp(now, row, m) {
			next := append([]Member(nil), members...)
			next[i].voter = true
			w.setMembers(now, row, next)
			return
		}
	}
	for i, m := range members {
		if w.replaced(now, row, members, m) {
			next := append([]Member(nil), members[:i]...)
			w.setMembers(now, row, append(next, members[i+1:]...))
			return
		}
	}
}

// caughtUp reports whether a learner can become a voter.
func (w *World) caughtUp(now time.Time, row *replicaRow, m Member) bool {
	p := w.progress.Get(progressKey{row.id, m.replica})
	return !m.voter && p != nil && p.match > 0 &&
		p.match+learnerLag >= row.log.lastIndex() && now.Sub(p.ackedAt) < w.electionMin
}

// replaced reports whether a silent voter has a successor on its instance.
func (w *World) replaced(now time.Time, row *replicaRow, members []Member, m Member) bool {
	p := w.progress.Get(progressKey{row.id, m.replica})
	if !m.voter || p == nil || now.Sub(p.ackedAt) < w.electionMin {
		return false
	}
	for _, other := range members {
		if other.voter && other.instance == m.instance && other.replica != m.replica {
			return true
		}
	}
	return false
}
