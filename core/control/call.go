package control

import (
	"time"

	"papayaquay/core/config"
	"papayaquay/core/home"
	"papayaquay/core/ledger"
)

// CallKind tells what a call asks of a ledger's leader.
type CallKind uint8

// Call kinds.
const (
	CallApply   CallKind = iota + 1 // commit a home command
	CallLookup                      // read the answer to a key
	CallClaim                       // ask for the right to run a key
	CallJob                         // read a job's status
	CallResults                     // read a page of item answers
	CallChange                      // commit a configuration change
	CallHistory                     // read the newest configuration events
)

// Call is a request to the leader of a ledger. It may be sent more than once;
// every kind of call gives the same result when repeated.
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

// WithClaimant names the attempt that claims a key, and whether to wait while
// another one holds the claim.
func WithClaimant(claimant string, wait bool) CallOption {
	return func(c *Call) { c.claimant, c.wait = claimant, wait }
}

// WithWait makes CallLookup wait for the answer of a running request.
func WithWait(wait bool) CallOption { return func(c *Call) { c.wait = wait } }

// WithPage bounds CallResults and CallHistory.
func WithPage(from, limit int) CallOption {
	return func(c *Call) { c.from, c.limit = from, limit }
}

// NewCall returns a call that must be answered before deadline.
func NewCall(kind CallKind, ledger ledger.ID, deadline time.Time, options ...CallOption) Call {
	c := Call{kind: kind, ledger: ledger, deadline: deadline}
	for _, option := range options {
		option(&c)
	}
	return c
}

// Kind returns what the call asks for.
func (c Call) Kind() CallKind { return c.kind }

// Ledger returns the ledger whose leader answers.
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

// Limit returns the greatest length of a page.
func (c Call) Limit() int { return c.limit }

// Deadline returns when the caller gives up.
func (c Call) Deadline() time.Time { return c.deadline }

// Result is the answer to a call.
type Result struct {
	err            error
	reply          home.Reply
	changeResult   config.ChangeResult
	events         []config.Event
	claimedByOther bool
	redirect       bool   // not led here, see Backward
	leader         string // where to ask instead
}

// redirect returns the result of a call that is not served here.
func redirect(leader string) Result { return Result{redirect: true, leader: leader} }

// ResultOption sets fields of a result.
type ResultOption func(*Result)

// WithReply sets the reply of a home ledger.
func WithReply(reply home.Reply) ResultOption { return func(r *Result) { r.reply = reply } }

// WithChangeResult sets the answer to a configuration change.
func WithChangeResult(verdict config.ChangeResult) ResultOption {
	return func(r *Result) { r.changeResult = verdict }
}

// WithEvents sets the configuration history.
func WithEvents(events []config.Event) ResultOption { return func(r *Result) { r.events = events } }

// WithClaimedByOther marks a claim that another attempt holds.
func WithClaimedByOther(elsewhere bool) ResultOption {
	return func(r *Result) { r.claimedByOther = elsewhere }
}

// NewResult returns a result; err is one of the outcome package's errors.
func NewResult(err error, options ...ResultOption) Result {
	r := Result{err: err}
	for _, option := range options {
		option(&r)
	}
	return r
}

// Err returns why there is no result, or nil.
func (r Result) Err() error { return r.err }

// Reply returns the reply of a home ledger.
func (r Result) Reply() home.Reply { return r.reply }

// ChangeResult returns the answer to a configuration change.
func (r Result) ChangeResult() config.ChangeResult { return r.changeResult }

// Events returns the configuration history, newest first.
func (r Result) Events() []config.Event { return r.events }

// ClaimedByOther reports that another attempt holds the claim.
func (r Result) ClaimedByOther() bool { return r.claimedByOther }
