// Package entry decides for online requests without a key: the connection is
// the only reader of the answer, so nothing of it is stored. The world chooses
// backend servers, repeats what may be repeated and refuses what cannot be
// served in time.
package entry

import (
	"time"

	"papayaquay/core/member"
	"papayaquay/core/progress"
)

// Request is an online request as the traffic thread sees it.
type Request struct {
	id            string
	service       string
	repeatable    bool
	resumable     bool
	attempts      int
	arrived       time.Time
	deadline      time.Time
	reserveTokens int
}

// RequestOption sets optional fields of a request.
type RequestOption func(*Request)

// WithReservation tells that a slot may be reserved for the request, with room
// for so many tokens.
func WithReservation(tokens int) RequestOption { return func(r *Request) { r.reserveTokens = tokens } }

// NewRequest returns a request for a service. id is the caller's and only
// logged; a repeatable request may run more than once, a resumable one may go on
// at another server after a part of its answer; attempts bounds the servers that
// may run it; deadline is when the caller must have an answer.
func NewRequest(id, service string, repeatable, resumable bool, attempts int, arrived, deadline time.Time, options ...RequestOption) Request {
	r := Request{id: id, service: service, repeatable: repeatable, resumable: resumable, attempts: max(attempts, 1),
		arrived: arrived, deadline: deadline}
	for _, option := range options {
		option(&r)
	}
	return r
}

// ID returns the caller's id of the request.
func (r Request) ID() string { return r.id }

// ReserveTokens returns the tokens to reserve room for, 0 where nothing is reserved.
func (r Request) ReserveTokens() int { return r.reserveTokens }

// Service returns the service to run it.
func (r Request) Service() string { return r.service }

// Action is what to do with a request.
type Action uint8

// Actions.
const (
	ActionSend   Action = iota + 1 // send it to a backend server
	ActionRefuse                   // it has not run and will not run
	ActionFail                     // it may have run and has no answer
)

// Decision is the next step of a request.
type Decision struct {
	action     Action
	number     uint64
	backend    member.Backend
	reserve    bool
	retryAfter time.Duration
	reason     string
}

// Action returns what to do.
func (d Decision) Action() Action { return d.action }

// Number identifies the request on this instance.
func (d Decision) Number() uint64 { return d.number }

// Backend returns the server of an ActionSend.
func (d Decision) Backend() member.Backend { return d.backend }

// Reserve tells to reserve a slot first, and to send nothing without one.
func (d Decision) Reserve() bool { return d.reserve }

// RetryAfter returns after what time a refused request may be sent again, 0 if
// unknown.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }

// Reason says why a request was refused or failed.
func (d Decision) Reason() string { return d.reason }

// End tells how an attempt ended.
type End uint8

// Ends of attempts.
const (
	EndAnswered    End = iota + 1 // the server's answer went to the caller
	EndUnreachable                // no connection to the server, nothing was sent
	EndNotRun                     // the server said that it did not run the request
	EndLost                       // sent, but no usable answer came
	EndInterrupted                // the answer broke off after a part went to the caller
	EndCallerGone                 // the caller left or its time is over
	EndNoSlot                     // no slot could be reserved, nothing was sent
)

// String returns the end's name for logs.
func (e End) String() string {
	names := [...]string{"unknown", "answered", "unreachable", "not run", "lost", "broken", "gone", "no slot"}
	if int(e) >= len(names) {
		return names[0]
	}
	return names[e]
}

// LoadReport is what a backend server says of itself in an answer.
type LoadReport struct {
	running     int
	waiting     int
	slots       int
	pace        int
	idleTimeout time.Duration
}

// NewLoadReport returns a report: requests running and waiting, slots, and how long
// work takes now in percent of the usual.
func NewLoadReport(running, waiting, slots, pace int) LoadReport {
	return LoadReport{running: running, waiting: waiting, slots: slots, pace: pace}
}

// WithIdleTimeout returns the report with how long the server keeps an idle connection,
// 0 if it did not say.
func (l LoadReport) WithIdleTimeout(kept time.Duration) LoadReport {
	l.idleTimeout = kept
	return l
}

// Known reports whether the server sent a report.
func (l LoadReport) Known() bool { return l.slots > 0 }

// requestRow is a request under way.
type requestRow struct {
	request  Request
	decide   func(Decision)
	progress *progress.Counter
	watch    progress.IdleTimer // of the current attempt
	abandon  func()             // ends the current attempt
	tried    []string           // servers that refused or lost it
	runs     int                // attempts that may have run
	refusals int                // reservations that were refused
	backend  string             // of the current attempt
	sentAt   time.Time
	headAt   time.Time     // of the newest answer's head
	patience time.Duration // without bytes before the attempt counts as silent
	left     bool          // the attempt was abandoned
}

// serverRow is what this entry knows of a backend server by its own requests.
type serverRow struct {
	inFlight int
	load     LoadReport
	loadAt   time.Time
	failures int // in a row
	paused   time.Time
	quiet    time.Duration // since bytes came from it, as of the last look
	silent   bool          // no attempt there makes progress
	alive    bool          // some attempt there makes progress
	usedAt   time.Time     // end of the last answer
	kept     time.Duration // how long it keeps an idle connection, 0 if unknown
	suspect  bool          // out of use until a connection can be opened
	probing  bool          // a connection is being opened
	address  string
	zone     string
}
