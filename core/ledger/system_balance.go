package ledger

import "time"

// balance keeps the target number of voters, one membership change at a time:
// a learner takes the place of a voter that is lost, retiring or in the same
// data centre as another one; the voter is removed only afterwards, so that no
// committed entry is ever on fewer disks than before.
func (w *World) balance(now time.Time, row *replicaRow, members []Member) {
	if w.retiring(w.instance) && w.handOver(now, row, "") {
		return
	}
	voters, sound := 0, 0
	for _, m := range members {
		if m.voter {
			voters++
			if w.sound(now, row, m) {
				sound++
			}
		}
	}
	if voters > w.targetVoters {
		w.reduce(now, row, members, voters, sound)
		return
	}
	if i := w.candidate(now, row, members, sound); i >= 0 {
		w.setMembers(now, row, withVoter(members, i, true))
		return
	}
	w.forget(now, row, members)
}

// sound reports whether a voter answers and is to stay.
func (w *World) sound(now time.Time, row *replicaRow, m Member) bool {
	return !w.retiring(m.instance) && w.heard(now, row, m)
}

// heard reports whether a replica answered lately.
func (w *World) heard(now time.Time, row *replicaRow, m Member) bool {
	if m.replica == row.self {
		return true
	}
	p := w.progress.Get(progressKey{row.id, m.replica})
	return p != nil && now.Sub(p.ackedAt) < lostAfter
}

// crowd returns how many sound voters share the data centre of an instance.
func (w *World) crowd(now time.Time, row *replicaRow, members []Member, instance string) int {
	count := 0
	for _, m := range members {
		if m.voter && w.sound(now, row, m) && w.place(m.instance) == w.place(instance) {
			count++
		}
	}
	return count
}

// candidate returns the learner to promote, or -1. Learners in data centres
// with few voters go first.
func (w *World) candidate(now time.Time, row *replicaRow, members []Member, sound int) int {
	crowded := false
	for _, m := range members {
		crowded = crowded || (m.voter && w.sound(now, row, m) && w.crowd(now, row, members, m.instance) > 1)
	}
	best, fewest := -1, 0
	for i, m := range members {
		if !w.caughtUp(now, row, m) || w.retiring(m.instance) {
			continue
		}
		if n := w.crowd(now, row, members, m.instance); best < 0 || n < fewest {
			best, fewest = i, n
		}
	}
	if best >= 0 && (sound < w.targetVoters || (crowded && fewest == 0)) {
		return best
	}
	return -1
}

// reduce removes one voter above the target: an unsound one, else one from the
// most crowded data centre, which stays as learner.
func (w *World) reduce(now time.Time, row *replicaRow, members []Member, voters, sound int) {
	pick, most := -1, 0
	for i, m := range members {
		if !m.voter || m.replica == row.self {
			continue
		}
		if !w.sound(now, row, m) {
			w.setMembers(now, row, without(members, i))
			return
		}
		if n := w.crowd(now, row, members, m.instance); n > most {
			pick, most = i, n
		}
	}
	if pick >= 0 && sound == voters {
		w.setMembers(now, row, withVoter(members, pick, false))
	}
}

// forget drops a learner that is retiring or silent for long.
func (w *World) forget(now time.Time, row *replicaRow, members []Member) {
	for i, m := range members {
		p := w.progress.Get(progressKey{row.id, m.replica})
		if m.voter || p == nil {
			continue
		}
		if w.retiring(m.instance) || now.Sub(p.ackedAt) > forgetAfter {
			w.setMembers(now, row, without(members, i))
			return
		}
	}
}
