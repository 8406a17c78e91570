// Package batch implements the state machine of the jobs ledger. A batch job is a
// list of opaque requests. A job id is accepted only once, and the position of a
// result never changes.
package batch

import "time"

// Header is an HTTP header of a request.
type Header struct {
	name  string
	value string
}

// NewHeader returns a header.
func NewHeader(name, value string) Header { return Header{name: name, value: value} }

// Name returns the header's name.
func (h Header) Name() string { return h.name }

// Value returns the header's value.
func (h Header) Value() string { return h.value }

// Item is one request of a job. It is passed to a backend server unchanged.
type Item struct {
	id      string
	path    string
	headers []Header
	body    []byte
	tokens  int
	rest    int // bytes of memory without the body
}

// Memory of an item and of a header beside their texts, in bytes: rows of tables that run items are part
// of it.
const (
	itemOverhead   = 512
	headerOverhead = 64
)

// NewItem returns an item. tokens is the number of tokens of its prompt plus the
// maximum number of tokens that it may generate.
func NewItem(id, path string, headers []Header, body []byte, tokens int) Item {
	rest := itemOverhead + len(id) + len(path)
	for _, h := range headers {
		rest += headerOverhead + len(h.name) + len(h.value)
	}
	return Item{id: id, path: path, headers: headers, body: body, tokens: tokens, rest: rest}
}

// Bytes returns the memory that the item takes.
func (i Item) Bytes() int { return i.rest + len(i.body) }

// ID returns the item's id.
func (i Item) ID() string { return i.id }

// Path returns the request's path.
func (i Item) Path() string { return i.path }

// Headers returns the request's headers.
func (i Item) Headers() []Header { return i.headers }

// Body returns the request's body, or nil once the item has a result.
func (i Item) Body() []byte { return i.body }

// Tokens returns the number of tokens that count towards the limit of the route's
// waiting tokens.
func (i Item) Tokens() int { return i.tokens }

// ItemStatus is the final status of an item. It is 0 while the item waits.
type ItemStatus uint8

// Item statuses.
const (
	ItemDone         ItemStatus = iota + 1 // the output is complete
	ItemDeadLettered                       // abandoned, the item will not run again
)

// Result is the final status and the output of an item.
type Result struct {
	item   int
	status ItemStatus
	text   []byte
}

// NewResult returns the result of the item with the given index in its job.
func NewResult(item int, status ItemStatus, text []byte) Result {
	return Result{item: item, status: status, text: text}
}

// Item returns the index of the item in its job.
func (r Result) Item() int { return r.item }

// Status returns the final status.
func (r Result) Status() ItemStatus { return r.status }

// Text returns the output.
func (r Result) Text() []byte { return r.text }

// JobSpec is a job as its client submitted it.
type JobSpec struct {
	id               string
	route            string
	host             string
	submitted        time.Time
	due              time.Time
	expiry           time.Time
	maxWaitingTokens int
	maxAttempts      int
	items            []Item
}

// JobSpecOption sets optional fields of a JobSpec.
type JobSpecOption func(*JobSpec)

// WithTimes sets when the job was submitted, when it is due and when its remaining
// items may be abandoned.
func WithTimes(submitted, due, expiry time.Time) JobSpecOption {
	return func(s *JobSpec) { s.submitted, s.due, s.expiry = submitted, due, expiry }
}

// WithLimits sets the maximum number of tokens that may wait on the route, 0 for no
// limit, and the number of failed attempts after which an item is dead-lettered.
func WithLimits(maxWaitingTokens, maxAttempts int) JobSpecOption {
	return func(s *JobSpec) { s.maxWaitingTokens, s.maxAttempts = maxWaitingTokens, maxAttempts }
}

// NewJobSpec returns a job for a route; host is the host of its requests.
func NewJobSpec(id, route, host string, items []Item, options ...JobSpecOption) JobSpec {
	s := JobSpec{id: id, route: route, host: host, items: items}
	for _, option := range options {
		option(&s)
	}
	return s
}

// ID returns the job's id.
func (s JobSpec) ID() string { return s.id }

// Route returns the name of the route.
func (s JobSpec) Route() string { return s.route }

// Host returns the host of the requests.
func (s JobSpec) Host() string { return s.host }

// Submitted returns when the job was submitted.
func (s JobSpec) Submitted() time.Time { return s.submitted }

// Due returns the time at which all results are due.
func (s JobSpec) Due() time.Time { return s.due }

// Expiry returns the time after which remaining items may be abandoned.
func (s JobSpec) Expiry() time.Time { return s.expiry }

// MaxWaitingTokens returns the maximum number of tokens that may wait on the route, 0
// for no limit.
func (s JobSpec) MaxWaitingTokens() int { return s.maxWaitingTokens }

// MaxAttempts returns the number of failed attempts after which an item is
// dead-lettered.
func (s JobSpec) MaxAttempts() int { return s.maxAttempts }

// Bytes returns the memory that the items take.
func (s JobSpec) Bytes() int {
	size := 0
	for _, item := range s.items {
		size += item.Bytes()
	}
	return size
}

// Items returns the items.
func (s JobSpec) Items() []Item { return s.items }
