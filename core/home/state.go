package home

import (
	"slices"
	"time"

	"papayaquay/core/outcome"
	"papayaquay/core/table"
)

// Retention times, limits and reasons. The reasons are part of answers and
// replies.
const (
	DefaultRetention   = 24 * time.Hour  // answers and finished jobs
	CrashRetention     = time.Hour       // crash counts
	lostAnswerGrace    = 5 * time.Second // after the deadline, before an answer counts as lost
	maxCrashAttempts   = 16              // counted for each fingerprint
	maxLeasesPerItem   = 8               // expired leases after which an item is rejected
	reasonAnswerLost   = "the answer of the only attempt was lost"
	reasonLeaseLimit   = "the item was lost too often while it ran"
	reasonItemsDiffer  = "the job holds other items at this position"
	reasonItemsMissing = "items are missing before this position"
	reasonTooManyItems = "more items than the declared total"
	reasonUnknownJob   = "no such job"
	reasonCancelled    = "the job was cancelled"
	reasonJobDiffers   = "the job exists with another service, total or repeat mark"
)

// requestRow is the state of one request key.
type requestRow struct {
	answer   Answer
	started  bool
	attempt  uint64    // number of the only attempt of a started request
	deadline time.Time // deadline of that attempt
	changed  time.Time
}

// lost reports whether it is too late for the only attempt of a started request
// to return an answer.
func (r *requestRow) lost(at time.Time) bool {
	return r.started && r.answer.code == outcome.Pending && at.After(r.deadline.Add(lostAnswerGrace))
}

// crashRow counts the crashes of backend servers that ran content with the same
// fingerprint.
type crashRow struct {
	crashes   int
	attempts  []uint64 // numbers of the counted attempts
	lastCrash time.Time
}

// ownerRow is the result of an owner's newest lease command. It is used to
// answer a resent command.
type ownerRow struct {
	number      uint64
	granted     []grantRow
	lastCommand time.Time
}

// grantRow identifies a granted item.
type grantRow struct {
	job   Key
	index int
}

// State is the content of a home ledger. Only the control thread may use it.
type State struct {
	requests  *table.Table[Key, requestRow]
	jobs      *table.Table[Key, jobRow]
	crashes   *table.Table[uint64, crashRow]
	owners    *table.Table[string, ownerRow]
	retention time.Duration

	requestBytes int // memory of the requests; see Bytes
}

// New returns an empty state.
func New() *State {
	return &State{
		requests:  table.New[Key, requestRow](),
		jobs:      table.New[Key, jobRow](),
		crashes:   table.New[uint64, crashRow](),
		owners:    table.New[string, ownerRow](),
		retention: DefaultRetention,
	}
}

// Apply applies one committed command to the state.
func (s *State) Apply(c Command) Reply {
	switch c.kind {
	case CommandPutAnswer:
		return s.putAnswer(c)
	case CommandStart:
		return s.start(c)
	case CommandSubmit:
		return s.submit(c)
	case CommandCancel:
		return s.cancel(c)
	case CommandLease:
		return s.lease(c)
	case CommandComplete:
		return s.complete(c)
	case CommandRelease:
		return s.release(c)
	case CommandCountCrash:
		return s.countCrash(c)
	case CommandRemoveAnswer:
		s.removeRequest(c.key)
		return NewReply(outcome.OK, "")
	case CommandExpire:
		return s.expire(c)
	default:
		return NewReply(outcome.Refused, "unknown command")
	}
}

// putAnswer stores the answer to a key unless the key already has an answer. It
// returns the stored answer.
func (s *State) putAnswer(c Command) Reply {
	row := s.requests.Get(c.key)
	if row == nil {
		row = s.putRequest(c.key, requestRow{})
	}
	if row.answer.code == outcome.Pending {
		s.setAnswer(row, c.answer)
		row.changed = c.at
	}
	return NewReply(outcome.OK, "", WithStoredAnswer(row.answer))
}

// start records the only attempt of an at-most-once request. The same attempt
// may send the command again, for example if the reply to it was lost.
func (s *State) start(c Command) Reply {
	if row := s.requests.Get(c.key); row != nil {
		if row.started && row.attempt == c.number && row.answer.code == outcome.Pending {
			return NewReply(outcome.OK, "")
		}
		return NewReply(outcome.Pending, "started before", WithStoredAnswer(row.answer))
	}
	s.putRequest(c.key, requestRow{started: true, attempt: c.number, deadline: c.until, changed: c.at})
	return NewReply(outcome.OK, "")
}

// countCrash counts a crash once per attempt and returns the count for the
// fingerprint.
func (s *State) countCrash(c Command) Reply {
	row := s.crashes.Get(c.fingerprint)
	if row == nil {
		row = s.crashes.Put(c.fingerprint, crashRow{})
	}
	if !slices.Contains(row.attempts, c.number) && len(row.attempts) < maxCrashAttempts {
		row.attempts = append(row.attempts, c.number)
		row.crashes++
	}
	row.lastCrash = c.at
	return NewReply(outcome.OK, "", WithCount(row.crashes))
}

// expire deletes rows past their retention and ends expired leases. Started
// requests whose attempt can no longer return an answer get the outcome Unknown.
func (s *State) expire(c Command) Reply {
	s.requests.Each(func(key Key, row *requestRow) {
		if row.lost(c.at) {
			s.setAnswer(row, NewAnswer(outcome.Unknown, "", 0, reasonAnswerLost, "", c.at))
		}
		if row.answer.code != outcome.Pending && c.at.Sub(row.changed) > s.retention {
			s.removeRequest(key)
		}
	})
	s.jobs.Each(func(key Key, job *jobRow) {
		job.expireLeases(c.at)
		if job.status(key).Finished() && c.at.Sub(job.changed) > s.retention {
			s.jobs.Remove(key)
		}
	})
	s.crashes.Each(func(fingerprint uint64, row *crashRow) {
		if c.at.Sub(row.lastCrash) > CrashRetention {
			s.crashes.Remove(fingerprint)
		}
	})
	s.owners.Each(func(owner string, row *ownerRow) {
		if c.at.Sub(row.lastCommand) > s.retention {
			s.owners.Remove(owner)
		}
	})
	return NewReply(outcome.OK, "")
}

// ExpireDue reports whether CommandExpire would change requests, jobs or crash
// counts. It ignores the rows of lease owners.
func (s *State) ExpireDue(at time.Time) bool {
	due := false
	s.requests.Each(func(_ Key, row *requestRow) {
		due = due || row.lost(at) || at.Sub(row.changed) > s.retention
	})
	s.jobs.Each(func(key Key, job *jobRow) {
		due = due || job.hasExpiredLease(at) ||
			job.status(key).Finished() && at.Sub(job.changed) > s.retention
	})
	s.crashes.Each(func(_ uint64, row *crashRow) {
		due = due || at.Sub(row.lastCrash) > CrashRetention
	})
	return due
}

// Lookup returns the answer to a request key, or the status of the job with that
// key. For a job of one item it also returns the answer to the item. The answer's
// code is Pending if there is no answer yet. The reply's code is NotRun if the
// key is unknown.
func (s *State) Lookup(key Key) Reply {
	row := s.requests.Get(key)
	if row != nil {
		return NewReply(outcome.OK, "", WithStoredAnswer(row.answer))
	}
	job := s.jobs.Get(key)
	if job == nil {
		return NewReply(outcome.NotRun, "unknown key")
	}
	if job.total == 1 && len(job.states) == 1 {
		return NewReply(outcome.OK, "", WithStoredAnswer(job.answers[0]), WithStatus(job.status(key)))
	}
	return NewReply(outcome.OK, "", WithStatus(job.status(key)))
}

// AnsweredRequests returns up to limit request keys with their answers. A local
// ledger uses it to move answers to their home ledgers.
func (s *State) AnsweredRequests(limit int) []Completion {
	var answered []Completion
	s.requests.Each(func(key Key, row *requestRow) {
		if len(answered) < limit && row.answer.code != outcome.Pending {
			answered = append(answered, NewCompletion(key, 0, row.answer))
		}
	})
	return answered
}

// CrashCount returns the crash count of a fingerprint.
func (s *State) CrashCount(fingerprint uint64) int {
	if row := s.crashes.Get(fingerprint); row != nil {
		return row.crashes
	}
	return 0
}
