// Package batch is the state machine of the jobs ledger: batch jobs of opaque
// requests, accepted once by their id, with results at positions that never
// move.
package batch

import "time"

// Header is one header of a request.
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

// Item is one request of a job, passed to a backend server as it is.
type Item struct {
	id      string
	path    string
	headers []Header
	body    []byte
	tokens  int
}

// NewItem returns an item; tokens is the sum of its prompt and the most tokens
// that it may generate.
func NewItem(id, path string, headers []Header, body []byte, tokens int) Item {
	return Item{id: id, path: path, headers: headers, body: body, tokens: tokens}
}

// ID returns the item's id.
func (i Item) ID() string { return i.id }

// Path returns the request's path.
func (i Item) Path() string { return i.path }

// Headers returns the request's headers.
func (i Item) Headers() []Header { return i.headers }

// ItemBody returns the request's body; nil once the item has a result.
func (i Item) Body() []byte { return i.body }

// Tokens returns the tokens that count against the bound on waiting work.
func (i Item) Tokens() int { return i.tokens }

// Status is the final state of an item.
type ItemStatus uint8

// Verdicts.
const (
	ItemDone         ItemStatus = iota + 1 // the whole output is there
	ItemDeadLettered                       // given up
)

// Result is the final state of an item at its position.
type Result struct {
	item   int
	status ItemStatus
	text   []byte
}

// NewResult returns the result of the item with the given index in its job.
func NewResult(item int, verdict ItemStatus, text []byte) Result {
	return Result{item: item, status: verdict, text: text}
}

// Item returns the index of the item.
func (r Result) Item() int { return r.item }

// Status returns the final state.
func (r Result) Status() ItemStatus { return r.status }

// Text returns the output.
func (r Result) Text() []byte { return r.text }

// JobSpec is a job as its client hands it in.
type JobSpec struct {
	id              string
	route           string
	host            string
	submitted       time.Time
	due             time.Time
	expiry          time.Time
	maxQueuedTokens int
	maxAttempts     int
	items           []Item
}

// JobSpecOption sets optional fields of an order.
type JobSpecOption func(*JobSpec)

// WithTimes sets when the job was submitted, when it is due and when its items
// may be given up.
func WithTimes(submitted, due, expiry time.Time) JobSpecOption {
	return func(o *JobSpec) { o.submitted, o.due, o.expiry = submitted, due, expiry }
}

// WithLimits sets how many tokens may wait on the route, 0 for no bound, and
// how often an item may fail.
func WithLimits(limit, attempts int) JobSpecOption {
	return func(o *JobSpec) { o.maxQueuedTokens, o.maxAttempts = limit, attempts }
}

// NewJobSpec returns an order for a route and the host of its requests.
func NewJobSpec(id, route, host string, items []Item, options ...JobSpecOption) JobSpec {
	o := JobSpec{id: id, route: route, host: host, items: items}
	for _, option := range options {
		option(&o)
	}
	return o
}

// ID returns the job's id.
func (o JobSpec) ID() string { return o.id }

// Route returns the route's name.
func (o JobSpec) Route() string { return o.route }

// Host returns the host of the requests.
func (o JobSpec) Host() string { return o.host }

// Submitted returns when the job was submitted.
func (o JobSpec) Submitted() time.Time { return o.submitted }

// Due returns when all results are due.
func (o JobSpec) Due() time.Time { return o.due }

// Expiry returns when items may be given up.
func (o JobSpec) Expiry() time.Time { return o.expiry }

// MaxQueuedTokens returns how many tokens may wait on the route, 0 for no bound.
func (o JobSpec) MaxQueuedTokens() int { return o.maxQueuedTokens }

// MaxAttempts returns how often an item may fail.
func (o JobSpec) MaxAttempts() int { return o.maxAttempts }

// Items returns the items.
func (o JobSpec) Items() []Item { return o.items }
