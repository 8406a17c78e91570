package ledger

import "time"

// balance keeps the target number of voters and makes one membership change at
// a time. It promotes a learner to replace a voter that is unresponsive, that
// is retiring or that shares a data centre with another voter. It removes the
// old voter only after the promotion, so that the number of disks that hold a
// committed entry never decreases. A retiring leader first transfers its
// leadership.
func (w *World) balance(now time.Time, row *replicaRow, members []Member) {
	if w.retiring(w.instance) && w.transferLeadershipTo(now, row, "") {
		return
	}
	voters, responsive := 0, 0
	for _, m := range members {
		if m.voter {
			voters++
			if w.isResponsive(now, row, m) {
				responsive++
			}
		}
	}
	if voters > w.targetVoters {
		w.reduceVoters(now, row, members, voters, responsive)
		return
	}
	if i := w.learnerToPromote(now, row, members, responsive); i >= 0 {
		w.setMembers(now, row, withVoter(members, i, true))
		return
	}
	w.removeLearner(now, row, members)
}

// isResponsive reports whether a replica has replied recently and its instance
// is not retiring.
func (w *World) isResponsive(now time.Time, row *replicaRow, m Member) bool {
	return !w.retiring(m.instance) && w.hasRecentReply(now, row, m)
}

// hasRecentReply reports whether a replica has replied within voterTimeout.
func (w *World) hasRecentReply(now time.Time, row *replicaRow, m Member) bool {
	if m.replica == row.self {
		return true
	}
	p := w.progress.Get(progressKey{row.id, m.replica})
	return p != nil && now.Sub(p.ackedAt) < voterTimeout
}

// votersInDataCentre returns the number of responsive voters in the data centre
// of an instance.
func (w *World) votersInDataCentre(now time.Time, row *replicaRow, members []Member, instance string) int {
	count := 0
	for _, m := range members {
		if m.voter && w.isResponsive(now, row, m) && w.dataCentreOf(m.instance) == w.dataCentreOf(instance) {
			count++
		}
	}
	return count
}

// learnerToPromote returns the position of the learner to promote in members,
// or -1. A learner is promoted if there are too few responsive voters, or if two
// voters share a data centre and the learner's data centre has none. Learners in
// the data centre with the fewest voters come first.
func (w *World) learnerToPromote(now time.Time, row *replicaRow, members []Member, responsive int) int {
	sharedDataCentre := false
	for _, m := range members {
		sharedDataCentre = sharedDataCentre || (m.voter && w.isResponsive(now, row, m) && w.votersInDataCentre(now, row, members, m.instance) > 1)
	}
	best, fewest := -1, 0
	for i, m := range members {
		if !w.isCaughtUp(now, row, m) || w.retiring(m.instance) {
			continue
		}
		if n := w.votersInDataCentre(now, row, members, m.instance); best < 0 || n < fewest {
			best, fewest = i, n
		}
	}
	if best >= 0 && (responsive < w.targetVoters || (sharedDataCentre && fewest == 0)) {
		return best
	}
	return -1
}

// reduceVoters removes one voter if there are more than the target number. It
// removes an unresponsive voter first. If all voters are responsive, it turns
// one from the data centre with the most voters into a learner. It never picks
// this leader.
func (w *World) reduceVoters(now time.Time, row *replicaRow, members []Member, voters, responsive int) {
	pick, most := -1, 0
	for i, m := range members {
		if !m.voter || m.replica == row.self {
			continue
		}
		if !w.isResponsive(now, row, m) {
			w.setMembers(now, row, without(members, i))
			return
		}
		if n := w.votersInDataCentre(now, row, members, m.instance); n > most {
			pick, most = i, n
		}
	}
	if pick >= 0 && responsive == voters {
		w.setMembers(now, row, withVoter(members, pick, false))
	}
}

// removeLearner removes a learner that is retiring or has not replied within
// learnerTimeout.
func (w *World) removeLearner(now time.Time, row *replicaRow, members []Member) {
	for i, m := range members {
		p := w.progress.Get(progressKey{row.id, m.replica})
		if m.voter || p == nil {
			continue
		}
		if w.retiring(m.instance) || now.Sub(p.ackedAt) > learnerTimeout {
			w.setMembers(now, row, without(members, i))
			return
		}
	}
}
