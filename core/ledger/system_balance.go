package ledger

import "time"

// balance keeps the target number of voters, one membership change at a time:
// a learner takes the place of a voter that is lost, retiring or in the same
// data centre as another one; the voter is removed only afterwards, so that no
// committed entry is ever on fewer disks than before.
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

// isResponsive reports whether a voter answers and is to stay.
func (w *World) isResponsive(now time.Time, row *replicaRow, m Member) bool {
	return !w.retiring(m.instance) && w.hasRecentReply(now, row, m)
}

// hasRecentReply reports whether a replica answered lately.
func (w *World) hasRecentReply(now time.Time, row *replicaRow, m Member) bool {
	if m.replica == row.self {
		return true
	}
	p := w.progress.Get(progressKey{row.id, m.replica})
	return p != nil && now.Sub(p.ackedAt) < voterTimeout
}

// votersInDataCentre returns how many sound voters share the data centre of an instance.
func (w *World) votersInDataCentre(now time.Time, row *replicaRow, members []Member, instance string) int {
	count := 0
	for _, m := range members {
		if m.voter && w.isResponsive(now, row, m) && w.dataCentreOf(m.instance) == w.dataCentreOf(instance) {
			count++
		}
	}
	return count
}

// learnerToPromote returns the learner to promote, or -1. Learners in data centres
// with few voters go first.
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

// reduceVoters removes one voter above the target: an unsound one, else one from the
// most crowded data centre, which stays as learner.
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

// removeLearner drops a learner that is retiring or silent for long.
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
