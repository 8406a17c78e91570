package traffic

import (
	"context"
	"time"

	"papayaquay/core/home"
	"papayaquay/core/outcome"

	"github.com/cockroachdb/errors"
)

// Request is an online request as a caller made it.
type Request struct {
	key        home.Key
	service    string
	prompt     string
	maxTokens  int
	atMostOnce bool
	generated  bool // the key was made by this system, nobody can resend it
	deadline   time.Time
	trace      context.Context
}

// RequestOption sets optional fields of a request.
type RequestOption func(*Request)

// WithAtMostOnce marks a request that must not be repeated.
func WithAtMostOnce(once bool) RequestOption { return func(r *Request) { r.atMostOnce = once } }

// WithGeneratedKey marks a key that this system made.
func WithGeneratedKey(generated bool) RequestOption {
	return func(r *Request) { r.generated = generated }
}

// WithTrace sets the context that carries the request's span.
func WithTrace(trace context.Context) RequestOption { return func(r *Request) { r.trace = trace } }

// NewRequest returns a request; maxTokens bounds the generated text.
func NewRequest(key home.Key, service, prompt string, maxTokens int, deadline time.Time, options ...RequestOption) Request {
	r := Request{key: key, service: service, prompt: prompt, maxTokens: maxTokens, deadline: deadline, trace: context.Background()}
	for _, option := range options {
		option(&r)
	}
	return r
}

// Key returns the request key.
func (r Request) Key() home.Key { return r.key }

// Service returns the service that answers.
func (r Request) Service() string { return r.service }

// Prompt returns the input text.
func (r Request) Prompt() string { return r.prompt }

// MaxTokens returns the bound on generated tokens.
func (r Request) MaxTokens() int { return r.maxTokens }

// AtMostOnce reports whether the request must not be repeated.
func (r Request) AtMostOnce() bool { return r.atMostOnce }

// HasGeneratedKey reports whether this system made the key.
func (r Request) HasGeneratedKey() bool { return r.generated }

// Deadline returns when the caller gives up.
func (r Request) Deadline() time.Time { return r.deadline }

// Trace returns the context that carries the request's span.
func (r Request) Trace() context.Context { return r.trace }

// doubt returns the error for a refusal before the key's home ledger was heard.
// An earlier call with the caller's key may have run work that must not be
// repeated, so that "not run" cannot be said.
func (r Request) doubt(err error) error {
	if r.atMostOnce && !r.generated {
		return errors.Mark(err, outcome.ErrEarlierCallUnknown)
	}
	return err
}

// EventKind tells what an event reports.
type EventKind uint8

// Event kinds.
const (
	EventText   EventKind = iota + 1 // more text
	EventAnswer                      // the stored answer
	EventError                       // no answer
)

// Event is reported to the caller of a request.
type Event struct {
	kind     EventKind
	text     string
	answer   home.Answer
	replaced bool // the answer is not the streamed text
	local    bool // stored in this data centre only so far
	err      error
}

// Kind returns what the event reports.
func (e Event) Kind() EventKind { return e.kind }

// AttemptText returns the next piece of text.
func (e Event) Text() string { return e.text }

// Answer returns the stored answer of an EventAnswer.
func (e Event) Answer() home.Answer { return e.answer }

// Replaced reports that Answer is another attempt's and replaces the text
// streamed so far.
func (e Event) Replaced() bool { return e.replaced }

// LocalOnly reports that the answer is stored in this data centre only so far.
func (e Event) LocalOnly() bool { return e.local }

// Err returns the error of an EventError, one of the outcome package's.
func (e Event) Err() error { return e.err }

// phase is how far a request is.
type phase uint8

const (
	phaseStarting  phase = iota + 1 // waits for the durable start of a request not to be repeated
	phaseQueued                     // waits for a slot
	phaseRunning                    // has an attempt
	phaseWaiting                    // another attempt holds the claim
	phaseSuspected                  // waits for the crash count to be stored
	phaseStoring                    // has its answer, waits for it to be durable
)

// claimState is what is known of the claim on a key.
type claimState uint8

const (
	claimNone    claimState = iota // not needed
	claimAsked                     // no reply yet
	claimGranted                   // ours, or not to be had in time
)

// requestRow is one request in progress.
type requestRow struct {
	request  Request
	sink     func(Event)
	item     uint64 // number of the batch item, 0 for an online request
	backend  string // where a batch item must run
	phase    phase
	claim    claimState
	accepted time.Time
	queued   time.Time

	text     string // of the attempt that leads
	tokens   int
	sent     int // bytes of text passed to the caller
	leading  uint64
	attempts []uint64
	tried    []string // backend servers of failed attempts
	tries    int
	crashes  int
	hedged   bool
	answer   home.Answer
}

// fingerprint identifies the content of a request, whatever its key.
func (r *requestRow) fingerprint() uint64 { return Fingerprint(r.request.service, r.request.prompt) }

// refusal returns the error of a request that ends without an answer, given
// whether an attempt may have reached a backend server.
func (r *requestRow) refusal() error {
	if r.tries > 0 {
		return outcome.ErrUnknown
	}
	return r.request.doubt(outcome.ErrNotRun)
}
