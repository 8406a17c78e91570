// Package entry routes online requests that were sent without a key with which
// their answers could be fetched later. Only the caller's open connection can
// receive the answer, so the answer is not stored. The world chooses backend
// servers, retries retryable requests and rejects requests that cannot be served
// in time.
package entry

import (
	"time"

	"papayaquay/core/member"
	"papayaquay/core/progress"
	"papayaquay/core/quarantine"
	"papayaquay/core/usage"
)

// Request is the part of an online request that routing needs.
type Request struct {
	id            string
	service       string
	retryable     bool
	resumable     bool
	maxAttempts   int
	arrived       time.Time
	deadline      time.Time
	reserveTokens int
	prompt        quarantine.Prompt
	begunBy       string
	isTakenUp     bool
}

// RequestOption sets optional fields of a request.
type RequestOption func(*Request)

// WithReservation allows a slot to be reserved for the request, with room for the
// given number of tokens.
func WithReservation(tokens int) RequestOption { return func(r *Request) { r.reserveTokens = tokens } }

// WithSharedParts sets the parts of the prompt that other requests share.
func WithSharedParts(parts quarantine.Prompt) RequestOption {
	return func(r *Request) { r.prompt = append(r.prompt, parts...) }
}

// WithContent identifies the request by its target and its body, which are the same when its
// caller sends it again.
func WithContent(target string, body []byte) RequestOption {
	return func(r *Request) {
		r.prompt = append(quarantine.Prompt{quarantine.NewRequestPart(r.service, target, body)}, r.prompt...)
	}
}

// WithBegunStream says that the request takes up a stream of which its caller has a part, and
// the id of the request that began it, empty if the caller did not name it.
func WithBegunStream(begunBy string) RequestOption {
	return func(r *Request) { r.begunBy, r.isTakenUp = begunBy, true }
}

// NewRequest returns a request for a service. id is the caller's id and is only
// logged. A retryable request may run more than once. A resumable request may
// continue on another server after a part of its answer was sent. maxAttempts is
// the maximum number of servers that may run it. deadline is the time by which
// the caller must have an answer.
func NewRequest(id, service string, retryable, resumable bool, maxAttempts int, arrived, deadline time.Time, options ...RequestOption) Request {
	r := Request{id: id, service: service, retryable: retryable, resumable: resumable, maxAttempts: max(maxAttempts, 1),
		arrived: arrived, deadline: deadline}
	for _, option := range options {
		option(&r)
	}
	return r
}

// ID returns the caller's id of the request.
func (r Request) ID() string { return r.id }

// Deadline returns when the caller must have an answer.
func (r Request) Deadline() time.Time { return r.deadline }

// ReserveTokens returns the number of tokens to reserve room for, 0 if no slot
// may be reserved.
func (r Request) ReserveTokens() int { return r.reserveTokens }

// Service returns the service that runs the request.
func (r Request) Service() string { return r.service }

// Action is the next step for a request.
type Action uint8

// Actions.
const (
	ActionSend   Action = iota + 1 // send it to a backend server
	ActionReject                   // reject it: it has not run and will not run
	ActionFail                     // fail it: it may have run and has no answer
)

// Decision is the next step for a request and its parameters.
type Decision struct {
	action      Action
	number      uint64
	backend     member.Backend
	reserve     bool
	record      bool
	recordFirst bool
	attempt     int
	retryAfter  time.Duration
	reason      string
}

// Action returns the next step.
func (d Decision) Action() Action { return d.action }

// Number returns the number that identifies the request on this instance.
func (d Decision) Number() uint64 { return d.number }

// Backend returns the server of an ActionSend.
func (d Decision) Backend() member.Backend { return d.backend }

// Reserve reports whether a slot must be reserved before the request is sent.
// Without a reservation it must not be sent.
func (d Decision) Reserve() bool { return d.reserve }

// Record reports whether the version of the server must be recorded before its answer reaches
// the caller.
func (d Decision) Record() bool { return d.record }

// RecordFirst reports whether the record must be confirmed before the request is sent. Without
// it, it must not be sent.
func (d Decision) RecordFirst() bool { return d.recordFirst }

// Attempt returns the number of the attempt within the request, from 1 on.
func (d Decision) Attempt() int { return d.attempt }

// RetryAfter returns how long the caller should wait before it retries a rejected
// request, 0 if unknown.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }

// Reason returns why a request was rejected or failed.
func (d Decision) Reason() string { return d.reason }

// AttemptStatus is the way in which an attempt ended.
type AttemptStatus uint8

// Statuses of attempts.
const (
	AttemptAnswered    AttemptStatus = iota + 1 // the server's answer was sent to the caller
	AttemptUnreachable                          // no connection to the server; nothing was sent
	AttemptNotRun                               // the server reported that it did not run the request
	AttemptLost                                 // the request was sent, but no usable answer arrived
	AttemptInterrupted                          // the answer was cut short after a part was sent to the caller
	AttemptCallerGone                           // the caller disconnected or its deadline passed
	AttemptNoSlot                               // no slot could be reserved; nothing was sent
	AttemptUnrecorded                           // the version could not be recorded in time; nothing was sent
	AttemptAborted                              // its handler ended without a result; nobody waits for a decision
)

// String returns the name used in logs and metrics.
func (s AttemptStatus) String() string {
	names := [...]string{"unknown", "answered", "unreachable", "not run", "lost", "broken", "gone", "no slot", "not recorded", "aborted"}
	if int(s) >= len(names) {
		return names[0]
	}
	return names[s]
}

// LoadReport is the load and the state that a backend server reports in a response header.
type LoadReport struct {
	running        int
	waiting        int
	slots          int
	latencyPercent int
	idleTimeout    time.Duration
	limit          float64
	leaving        bool
}

// NewLoadReport returns a report of the number of running and waiting requests,
// the number of slots, and the current latency in percent of the usual latency.
func NewLoadReport(running, waiting, slots, latencyPercent int) LoadReport {
	return LoadReport{running: running, waiting: waiting, slots: slots, latencyPercent: latencyPercent}
}

// WithIdleTimeout returns a copy of the report with the time after which the
// server closes an idle connection, 0 if it did not report one.
func (l LoadReport) WithIdleTimeout(idleTimeout time.Duration) LoadReport {
	l.idleTimeout = idleTimeout
	return l
}

// WithLimit returns a copy of the report with the number of requests per second that the
// server takes from all instances together, 0 if it named none.
func (l LoadReport) WithLimit(perSecond float64) LoadReport {
	l.limit = perSecond
	return l
}

// WithLeaving returns a copy of the report that says whether the server is leaving.
func (l LoadReport) WithLeaving(leaving bool) LoadReport {
	l.leaving = leaving
	return l
}

// Leaving reports whether the server is leaving: it must get no new requests.
func (l LoadReport) Leaving() bool { return l.leaving }

// Limit returns the number of requests per second that the server takes from all instances
// together, 0 if it named none.
func (l LoadReport) Limit() float64 { return l.limit }

// Known reports whether the server sent a load report.
func (l LoadReport) Known() bool { return l.slots > 0 }

// requestRow is a request in progress.
type requestRow struct {
	request         Request
	decide          func(Decision)
	progress        *progress.Counter
	idle            progress.IdleTimer // of the current attempt
	abandon         func()             // ends the current attempt
	tried           []string           // servers of the earlier attempts
	startedAttempts int                // attempts that may have run
	rejections      int                // rejected reservations
	backend         string             // of the current attempt
	incarnation     uint64             // of the server of the current attempt
	version         string             // software version of the server of the current attempt
	recording       bool               // the version of the current attempt's server is recorded
	recorded        []string           // versions that earlier attempts recorded as the one that begins the answer
	stream          streamOrigin       // of the answer, once a part of it was sent to the caller
	answerBegan     bool               // a part of the answer's body arrived
	believedCrashed bool               // the server was believed to have crashed when the attempt started
	sentAt          time.Time
	headerAt        time.Time     // when the newest response header arrived
	stallTimeout    time.Duration // time without bytes after which the attempt counts as stalled
	abandoned       bool          // the current attempt was abandoned
}

// serverRow is the state of a backend server, derived from the requests of this
// entry instance.
type serverRow struct {
	inFlight     int
	load         LoadReport
	loadAt       time.Time
	failures     int // consecutive failures
	pausedUntil  time.Time
	idleFor      time.Duration // time since bytes arrived from it, measured by the last run of watch
	stalled      bool          // no attempt on it makes progress
	progressing  bool          // an attempt on it makes progress
	lastAnswerAt time.Time     // end of the last answer
	idleTimeout  time.Duration // after which it closes an idle connection, 0 if unknown
	sent         usage.Window  // requests sent to it
	limit        usage.Limit   // that its newest answer named
	limitSeenAt  time.Time     // time of this answer
	knownLimit   usage.Limit   // that this or another instance knew last
	limitedAt    time.Time     // when it was last known to have a limit
	soloAt       time.Time     // from when a request may be sent without knowledge of the others' requests
	leaving      uint64        // incarnation that said that it is leaving, 0 for none
	ejected      bool          // not used until a probe opens a connection
	probing      bool          // a probe is running
	address      string
	dataCentre   string
}
