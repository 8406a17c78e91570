package home

import (
	"time"

	"papayaquay/core/outcome"
)

// lease renews the owner's leases and leases pending items to it. The limit is
// shared among the jobs, so that a large job does not delay a small one. A
// resent command returns the items that the first copy was granted and that the
// owner still holds.
func (s *State) lease(c Command) Reply {
	owner := s.owners.Get(c.owner)
	if owner == nil {
		owner = s.owners.Put(c.owner, ownerRow{})
	}
	owner.lastCommand = c.at
	s.jobs.Each(func(_ Key, job *jobRow) {
		job.expireLeases(c.at)
		job.renew(c.owner, c.until)
	})
	if c.number <= owner.number {
		return NewReply(outcome.OK, "", WithLeased(s.repeatGrant(c, owner)), WithCancelled(s.Cancelled(c.owner)))
	}
	leased := s.grantItems(c)
	owner.number, owner.granted = c.number, owner.granted[:0:0]
	for _, l := range leased {
		owner.granted = append(owner.granted, grantRow{job: l.job, index: l.index})
	}
	return NewReply(outcome.OK, "", WithLeased(leased), WithCancelled(s.Cancelled(c.owner)))
}

// grantItems leases pending items to the command's owner. It divides the
// command's limit among the jobs that have pending items.
func (s *State) grantItems(c Command) []LeasedItem {
	var leased []LeasedItem
	remainingJobs := s.countPendingJobs(c)
	s.jobs.Each(func(key Key, job *jobRow) {
		if remainingJobs == 0 || job.cancelled || (c.service != "" && job.service != c.service) || !job.hasPending() {
			return
		}
		share := (c.limit - len(leased) + remainingJobs - 1) / remainingJobs
		leased = append(leased, job.grant(key, c.owner, share, c.until)...)
		remainingJobs--
	})
	return leased
}

// repeatGrant returns the items of the owner's newest grant that the owner still
// holds. It returns none if the command is older than that grant.
func (s *State) repeatGrant(c Command, owner *ownerRow) []LeasedItem {
	if c.number < owner.number {
		return nil
	}
	var leased []LeasedItem
	for _, g := range owner.granted {
		job := s.jobs.Get(g.job)
		if job != nil && g.index < len(job.states) && job.states[g.index] == ItemLeased && job.ownerOf(g.index) == c.owner {
			leased = append(leased, NewLeasedItem(g.job, g.index, job.service, job.atMostOnce, job.items[g.index]))
		}
	}
	return leased
}

// Cancelled returns the cancelled jobs that have items leased to the owner.
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

// LeaseDue reports whether applying a lease command is useful: there are pending
// items to lease, leases of the owner with less than half of their duration
// left, or expired leases.
func (s *State) LeaseDue(c Command) bool {
	due := c.limit > 0 && s.countPendingJobs(c) > 0
	s.jobs.Each(func(_ Key, job *jobRow) {
		for _, l := range job.leases {
			half := c.at.Add(c.until.Sub(c.at) / 2)
			due = due || c.at.After(l.expires) || l.owner == c.owner && l.expires.Before(half)
		}
	})
	return due
}

// countPendingJobs returns the number of jobs from which a lease command may
// lease items.
func (s *State) countPendingJobs(c Command) int {
	count := 0
	s.jobs.Each(func(_ Key, job *jobRow) {
		if !job.cancelled && (c.service == "" || job.service == c.service) && job.hasPending() {
			count++
		}
	})
	return count
}

// hasPending advances pendingFrom to the first pending item and reports whether
// there is one.
func (j *jobRow) hasPending() bool {
	for j.pendingFrom < len(j.states) && j.states[j.pendingFrom] != ItemPending {
		j.pendingFrom++
	}
	return j.pendingFrom < len(j.states)
}

// grant creates a lease that holds up to limit pending items and returns them.
func (j *jobRow) grant(key Key, owner string, limit int, until time.Time) []LeasedItem {
	if limit < 1 || !j.hasPending() {
		return nil
	}
	j.lastLeaseID++
	lease := leaseRow{id: j.lastLeaseID, owner: owner, first: j.pendingFrom, expires: until}
	var leased []LeasedItem
	for len(leased) < limit && j.hasPending() {
		i := j.pendingFrom
		j.states[i], j.leaseIDs[i] = ItemLeased, lease.id
		j.leaseCounts[i]++
		leased = append(leased, NewLeasedItem(key, i, j.service, j.atMostOnce, j.items[i]))
	}
	lease.end, lease.remaining = leased[len(leased)-1].index+1, len(leased)
	j.leases = append(j.leases, lease)
	j.leased += len(leased)
	return leased
}

// renew extends the owner's leases to the time until.
func (j *jobRow) renew(owner string, until time.Time) {
	for i := range j.leases {
		if l := &j.leases[i]; l.owner == owner && until.After(l.expires) {
			l.expires = until
		}
	}
}

// hasExpiredLease reports whether any lease has expired.
func (j *jobRow) hasExpiredLease(at time.Time) bool {
	for _, l := range j.leases {
		if at.After(l.expires) {
			return true
		}
	}
	return false
}

// expireLeases ends the expired leases. Items of an at-most-once job get a final
// answer, because the previous owner may have run them.
func (j *jobRow) expireLeases(at time.Time) {
	for _, l := range append([]leaseRow(nil), j.leases...) {
		if at.After(l.expires) {
			j.expireLease(l, at)
		}
	}
}

// expireLease makes the unanswered items of an expired lease pending again, or
// gives them a final answer if they must not be leased again.
func (j *jobRow) expireLease(l leaseRow, at time.Time) {
	for i := l.first; i < l.end; i++ {
		if j.leaseIDs[i] != l.id {
			continue
		}
		j.requeue(i)
		switch {
		case j.atMostOnce:
			j.storeAnswer(i, NewAnswer(outcome.Unknown, "", 0, reasonAnswerLost, "", at))
		case j.leaseCounts[i] >= maxLeasesPerItem:
			j.storeAnswer(i, NewAnswer(outcome.Refused, "", 0, reasonLeaseLimit, "", at))
		}
	}
}
