package home

import "time"

// RequestRecord is the state of one request key in a snapshot.
type RequestRecord struct {
	key      Key
	answer   Answer
	started  bool
	attempt  uint64
	deadline time.Time
	changed  time.Time
}

// NewRequestRecord returns a request record.
func NewRequestRecord(key Key, answer Answer, started bool, attempt uint64, deadline, changed time.Time) RequestRecord {
	return RequestRecord{key: key, answer: answer, started: started, attempt: attempt, deadline: deadline, changed: changed}
}

// Key returns the request key.
func (r RequestRecord) Key() Key { return r.key }

// Answer returns the stored answer.
func (r RequestRecord) Answer() Answer { return r.answer }

// Started reports whether an at-most-once request was started.
func (r RequestRecord) Started() bool { return r.started }

// Attempt returns the number of the only attempt.
func (r RequestRecord) Attempt() uint64 { return r.attempt }

// Deadline returns the deadline of the only attempt.
func (r RequestRecord) Deadline() time.Time { return r.deadline }

// Changed returns when the record last changed.
func (r RequestRecord) Changed() time.Time { return r.changed }

// LeaseRecord is one lease of a job in a snapshot.
type LeaseRecord struct {
	id      uint32
	owner   string
	expires time.Time
	items   []int
}

// NewLeaseRecord returns a lease of the items at the given positions, which must
// be in ascending order.
func NewLeaseRecord(id uint32, owner string, expires time.Time, items []int) LeaseRecord {
	return LeaseRecord{id: id, owner: owner, expires: expires, items: items}
}

// ID returns the lease's number within its job.
func (l LeaseRecord) ID() uint32 { return l.id }

// Owner returns the owner of the lease.
func (l LeaseRecord) Owner() string { return l.owner }

// Expires returns when the lease expires.
func (l LeaseRecord) Expires() time.Time { return l.expires }

// Items returns the positions of the leased items in ascending order.
func (l LeaseRecord) Items() []int { return l.items }

// JobRecord is one job with its items in a snapshot.
type JobRecord struct {
	key         Key
	service     string
	atMostOnce  bool
	total       int
	cancelled   bool
	changed     time.Time
	items       []Item
	leaseCounts []uint8
	answers     []Completion
	leases      []LeaseRecord
	lastLeaseID uint32
}

// JobRecordOption sets optional fields of a job record.
type JobRecordOption func(*JobRecord)

// WithRecordItems sets the items and how often each was leased.
func WithRecordItems(items []Item, leaseCounts []uint8) JobRecordOption {
	return func(j *JobRecord) { j.items, j.leaseCounts = items, leaseCounts }
}

// WithRecordAnswers sets the answered items.
func WithRecordAnswers(answers []Completion) JobRecordOption {
	return func(j *JobRecord) { j.answers = answers }
}

// WithRecordLeases sets the leases and the ID of the newest lease.
func WithRecordLeases(leases []LeaseRecord, lastID uint32) JobRecordOption {
	return func(j *JobRecord) { j.leases, j.lastLeaseID = leases, lastID }
}

// NewJobRecord returns a job record.
func NewJobRecord(key Key, service string, atMostOnce bool, total int, cancelled bool, changed time.Time, options ...JobRecordOption) JobRecord {
	j := JobRecord{key: key, service: service, atMostOnce: atMostOnce, total: total, cancelled: cancelled, changed: changed}
	for _, option := range options {
		option(&j)
	}
	return j
}

// Key returns the job's key.
func (j JobRecord) Key() Key { return j.key }

// Service returns the job's service.
func (j JobRecord) Service() string { return j.service }

// AtMostOnce reports whether items must not be retried after they may have run.
func (j JobRecord) AtMostOnce() bool { return j.atMostOnce }

// Total returns the declared number of items.
func (j JobRecord) Total() int { return j.total }

// Cancelled reports whether the job was cancelled.
func (j JobRecord) Cancelled() bool { return j.cancelled }

// Changed returns when the job last changed.
func (j JobRecord) Changed() time.Time { return j.changed }

// Items returns the items.
func (j JobRecord) Items() []Item { return j.items }

// LeaseCounts returns how often each item was leased.
func (j JobRecord) LeaseCounts() []uint8 { return j.leaseCounts }

// Answers returns the answered items.
func (j JobRecord) Answers() []Completion { return j.answers }

// Leases returns the active leases of the job.
func (j JobRecord) Leases() []LeaseRecord { return j.leases }

// LastLeaseID returns the ID of the newest lease.
func (j JobRecord) LastLeaseID() uint32 { return j.lastLeaseID }

// CrashRecord is the crash count of a fingerprint in a snapshot.
type CrashRecord struct {
	fingerprint uint64
	attempts    []uint64
	lastCrash   time.Time
}

// NewCrashRecord returns a crash record.
func NewCrashRecord(fingerprint uint64, attempts []uint64, lastCrash time.Time) CrashRecord {
	return CrashRecord{fingerprint: fingerprint, attempts: attempts, lastCrash: lastCrash}
}

// Fingerprint returns the content fingerprint.
func (r CrashRecord) Fingerprint() uint64 { return r.fingerprint }

// Attempts returns the numbers of the attempts that ended in a crash.
func (r CrashRecord) Attempts() []uint64 { return r.attempts }

// LastCrash returns when the last crash was counted.
func (r CrashRecord) LastCrash() time.Time { return r.lastCrash }

// OwnerRecord is the newest lease grant of an owner in a snapshot.
type OwnerRecord struct {
	owner       string
	number      uint64
	lastCommand time.Time
	granted     []Completion // items without an answer
}

// NewOwnerRecord returns an owner record.
func NewOwnerRecord(owner string, number uint64, lastCommand time.Time, granted []Completion) OwnerRecord {
	return OwnerRecord{owner: owner, number: number, lastCommand: lastCommand, granted: granted}
}

// Owner returns the lease owner.
func (r OwnerRecord) Owner() string { return r.owner }

// Number returns the number of the owner's newest lease command.
func (r OwnerRecord) Number() uint64 { return r.number }

// LastCommand returns when that command was issued.
func (r OwnerRecord) LastCommand() time.Time { return r.lastCommand }

// Granted returns the granted items; their answers are empty.
func (r OwnerRecord) Granted() []Completion { return r.granted }

// Records is the complete state of a home ledger for a snapshot.
type Records struct {
	requests []RequestRecord
	jobs     []JobRecord
	crashes  []CrashRecord
	owners   []OwnerRecord
}

// NewRecords returns a state that consists of the given records.
func NewRecords(requests []RequestRecord, jobs []JobRecord, crashes []CrashRecord, owners []OwnerRecord) Records {
	return Records{requests: requests, jobs: jobs, crashes: crashes, owners: owners}
}

// Requests returns the records of the request keys.
func (r Records) Requests() []RequestRecord { return r.requests }

// Jobs returns the records of the jobs.
func (r Records) Jobs() []JobRecord { return r.jobs }

// Crashes returns the crash counts.
func (r Records) Crashes() []CrashRecord { return r.crashes }

// Owners returns the newest grant of each owner.
func (r Records) Owners() []OwnerRecord { return r.owners }

// Export returns the complete state as records.
func (s *State) Export() Records {
	var owners []OwnerRecord
	s.owners.Each(func(owner string, row *ownerRow) {
		var granted []Completion
		for _, g := range row.granted {
			granted = append(granted, NewCompletion(g.job, g.index, Answer{}))
		}
		owners = append(owners, NewOwnerRecord(owner, row.number, row.lastCommand, granted))
	})
	var requests []RequestRecord
	var jobs []JobRecord
	var crashes []CrashRecord
	s.requests.Each(func(key Key, r *requestRow) {
		requests = append(requests, NewRequestRecord(key, r.answer, r.started, r.attempt, r.deadline, r.changed))
	})
	s.jobs.Each(func(key Key, j *jobRow) { jobs = append(jobs, j.export(key)) })
	s.crashes.Each(func(fingerprint uint64, r *crashRow) {
		crashes = append(crashes, NewCrashRecord(fingerprint, append([]uint64(nil), r.attempts...), r.lastCrash))
	})
	return NewRecords(requests, jobs, crashes, owners)
}

// export returns the record of one job.
func (j *jobRow) export(key Key) JobRecord {
	var answers []Completion
	itemsByLease := make(map[uint32][]int)
	for i, state := range j.states {
		if state == ItemDone {
			answers = append(answers, NewCompletion(key, i, j.answers[i]))
		}
		if j.leaseIDs[i] != 0 {
			itemsByLease[j.leaseIDs[i]] = append(itemsByLease[j.leaseIDs[i]], i)
		}
	}
	var leases []LeaseRecord
	for _, l := range j.leases {
		leases = append(leases, NewLeaseRecord(l.id, l.owner, l.expires, itemsByLease[l.id]))
	}
	return NewJobRecord(key, j.service, j.atMostOnce, j.total, j.cancelled, j.changed,
		WithRecordItems(append([]Item(nil), j.items...), append([]uint8(nil), j.leaseCounts...)),
		WithRecordAnswers(answers), WithRecordLeases(leases, j.lastLeaseID))
}

// Restore returns a state with the content of the records.
func Restore(records Records) *State {
	s := New()
	for _, r := range records.owners {
		row := ownerRow{number: r.number, lastCommand: r.lastCommand}
		for _, g := range r.granted {
			row.granted = append(row.granted, grantRow{job: g.job, index: g.index})
		}
		s.owners.Put(r.owner, row)
	}
	for _, r := range records.requests {
		s.putRequest(r.key, requestRow{answer: r.answer, started: r.started, attempt: r.attempt, deadline: r.deadline, changed: r.changed})
	}
	for _, record := range records.jobs {
		s.jobs.Put(record.key, restoreJob(record))
	}
	for _, r := range records.crashes {
		s.crashes.Put(r.fingerprint, crashRow{crashes: len(r.attempts), attempts: r.attempts, lastCrash: r.lastCrash})
	}
	return s
}

// restoreJob returns the row of one job.
func restoreJob(record JobRecord) jobRow {
	j := jobRow{service: record.service, atMostOnce: record.atMostOnce, total: record.total,
		cancelled: record.cancelled, changed: record.changed, lastLeaseID: record.lastLeaseID, bytes: jobBytes(record.key, record.service)}
	j.appendItems(record.items)
	copy(j.leaseCounts, record.leaseCounts)
	for _, completion := range record.answers {
		j.storeAnswer(completion.index, completion.answer)
	}
	for _, l := range record.leases {
		if len(l.items) == 0 {
			continue
		}
		for _, i := range l.items {
			j.states[i], j.leaseIDs[i] = ItemLeased, l.id
		}
		j.leased += len(l.items)
		j.leases = append(j.leases, leaseRow{id: l.id, owner: l.owner, expires: l.expires,
			first: l.items[0], end: l.items[len(l.items)-1] + 1, remaining: len(l.items)})
	}
	return j
}
