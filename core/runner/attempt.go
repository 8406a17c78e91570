// Package runner runs the items of batch jobs in the slots that online
// requests leave free. It gives slots back at once and resumes items elsewhere.
package runner

import (
	"time"

	"papayaquay/core/batch"
	"papayaquay/core/member"
	"papayaquay/core/progress"
)

// Attempt is one run of an item on a backend server.
type Attempt struct {
	number    uint64
	job       string
	host      string
	item      batch.Item
	backend   member.Backend
	lastEvent uint64
	counter   *progress.Counter
}

// Number identifies the attempt on this instance.
func (a Attempt) Number() uint64 { return a.number }

// Job returns the job's id.
func (a Attempt) Job() string { return a.job }

// Host returns the host of the request.
func (a Attempt) Host() string { return a.host }

// Item returns the item.
func (a Attempt) Item() batch.Item { return a.item }

// Backend returns the server to run it on.
func (a Attempt) Backend() member.Backend { return a.backend }

// LastEvent returns the id of the last event that is known, 0 for none.
func (a Attempt) LastEvent() uint64 { return a.lastEvent }

// Progress returns the counter of reads of the answer.
func (a Attempt) Progress() *progress.Counter { return a.counter }

// Status tells how an attempt ended.
type AttemptStatus uint8

// Ends of attempts.
const (
	AttemptDone        AttemptStatus = iota + 1 // the whole output is there
	AttemptNotRun                               // the server did not run it
	AttemptFailed                               // the server ran it and failed
	AttemptRejected                             // the server says that it can never be done
	AttemptInterrupted                          // the answer broke off
	AttemptStopped                              // stopped from this side
	AttemptPartial                              // the attempt goes on, a part of its output is there
	AttemptUnreachable                          // no connection to the server, nothing was sent
)

// String returns the end's name for logs.
func (e AttemptStatus) String() string {
	names := [...]string{"unknown", "done", "not run", "failed", "impossible", "broken", "stopped", "part", "unreachable"}
	if int(e) >= len(names) {
		return names[0]
	}
	return names[e]
}

// AttemptReport is the end of an attempt with the output that it brought.
type AttemptReport struct {
	number    uint64
	status    AttemptStatus
	text      []byte
	lastEvent uint64
}

// NewAttemptReport returns an outcome; text holds the events after the attempt's
// lastEvent one, last the id of the newest.
func NewAttemptReport(number uint64, end AttemptStatus, text []byte, last uint64) AttemptReport {
	return AttemptReport{number: number, status: end, text: text, lastEvent: last}
}

// Number identifies the attempt.
func (o AttemptReport) Number() uint64 { return o.number }

// Status tells how it ended.
func (o AttemptReport) Status() AttemptStatus { return o.status }

// itemKey finds an item.
type itemKey struct {
	job  string
	item int
}

// jobRow is a job with items to start.
type jobRow struct {
	due      time.Time
	expiry   time.Time
	attempts int
	next     int   // first item that was never started
	again    []int // items to start again, before others
	missing  time.Time
}

// progressRow is what earlier attempts of an item led to. The output up to the
// event saved is in the ledger; text follows it.
type progressRow struct {
	text     []byte
	last     uint64
	saved    uint64
	failures int
	notUntil time.Time
}

// runningRow is an attempt under way.
type runningRow struct {
	key      itemKey
	backend  string
	started  time.Time
	stopping bool
	silent   bool // stopped since nothing came
	watch    progress.IdleTimer
	last     uint64 // event after which it goes on
	lead     uint64 // the time of leading that started it
}

// pauseRow keeps items away from a server.
type pauseRow struct {
	until time.Time
	count int // rounds in a row in which the server did not work
}
