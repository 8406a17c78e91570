package control

import (
	"time"

	"papayaquay/core/config"
	"papayaquay/core/home"
	"papayaquay/core/ledger"
)

// CallKind is the operation that a call requests from a ledger's leader.
type CallKind uint8

// Call kinds.
const (
	CallApply   CallKind = iota + 1 // commit a home command
	CallLookup                      // read the answer to a key
	CallClaim                       // request the right to run the request of a key
	CallJob                         // read a job's status
	CallResults                     // read a page of item answers
	CallChange                      // commit a configuration change
	CallHistory                     // read the newest configuration events
)

// Call is a request to the leader of a ledger. It may be sent more than once,
// because all kinds of calls are idempotent.
type Call struct {
	kind     CallKind
	ledger   ledger.ID
	command  home.Command
	change   config.Change
	key      home.Key
	claimant string
	wait     bool
	from     int
	limit    int
	deadline time.Time
}

// CallOption sets optional fields of a call.
type CallOption func(*Call)

// WithCommand sets the home command of CallApply.
func WithCommand(command home.Command) CallOption { return func(c *Call) { c.command = command } }

// WithChange sets the change of CallChange.
func WithChange(change config.Change) CallOption { return func(c *Call) { c.change = change } }

// WithKey sets the request or job key.
func WithKey(key home.Key) CallOption { return func(c *Call) { c.key = key } }

// WithClaimant sets the attempt that claims a key, and whether the call waits
// while another attempt holds the claim.
func WithClaimant(claimant string, wait bool) CallOption {
	return func(c *Call) { c.claimant, c.wait = claimant, wait }
}

// WithWait sets whether CallLookup waits for the answer of a running request.
func WithWait(wait bool) CallOption { return func(c *Call) { c.wait = wait } }

// WithPage sets the page of CallResults (first position and maximum length) and
// the maximum length of CallHistory.
func WithPage(from, limit int) CallOption {
	return func(c *Call) { c.from, c.limit = from, limit }
}

// NewCall returns a call that fails at the deadline if it has no result.
func NewCall(kind CallKind, ledger ledger.ID, deadline time.Time, options ...CallOption) Call {
	c := Call{kind: kind, ledger: ledger, deadline: deadline}
	for _, option := range options {
		option(&c)
	}
	return c
}

// Kind returns the requested operation.
func (c Call) Kind() CallKind { return c.kind }

// Ledger returns the ledger whose leader serves the call.
func (c Call) Ledger() ledger.ID { return c.ledger }

// Command returns the home command of CallApply.
func (c Call) Command() home.Command { return c.command }

// Change returns the change of CallChange.
func (c Call) Change() config.Change { return c.change }

// Key returns the request or job key.
func (c Call) Key() home.Key { return c.key }

// Claimant returns the attempt that claims the key.
func (c Call) Claimant() string { return c.claimant }

// Wait reports whether the call waits for a running request.
func (c Call) Wait() bool { return c.wait }

// From returns the first position of a page.
func (c Call) From() int { return c.from }

// Limit returns the maximum length of a page.
func (c Call) Limit() int { return c.limit }

// Deadline returns the time at which the call fails if it has no result.
func (c Call) Deadline() time.Time { return c.deadline }

// Result is the result of a call.
type Result struct {
	err            error
	reply          home.Reply
	changeResult   config.ChangeResult
	events         []config.Event
	claimedByOther bool
	redirect       bool   // this instance is not the leader, see CallResponse
	leader         string // leader of the ledger, if known
}

// redirect returns the result of a call to an instance that is not the leader.
func redirect(leader string) Result { return Result{redirect: true, leader: leader} }

// ResultOption sets fields of a result.
type ResultOption func(*Result)

// WithReply sets the reply of a home ledger.
func WithReply(reply home.Reply) ResultOption { return func(r *Result) { r.reply = reply } }

// WithChangeResult sets the result of a configuration change.
func WithChangeResult(result config.ChangeResult) ResultOption {
	return func(r *Result) { r.changeResult = result }
}

// WithEvents sets the configuration history.
func WithEvents(events []config.Event) ResultOption { return func(r *Result) { r.events = events } }

// WithClaimedByOther sets whether another attempt holds the claim.
func WithClaimedByOther(other bool) ResultOption {
	return func(r *Result) { r.claimedByOther = other }
}

// NewResult returns a result. err is nil, an error of the package outcome or an
// encoding error.
func NewResult(err error, options ...ResultOption) Result {
	r := Result{err: err}
	for _, option := range options {
		option(&r)
	}
	return r
}

// Err returns why the call failed, or nil.
func (r Result) Err() error { return r.err }

// Reply returns the reply of a home ledger.
func (r Result) Reply() home.Reply { return r.reply }

// ChangeResult returns the result of a configuration change.
func (r Result) ChangeResult() config.ChangeResult { return r.changeResult }

// Events returns the configuration history, newest first.
func (r Result) Events() []config.Event { return r.events }

// ClaimedByOther reports whether another attempt holds the claim.
func (r Result) ClaimedByOther() bool { return r.claimedByOther }
