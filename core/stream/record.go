// Package stream keeps which software version of the backend servers began a stream. Servers
// of another version cannot continue it, and the caller may take it up again at any entry
// instance, also after that instance's restart.
package stream

import (
	"time"

	"papayaquay/core/table"

	"github.com/cespare/xxhash/v2"
)

// Retention and bound of records.
const (
	Retention  = 30 * time.Second // longer than any caller waits for a stream
	maxRecords = 200_000
)

// ID identifies a stream: the hash of the id of the request that began it.
type ID uint64

// NewID returns the id of the stream that a request began.
func NewID(request string) ID { return ID(xxhash.Sum64String(request)) }

// Record says which version is about to begin a stream.
type Record struct {
	id      ID
	attempt int
	version string
}

// NewRecord returns a record of an attempt. A later attempt replaces an earlier one.
func NewRecord(id ID, attempt int, version string) Record {
	return Record{id: id, attempt: attempt, version: version}
}

// ID returns the stream.
func (r Record) ID() ID { return r.id }

// Attempt returns the number of the attempt within the request.
func (r Record) Attempt() int { return r.attempt }

// Version returns the software version of the attempt's server.
func (r Record) Version() string { return r.version }

// Answer returns what the record tells of the stream.
func (r Record) Answer() Answer { return NewAnswer(Recorded, r.version).WithAttempt(r.attempt) }

// recordRow is a record and its age.
type recordRow struct {
	record     Record
	recordedAt time.Time
}

// Records holds the records of the last Retention. Only one thread may use it.
type Records struct {
	rows  *table.Table[ID, recordRow]
	queue []queuedID // in the order in which they were added
}

// queuedID is a stream in the order of expiry.
type queuedID struct {
	id ID
	at time.Time
}

// NewRecords returns an empty table.
func NewRecords() *Records { return &Records{rows: table.New[ID, recordRow]()} }

// Add adds a record, unless one of a later attempt is known, and removes old ones.
func (t *Records) Add(now time.Time, r Record) {
	t.removeOld(now)
	if row := t.rows.Get(r.id); row != nil && row.record.attempt > r.attempt {
		return
	}
	t.rows.Put(r.id, recordRow{record: r, recordedAt: now})
	t.queue = append(t.queue, queuedID{id: r.id, at: now})
}

// Find returns the newest record of a stream.
func (t *Records) Find(now time.Time, id ID) (r Record, ok bool) {
	row := t.rows.Get(id)
	if row == nil || now.Sub(row.recordedAt) > Retention {
		return Record{}, false
	}
	return row.record, true
}

// Len returns the number of records.
func (t *Records) Len() int { return t.rows.Len() }

// removeOld removes records that are too old or too many.
func (t *Records) removeOld(now time.Time) {
	for len(t.queue) > 0 && (now.Sub(t.queue[0].at) > Retention || len(t.queue) > maxRecords) {
		first := t.queue[0]
		t.queue = t.queue[1:]
		if row := t.rows.Get(first.id); row != nil && row.recordedAt.Equal(first.at) {
			t.rows.Remove(first.id)
		}
	}
}
