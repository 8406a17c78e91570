package traffic

import (
	"context"
	"time"

	"papayaquay/core/home"
	"papayaquay/core/outcome"

	"github.com/cockroachdb/errors"
)

// Request is an online request of a caller.
type Request struct {
	key             home.Key
	service         string
	prompt          string
	maxTokens       int
	atMostOnce      bool
	hasGeneratedKey bool // this system generated the key, so that no caller can resend it
	deadline        time.Time
	trace           context.Context
}

// RequestOption sets optional fields of a request.
type RequestOption func(*Request)

// WithAtMostOnce sets whether the request must run at most once.
func WithAtMostOnce(once bool) RequestOption { return func(r *Request) { r.atMostOnce = once } }

// WithGeneratedKey sets whether this system generated the key.
func WithGeneratedKey(generated bool) RequestOption {
	return func(r *Request) { r.hasGeneratedKey = generated }
}

// WithTrace sets the context that carries the request's span.
func WithTrace(trace context.Context) RequestOption { return func(r *Request) { r.trace = trace } }

// NewRequest returns a request. maxTokens is the maximum number of generated tokens.
func NewRequest(key home.Key, service, prompt string, maxTokens int, deadline time.Time, options ...RequestOption) Request {
	r := Request{key: key, service: service, prompt: prompt, maxTokens: maxTokens, deadline: deadline, trace: context.Background()}
	for _, option := range options {
		option(&r)
	}
	return r
}

// Key returns the request key.
func (r Request) Key() home.Key { return r.key }

// Service returns the name of the service.
func (r Request) Service() string { return r.service }

// Prompt returns the input text.
func (r Request) Prompt() string { return r.prompt }

// MaxTokens returns the maximum number of generated tokens.
func (r Request) MaxTokens() int { return r.maxTokens }

// AtMostOnce reports whether the request must run at most once.
func (r Request) AtMostOnce() bool { return r.atMostOnce }

// HasGeneratedKey reports whether this system generated the key.
func (r Request) HasGeneratedKey() bool { return r.hasGeneratedKey }

// Deadline returns the time after which the caller no longer waits.
func (r Request) Deadline() time.Time { return r.deadline }

// Trace returns the context that carries the request's span.
func (r Request) Trace() context.Context { return r.trace }

// markEarlierCall returns err, the error of a request that ends before the home ledger of
// the key replied. If an earlier call with the same key may have run at-most-once work, it
// marks err as outcome.ErrEarlierCallUnknown, so that err does not claim that nothing ran.
func (r Request) markEarlierCall(err error) error {
	if r.atMostOnce && !r.hasGeneratedKey {
		return errors.Mark(err, outcome.ErrEarlierCallUnknown)
	}
	return err
}

// EventKind is the kind of an event.
type EventKind uint8

// Event kinds.
const (
	EventText   EventKind = iota + 1 // new text
	EventAnswer                      // the stored answer
	EventError                       // no answer
)

// Event is a message to the caller of a request.
type Event struct {
	kind      EventKind
	text      string
	answer    home.Answer
	replaced  bool // the answer differs from the streamed text
	localOnly bool // so far, the answer is stored in this data centre only
	err       error
}

// Kind returns the kind of the event.
func (e Event) Kind() EventKind { return e.kind }

// Text returns the text that follows the text streamed so far.
func (e Event) Text() string { return e.text }

// Answer returns the stored answer of an EventAnswer.
func (e Event) Answer() home.Answer { return e.answer }

// Replaced reports whether Answer comes from another attempt and replaces the text
// streamed so far.
func (e Event) Replaced() bool { return e.replaced }

// LocalOnly reports whether the answer is so far stored in this data centre only.
func (e Event) LocalOnly() bool { return e.localOnly }

// Err returns the error of an EventError, one of the errors of package outcome.
func (e Event) Err() error { return e.err }

// phase is the current step in the processing of a request.
type phase uint8

const (
	phaseStarting      phase = iota + 1 // waits until the start of an at-most-once request is durable
	phaseQueued                         // waits for a free slot
	phaseRunning                        // has a running attempt
	phaseAwaitingClaim                  // waits for the claim, or for the answer of the attempt that holds it
	phaseCountingCrash                  // waits until the crash count is stored
	phaseStoring                        // waits until its answer is durable
)

// claimState is the state of the claim on a key. A claim is the right to run the key, which
// its home ledger grants to one attempt at a time.
type claimState uint8

const (
	claimNone    claimState = iota // the request needs no claim
	claimPending                   // the home ledger has not replied yet
	claimSettled                   // granted, or the home ledger did not reply in time
)

// requestRow is a request in progress.
type requestRow struct {
	request    Request
	sink       func(Event)
	item       uint64 // number of the batch item, 0 for an online request
	backend    string // backend server that must run the batch item
	phase      phase
	claim      claimState
	acceptedAt time.Time
	queuedAt   time.Time

	text           string // text of the earlier attempts and the winner
	tokens         int
	sentBytes      int      // bytes of text sent to the caller
	winner         uint64   // attempt that produced the first token, 0 for none
	attempts       []uint64 // running attempts
	failedBackends []string // backend servers of failed attempts
	attemptCount   int      // attempts that may have run
	crashCount     int
	hedged         bool
	answer         home.Answer
}

// fingerprint returns the fingerprint of the request's content, which does not depend on
// its key.
func (r *requestRow) fingerprint() uint64 { return Fingerprint(r.request.service, r.request.prompt) }

// noAnswerError returns the error of a request that ends without an answer. It depends on
// whether an attempt may have run on a backend server.
func (r *requestRow) noAnswerError() error {
	if r.attemptCount > 0 {
		return outcome.ErrUnknown
	}
	return r.request.markEarlierCall(outcome.ErrNotRun)
}
