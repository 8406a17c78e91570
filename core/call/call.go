// Package call sends calls of one instance to another one or to the leader of a
// ledger. It repeats them until they are answered or their deadline passes.
package call

import "time"

// Target is the receiver of a call.
type Target uint8

// Targets.
const (
	TargetInstance Target = iota + 1 // the instance with the given address
	TargetControl                    // the leader of the control ledger
	TargetJobs                       // the leader of the jobs ledger
)

// Kind is what a call asks for.
type Kind uint8

// Kinds of calls.
const (
	KindPropose       Kind = iota + 1 // apply an encoded command to the target's ledger
	KindPoll                          // changes of the directory and the configuration
	KindUsage                         // online load, to the leader of the jobs ledger
	KindCollect                       // online load of an entry instance, to a store instance that reports it to the leader
	KindDocument                      // the newest configuration document (linearizable)
	KindPage                          // results of a job
	KindBody                          // the body of an item
	KindRetire                        // empty an instance
	KindRetired                       // whether an instance was emptied
	KindEvidence                      // crashes of backend servers that one of the two instances does not know
	KindDocumentPart                  // a part of a configuration document
	KindStreamRecords                 // which versions begin streams
	KindStreamQuery                   // which version began a stream
)

// String returns the kind's name for logs and metrics.
func (k Kind) String() string {
	names := [...]string{"unknown", "propose", "follow", "usage", "collect", "document", "page", "body", "retire", "retired", "evidence", "document part", "stream records", "stream query"}
	if int(k) >= len(names) {
		return names[0]
	}
	return names[k]
}

// Status is the outcome of a call.
type Status uint8

// Statuses.
const (
	StatusDone     Status = iota + 1
	StatusRedirect        // not the leader; the reply may name it
	StatusUnknown         // the subject does not exist
	StatusRejected        // nothing was changed; a retry is pointless
	StatusTimeout         // no answer in time; the call may have been served
	StatusUnsent          // no answer in time and the call was never sent
)

// Call is one call of this instance.
type Call struct {
	kind     Kind
	target   Target
	address  string
	payload  []byte
	maxWait  time.Duration
	deadline time.Time
}

// Option sets optional fields of a call.
type Option func(*Call)

// WithAddress sets the receiver of a call with TargetInstance.
func WithAddress(address string) Option { return func(c *Call) { c.address = address } }

// WithMaxWait sets how long the receiver may wait for something new before it
// answers.
func WithMaxWait(maxWait time.Duration) Option { return func(c *Call) { c.maxWait = maxWait } }

// New returns a call. The caller encodes the payload.
func New(kind Kind, target Target, deadline time.Time, payload []byte, options ...Option) Call {
	c := Call{kind: kind, target: target, payload: payload, deadline: deadline}
	for _, option := range options {
		option(&c)
	}
	return c
}

// Kind returns what the call asks for.
func (c Call) Kind() Kind { return c.kind }

// Target returns the receiver of the call.
func (c Call) Target() Target { return c.target }

// Request is one attempt of a call as it is sent.
type Request struct {
	number  uint64
	kind    Kind
	maxWait time.Duration
	payload []byte
}

// NewRequest returns a request with the sender's number of the call.
func NewRequest(number uint64, kind Kind, maxWait time.Duration, payload []byte) Request {
	return Request{number: number, kind: kind, maxWait: maxWait, payload: payload}
}

// Number returns the sender's number of the call.
func (r Request) Number() uint64 { return r.number }

// Kind returns what the call asks for.
func (r Request) Kind() Kind { return r.kind }

// MaxWait returns how long the receiver may wait for something new before it
// answers.
func (r Request) MaxWait() time.Duration { return r.maxWait }

// Payload returns the encoded content.
func (r Request) Payload() []byte { return r.payload }

// Reply answers a request.
type Reply struct {
	number  uint64
	status  Status
	leader  string
	payload []byte
}

// NewReply returns a reply to the request with the given number.
func NewReply(number uint64, status Status, payload []byte) Reply {
	return Reply{number: number, status: status, payload: payload}
}

// NewRedirect returns the reply of an instance that does not lead the ledger;
// leader is the address of the leader, or "" if it is not known.
func NewRedirect(number uint64, leader string) Reply {
	return Reply{number: number, status: StatusRedirect, leader: leader}
}

// Number returns the number of the request.
func (r Reply) Number() uint64 { return r.number }

// Status returns the outcome of the call.
func (r Reply) Status() Status { return r.status }

// Leader returns the leader's address after a redirect, or "" if it is not
// known.
func (r Reply) Leader() string { return r.leader }

// Payload returns the encoded answer.
func (r Reply) Payload() []byte { return r.payload }
