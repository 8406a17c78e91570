package home

import (
	"slices"
	"time"

	"papayaquay/core/outcome"
	"papayaquay/core/table"
)

// Default retention of what the ledger keeps.
const (
	DefaultRetention   = 24 * time.Hour // answers and finished jobs
	CrashRetention     = time.Hour      // crash counts
	lostAnswerGrace    = 5 * time.Second
	maxSuspectAttempts = 16
	maxLeasesPerItem   = 8 // leases that may run out before an item is refused
	reasonAnswerLost   = "the answer of the only attempt was lost"
	reasonLeasesLost   = "the item was lost too often while it ran"
	reasonOtherItems   = "the job holds other items at this position"
	reasonGap          = "items are missing before this position"
	reasonTooMany      = "more items than the declared total"
	reasonUnknownJob   = "no such job"
	reasonCancelled    = "the job was cancelled"
	reasonOtherHeader  = "the job exists with another service, total or repeat mark"
)

// requestRow is what is known of one request key.
type requestRow struct {
	answer  Answer
	started bool
	attempt uint64    // number of the only attempt
	until   time.Time // deadline of the only attempt
	seen    time.Time
}

// lost reports whether the only attempt of a started request can no longer
// return an answer.
func (r *requestRow) lost(at time.Time) bool {
	return r.started && r.answer.code == outcome.Pending && at.After(r.until.Add(lostAnswerGrace))
}

// suspectRow counts backend servers lost while they ran a fingerprint.
type suspectRow struct {
	crashes  int
	attempts []uint64 // attempts counted so far
	seen     time.Time
}

// ownerRow remembers what the newest lease command of an owner granted.
type ownerRow struct {
	number  uint64
	granted []grantRow
	seen    time.Time
}

// grantRow names a granted item.
type grantRow struct {
	job   Key
	index int
}

// State is the content of a home ledger. It belongs to the control thread.
type State struct {
	requests  *table.Table[Key, requestRow]
	jobs      *table.Table[Key, jobRow]
	suspects  *table.Table[uint64, suspectRow]
	owners    *table.Table[string, ownerRow]
	retention time.Duration
}

// New returns an empty state.
func New() *State {
	return &State{
		requests:  table.New[Key, requestRow](),
		jobs:      table.New[Key, jobRow](),
		suspects:  table.New[uint64, suspectRow](),
		owners:    table.New[string, ownerRow](),
		retention: DefaultRetention,
	}
}

// Apply changes the state by one committed command.
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
		return s.suspect(c)
	case CommandRemoveAnswer:
		s.requests.Remove(c.key)
		return NewReply(outcome.OK, "")
	case CommandExpire:
		return s.expire(c)
	default:
		return NewReply(outcome.Refused, "unknown command")
	}
}

// putAnswer stores the answer to a key unless one is stored already, and
// returns the stored one.
func (s *State) putAnswer(c Command) Reply {
	row := s.requests.Get(c.key)
	if row == nil {
		row = s.requests.Put(c.key, requestRow{})
	}
	if row.answer.code == outcome.Pending {
		row.answer, row.seen = c.answer, c.at
	}
	return NewReply(outcome.OK, "", WithStoredAnswer(row.answer))
}

// start notes the only attempt of a request that must not be repeated. The
// same attempt may ask again when its answer was lost.
func (s *State) start(c Command) Reply {
	if row := s.requests.Get(c.key); row != nil {
		if row.started && row.attempt == c.number && row.answer.code == outcome.Pending {
			return NewReply(outcome.OK, "")
		}
		return NewReply(outcome.Pending, "started before", WithStoredAnswer(row.answer))
	}
	s.requests.Put(c.key, requestRow{started: true, attempt: c.number, until: c.until, seen: c.at})
	return NewReply(outcome.OK, "")
}

// suspect counts a crash, once for each attempt, and returns the count.
func (s *State) suspect(c Command) Reply {
	row := s.suspects.Get(c.fingerprint)
	if row == nil {
		row = s.suspects.Put(c.fingerprint, suspectRow{})
	}
	if !slices.Contains(row.attempts, c.number) && len(row.attempts) < maxSuspectAttempts {
		row.attempts = append(row.attempts, c.number)
		row.crashes++
	}
	row.seen = c.at
	return NewReply(outcome.OK, "", WithCount(row.crashes))
}

// expire drops old rows and gives a lost answer to started requests whose
// attempt can no longer return.
func (s *State) expire(c Command) Reply {
	s.requests.Each(func(key Key, row *requestRow) {
		if row.lost(c.at) {
			row.answer = NewAnswer(outcome.Unknown, "", 0, reasonAnswerLost, "", c.at)
		}
		if row.answer.code != outcome.Pending && c.at.Sub(row.seen) > s.retention {
			s.requests.Remove(key)
		}
	})
	s.jobs.Each(func(key Key, job *jobRow) {
		job.reclaim(c.at)
		if job.status(key).Finished() && c.at.Sub(job.changed) > s.retention {
			s.jobs.Remove(key)
		}
	})
	s.suspects.Each(func(fingerprint uint64, row *suspectRow) {
		if c.at.Sub(row.seen) > CrashRetention {
			s.suspects.Remove(fingerprint)
		}
	})
	s.owners.Each(func(owner string, row *ownerRow) {
		if c.at.Sub(row.seen) > s.retention {
			s.owners.Remove(owner)
		}
	})
	return NewReply(outcome.OK, "")
}

// ExpireDue reports whether CommandExpire would change anything.
func (s *State) ExpireDue(at time.Time) bool {
	due := false
	s.requests.Each(func(_ Key, row *requestRow) {
		due = due || row.lost(at) || at.Sub(row.seen) > s.retention
	})
	s.jobs.Each(func(key Key, job *jobRow) {
		due = due || job.reclaimable(at) ||
			job.status(key).Finished() && at.Sub(job.changed) > s.retention
	})
	s.suspects.Each(func(_ uint64, row *suspectRow) {
		due = due || at.Sub(row.seen) > CrashRetention
	})
	return due
}

// Lookup reads the answer to a request key. Pending means that the request was
// started; NotRun that the key is unknown.
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

// AnsweredRequests returns up to limit answered keys, for a local ledger that hands them
// to their home ledgers.
func (s *State) AnsweredRequests(limit int) []Completion {
	var strays []Completion
	s.requests.Each(func(key Key, row *requestRow) {
		if len(strays) < limit && row.answer.code != outcome.Pending {
			strays = append(strays, NewCompletion(key, 0, row.answer))
		}
	})
	return strays
}

// CrashCount reads the crash count of a fingerprint.
func (s *State) CrashCount(fingerprint uint64) int {
	if row := s.suspects.Get(fingerprint); row != nil {
		return row.crashes
	}
	return 0
}
