package home

import (
	"time"

	"papayaquay/core/outcome"
)

// jobRow is a job. Its items are stored as columns, one entry per item.
type jobRow struct {
	service    string
	atMostOnce bool
	total      int
	cancelled  bool
	changed    time.Time

	items       []Item
	states      []ItemState
	answers     []Answer
	leaseCounts []uint8  // how often the item was leased
	leaseIDs    []uint32 // ID of the lease that holds the item, 0 for none
	pendingFrom int      // no item before this index is pending

	leases      []leaseRow
	lastLeaseID uint32
	leased      int
	done        int
	failed      int
	bytes       int // memory of the job
}

// leaseRow is a lease of items to one owner. All items are in [first, end).
type leaseRow struct {
	id        uint32
	owner     string
	first     int
	end       int
	remaining int // items that the lease still holds
	expires   time.Time
}

// status returns the job's status with its item counts.
func (j *jobRow) status(key Key) JobStatus {
	return NewJobStatus(key, j.service, j.total, len(j.states), j.leased, j.done, j.failed, j.cancelled)
}

// submit creates a job or adds items to it. Items that are already stored are
// accepted again if they are equal, so that a command can be resent.
func (s *State) submit(c Command) Reply {
	job := s.jobs.Get(c.key)
	if job == nil {
		if c.total < 1 || c.service == "" {
			return NewReply(outcome.Refused, reasonJobDiffers)
		}
		job = s.jobs.Put(c.key, jobRow{service: c.service, atMostOnce: c.atMostOnce, total: c.total, bytes: jobBytes(c.key, c.service)})
	}
	if reason := job.mismatch(c); reason != "" {
		return NewReply(outcome.Refused, reason, WithStatus(job.status(c.key)))
	}
	stored := max(len(job.items)-c.offset, 0)
	for i, item := range c.items {
		if i < stored && job.items[c.offset+i] != item {
			return NewReply(outcome.Refused, reasonItemsDiffer, WithStatus(job.status(c.key)))
		}
	}
	if stored < len(c.items) {
		job.appendItems(c.items[stored:])
		job.changed = c.at
	}
	return NewReply(outcome.OK, "", WithStatus(job.status(c.key)))
}

// mismatch returns the reason why a submit command does not match the job, or
// the empty string if it matches.
func (j *jobRow) mismatch(c Command) string {
	switch {
	case j.service != c.service || j.total != c.total || j.atMostOnce != c.atMostOnce:
		return reasonJobDiffers
	case c.offset > len(j.items):
		return reasonItemsMissing
	case c.offset < 0 || c.offset+len(c.items) > j.total:
		return reasonTooManyItems
	case j.cancelled:
		return reasonCancelled
	}
	return ""
}

// appendItems adds pending items to the end of the job.
func (j *jobRow) appendItems(items []Item) {
	for _, item := range items {
		j.bytes += item.bytes()
	}
	j.items = append(j.items, items...)
	j.states = append(j.states, make([]ItemState, len(items))...)
	j.answers = append(j.answers, make([]Answer, len(items))...)
	j.leaseCounts = append(j.leaseCounts, make([]uint8, len(items))...)
	j.leaseIDs = append(j.leaseIDs, make([]uint32, len(items))...)
}

// cancel cancels a job that is not complete. Stored answers are kept.
func (s *State) cancel(c Command) Reply {
	job := s.jobs.Get(c.key)
	if job == nil {
		return NewReply(outcome.NotRun, reasonUnknownJob)
	}
	if !job.cancelled && job.done < job.total {
		job.cancelled, job.changed = true, c.at
	}
	return NewReply(outcome.OK, "", WithStatus(job.status(c.key)))
}

// storeAnswer stores the answer to an item unless the item already has one. It
// reports whether the answer was stored.
func (j *jobRow) storeAnswer(index int, answer Answer) bool {
	if index < 0 || index >= len(j.states) || j.states[index] == ItemDone {
		return false
	}
	if j.states[index] == ItemLeased {
		j.removeFromLease(index)
	}
	j.states[index], j.answers[index] = ItemDone, answer
	j.bytes += answer.bytes()
	j.done++
	if answer.code != outcome.OK {
		j.failed++
	}
	return true
}

// removeFromLease removes an item from the lease that holds it, and deletes the
// lease if it holds no other item.
func (j *jobRow) removeFromLease(index int) {
	id := j.leaseIDs[index]
	j.leaseIDs[index] = 0
	j.leased--
	for i := range j.leases {
		if l := &j.leases[i]; l.id == id {
			l.remaining--
			if l.remaining == 0 {
				j.leases = append(j.leases[:i], j.leases[i+1:]...)
			}
			return
		}
	}
}

// complete stores answers to items; the first answer to each item wins. The
// reply counts the answers that were stored.
func (s *State) complete(c Command) Reply {
	stored := 0
	for _, completion := range c.completions {
		if job := s.jobs.Get(completion.job); job != nil && job.storeAnswer(completion.index, completion.answer) {
			job.changed = c.at
			stored++
		}
	}
	return NewReply(outcome.OK, "", WithCount(stored))
}

// release makes items of an owner pending again. A released lease does not
// count towards maxLeasesPerItem.
func (s *State) release(c Command) Reply {
	for _, item := range c.completions {
		job := s.jobs.Get(item.job)
		if job == nil || item.index < 0 || item.index >= len(job.states) || job.states[item.index] != ItemLeased {
			continue
		}
		if job.ownerOf(item.index) == c.owner {
			job.leaseCounts[item.index]--
			job.requeue(item.index)
		}
	}
	return NewReply(outcome.OK, "")
}

// ownerOf returns the owner that holds an item, or the empty string.
func (j *jobRow) ownerOf(index int) string {
	for _, l := range j.leases {
		if l.id == j.leaseIDs[index] {
			return l.owner
		}
	}
	return ""
}

// requeue makes a leased item pending again.
func (j *jobRow) requeue(index int) {
	j.removeFromLease(index)
	j.states[index] = ItemPending
	j.pendingFrom = min(j.pendingFrom, index)
}

// Results returns up to limit answered items of a job, starting at index from.
func (s *State) Results(key Key, from, limit int) Reply {
	job := s.jobs.Get(key)
	if job == nil {
		return NewReply(outcome.NotRun, reasonUnknownJob)
	}
	var results []Completion
	for i := max(from, 0); i < len(job.states) && len(results) < limit; i++ {
		if job.states[i] == ItemDone {
			results = append(results, NewCompletion(key, i, job.answers[i]))
		}
	}
	return NewReply(outcome.OK, "", WithStatus(job.status(key)), WithResults(results))
}

// JobStatus returns the status of a job.
func (s *State) JobStatus(key Key) Reply {
	job := s.jobs.Get(key)
	if job == nil {
		return NewReply(outcome.NotRun, reasonUnknownJob)
	}
	return NewReply(outcome.OK, "", WithStatus(job.status(key)))
}
