package home

import (
	"time"

	"papayaquay/core/outcome"
)

// lease renews the owner's leases and hands it pending items. Jobs take turns
// so that a large one does not hold up a small one. A resent command gets the
// items that the first one was granted and that are still held.
func (s *State) lease(c Command) Reply {
	owner := s.owners.Get(c.owner)
	if owner == nil {
		owner = s.owners.Put(c.owner, ownerRow{})
	}
	owner.seen = c.at
	s.jobs.Each(func(_ Key, job *jobRow) {
		job.reclaim(c.at)
		job.renew(c.owner, c.until)
	})
	if c.number <= owner.number {
		return NewReply(outcome.OK, "", WithLeased(s.regrant(c, owner)), WithCancelled(s.Cancelled(c.owner)))
	}
	leased := s.grantAll(c)
	owner.number, owner.granted = c.number, owner.granted[:0:0]
	for _, l := range leased {
		owner.granted = append(owner.granted, grantRow{job: l.job, index: l.index})
	}
	return NewReply(outcome.OK, "", WithLeased(leased), WithCancelled(s.Cancelled(c.owner)))
}

// grantAll shares the command's limit among the jobs that have pending items.
func (s *State) grantAll(c Command) []LeasedItem {
	var leased []LeasedItem
	waiting := s.pendingJobs(c)
	s.jobs.Each(func(key Key, job *jobRow) {
		if waiting == 0 || job.cancelled || (c.service != "" && job.service != c.service) || !job.hasPending() {
			return
		}
		share := (c.limit - len(leased) + waiting - 1) / waiting
		leased = append(leased, job.grant(key, c.owner, share, c.until)...)
		waiting--
	})
	return leased
}

// regrant returns the items of the owner's newest grant that it still holds.
func (s *State) regrant(c Command, owner *ownerRow) []LeasedItem {
	if c.number < owner.number {
		return nil
	}
	var leased []LeasedItem
	for _, g := range owner.granted {
		job := s.jobs.Get(g.job)
		if job != nil && g.index < len(job.states) && job.states[g.index] == ItemLeased && job.ownerOf(g.index) == c.owner {
			leased = append(leased, NewLeasedItem(g.job, g.index, job.service, job.once, job.items[g.index]))
		}
	}
	return leased
}

// Cancelled returns the cancelled jobs of which the owner still holds items.
func (s *State) Cancelled(owner string) []Key {
	var keys []Key
	s.jobs.Each(func(key Key, job *jobRow) {
		if !job.cancelled {
			return
		}
		for _, l := range job.leases {
			if l.owner == owner {
				keys = append(keys, key)
				return
			}
		}
	})
	return keys
}

// LeaseDue reports whether a lease command would change the state: there are
// items to hand out, leases to renew, or leases that ran out.
func (s *State) LeaseDue(c Command) bool {
	due := c.limit > 0 && s.pendingJobs(c) > 0
	s.jobs.Each(func(_ Key, job *jobRow) {
		for _, l := range job.leases {
			half := c.at.Add(c.until.Sub(c.at) / 2)
			due = due || c.at.After(l.until) || l.owner == c.owner && l.until.Before(half)
		}
	})
	return due
}

// pendingJobs counts the jobs that a lease command may take items from.
func (s *State) pendingJobs(c Command) int {
	count := 0
	s.jobs.Each(func(_ Key, job *jobRow) {
		if !job.cancelled && (c.service == "" || job.service == c.service) && job.hasPending() {
			count++
		}
	})
	return count
}

// hasPending advances the cursor to the first pending item and reports whether
// there is one.
func (j *jobRow) hasPending() bool {
	for j.cursor < len(j.states) && j.states[j.cursor] != ItemPending {
		j.cursor++
	}
	return j.cursor < len(j.states)
}

// grant leases up to limit pending items under one new lease.
func (j *jobRow) grant(key Key, owner string, limit int, until time.Time) []LeasedItem {
	if limit < 1 || !j.hasPending() {
		return nil
	}
	j.lastLease++
	lease := leaseRow{id: j.lastLease, owner: owner, first: j.cursor, until: until}
	var leased []LeasedItem
	for len(leased) < limit && j.hasPending() {
		i := j.cursor
		j.states[i], j.held[i] = ItemLeased, lease.id
		j.runs[i]++
		leased = append(leased, NewLeasedItem(key, i, j.service, j.once, j.items[i]))
	}
	lease.end, lease.open = leased[len(leased)-1].index+1, len(leased)
	j.leases = append(j.leases, lease)
	j.leased += len(leased)
	return leased
}

// renew extends the owner's leases.
func (j *jobRow) renew(owner string, until time.Time) {
	for i := range j.leases {
		if l := &j.leases[i]; l.owner == owner && until.After(l.until) {
			l.until = until
		}
	}
}

// reclaimable reports whether a lease has run out.
func (j *jobRow) reclaimable(at time.Time) bool {
	for _, l := range j.leases {
		if at.After(l.until) {
			return true
		}
	}
	return false
}

// reclaim ends the leases that ran out. Items that must not be repeated get a
// final answer, since the lost owner may have run them.
func (j *jobRow) reclaim(at time.Time) {
	for _, l := range append([]leaseRow(nil), j.leases...) {
		if at.After(l.until) {
			j.loseRange(l, at)
		}
	}
}

// loseRange decides what becomes of the unanswered items of a lost lease.
func (j *jobRow) loseRange(l leaseRow, at time.Time) {
	for i := l.first; i < l.end; i++ {
		if j.held[i] != l.id {
			continue
		}
		j.requeue(i)
		switch {
		case j.once:
			j.finish(i, NewAnswer(outcome.Unknown, "", 0, reasonAnswerLost, "", at))
		case j.runs[i] >= maxLeasesPerItem:
			j.finish(i, NewAnswer(outcome.Refused, "", 0, reasonLeasesLost, "", at))
		}
	}
}
