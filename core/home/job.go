package home

import (
	"time"

	"papayaquay/core/outcome"
)

// jobRow is one job with its items as columns.
type jobRow struct {
	service   string
	once      bool
	total     int
	cancelled bool
	changed   time.Time

	items   []Item
	states  []ItemState
	answers []Answer
	runs    []uint8  // leases given for the item
	held    []uint32 // lease that holds the item, 0 for none
	cursor  int      // no pending item lies before it

	leases    []leaseRow
	lastLease uint32
	leased    int
	done      int
	failed    int
}

// leaseRow is a set of items held by one owner, all within a range.
type leaseRow struct {
	id    uint32
	owner string
	first int
	end   int // first index after the range
	open  int // items still held
	until time.Time
}

// status counts the items.
func (j *jobRow) status(key Key) JobStatus {
	return NewJobStatus(key, j.service, j.total, len(j.states), j.leased, j.done, j.failed, j.cancelled)
}

// submit creates a job or adds a part to it. A part that was stored before is
// accepted again if it is equal.
func (s *State) submit(c Command) Reply {
	job := s.jobs.Get(c.key)
	if job == nil {
		if c.total < 1 || c.service == "" {
			return NewReply(outcome.Refused, reasonOtherHeader)
		}
		job = s.jobs.Put(c.key, jobRow{service: c.service, once: c.atMostOnce, total: c.total})
	}
	if reason := job.misfit(c); reason != "" {
		return NewReply(outcome.Refused, reason, WithStatus(job.status(c.key)))
	}
	known := max(len(job.items)-c.offset, 0)
	for i, item := range c.items {
		if i < known && job.items[c.offset+i] != item {
			return NewReply(outcome.Refused, reasonOtherItems, WithStatus(job.status(c.key)))
		}
	}
	if known < len(c.items) {
		job.add(c.items[known:])
		job.changed = c.at
	}
	return NewReply(outcome.OK, "", WithStatus(job.status(c.key)))
}

// misfit returns why a part does not fit the job, or nothing.
func (j *jobRow) misfit(c Command) string {
	switch {
	case j.service != c.service || j.total != c.total || j.once != c.atMostOnce:
		return reasonOtherHeader
	case c.offset > len(j.items):
		return reasonGap
	case c.offset < 0 || c.offset+len(c.items) > j.total:
		return reasonTooMany
	case j.cancelled:
		return reasonCancelled
	}
	return ""
}

// add appends items as pending.
func (j *jobRow) add(items []Item) {
	j.items = append(j.items, items...)
	j.states = append(j.states, make([]ItemState, len(items))...)
	j.answers = append(j.answers, make([]Answer, len(items))...)
	j.runs = append(j.runs, make([]uint8, len(items))...)
	j.held = append(j.held, make([]uint32, len(items))...)
}

// cancel stops a job; items with an answer keep it.
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

// finish stores an item's answer unless it has one, and reports whether it was new.
func (j *jobRow) finish(index int, answer Answer) bool {
	if index < 0 || index >= len(j.states) || j.states[index] == ItemDone {
		return false
	}
	if j.states[index] == ItemLeased {
		j.letGo(index)
	}
	j.states[index], j.answers[index] = ItemDone, answer
	j.done++
	if answer.code != outcome.OK {
		j.failed++
	}
	return true
}

// letGo takes an item out of the lease that holds it.
func (j *jobRow) letGo(index int) {
	id := j.held[index]
	j.held[index] = 0
	j.leased--
	for i := range j.leases {
		if l := &j.leases[i]; l.id == id {
			l.open--
			if l.open == 0 {
				j.leases = append(j.leases[:i], j.leases[i+1:]...)
			}
			return
		}
	}
}

// complete stores answers to items; the first answer of each wins.
func (s *State) complete(c Command) Reply {
	fresh := 0
	for _, done := range c.completions {
		if job := s.jobs.Get(done.job); job != nil && job.finish(done.index, done.answer) {
			job.changed = c.at
			fresh++
		}
	}
	return NewReply(outcome.OK, "", WithCount(fresh))
}

// release makes an owner's items pending again.
func (s *State) release(c Command) Reply {
	for _, item := range c.completions {
		job := s.jobs.Get(item.job)
		if job == nil || item.index < 0 || item.index >= len(job.states) || job.states[item.index] != ItemLeased {
			continue
		}
		if job.ownerOf(item.index) == c.owner {
			job.runs[item.index]--
			job.requeue(item.index)
		}
	}
	return NewReply(outcome.OK, "")
}

// ownerOf returns the owner that holds an item, or nothing.
func (j *jobRow) ownerOf(index int) string {
	for _, l := range j.leases {
		if l.id == j.held[index] {
			return l.owner
		}
	}
	return ""
}

// requeue makes a leased item pending.
func (j *jobRow) requeue(index int) {
	j.letGo(index)
	j.states[index] = ItemPending
	j.cursor = min(j.cursor, index)
}

// Results reads up to limit answered items from index from on.
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

// JobStatus reads the status of a job.
func (s *State) JobStatus(key Key) Reply {
	job := s.jobs.Get(key)
	if job == nil {
		return NewReply(outcome.NotRun, reasonUnknownJob)
	}
	return NewReply(outcome.OK, "", WithStatus(job.status(key)))
}
