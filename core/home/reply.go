package home

import "papayaquay/core/outcome"

// Reply is the result of a command or a read.
type Reply struct {
	code      outcome.Code
	reason    string
	answer    Answer
	status    JobStatus
	leased    []LeasedItem
	cancelled []Key
	results   []Completion
	count     int
}

// ReplyOption sets optional fields of a reply.
type ReplyOption func(*Reply)

// WithStoredAnswer sets the answer that is stored for the key.
func WithStoredAnswer(answer Answer) ReplyOption { return func(r *Reply) { r.answer = answer } }

// WithStatus sets the job's status.
func WithStatus(status JobStatus) ReplyOption { return func(r *Reply) { r.status = status } }

// WithLeased sets the leased items.
func WithLeased(leased []LeasedItem) ReplyOption { return func(r *Reply) { r.leased = leased } }

// WithCancelled sets the cancelled jobs of which the owner still holds items.
func WithCancelled(jobs []Key) ReplyOption { return func(r *Reply) { r.cancelled = jobs } }

// WithResults sets a page of item answers.
func WithResults(results []Completion) ReplyOption { return func(r *Reply) { r.results = results } }

// WithCount sets a count.
func WithCount(count int) ReplyOption { return func(r *Reply) { r.count = count } }

// NewReply returns a reply. OK means done, Pending that the key was started
// before, Refused that the command does not fit the state for the reason given.
func NewReply(code outcome.Code, reason string, options ...ReplyOption) Reply {
	r := Reply{code: code, reason: reason}
	for _, option := range options {
		option(&r)
	}
	return r
}

// Code returns whether the command was done.
func (r Reply) Code() outcome.Code { return r.code }

// Reason explains a code other than OK.
func (r Reply) Reason() string { return r.reason }

// Answer returns the stored answer; its code is Pending when there is none.
func (r Reply) Answer() Answer { return r.answer }

// Status returns the job's status.
func (r Reply) Status() JobStatus { return r.status }

// LeasedItem returns the items handed to the owner.
func (r Reply) Leased() []LeasedItem { return r.leased }

// Cancelled returns the cancelled jobs of which the owner still holds items.
func (r Reply) Cancelled() []Key { return r.cancelled }

// Results returns a page of item answers.
func (r Reply) Results() []Completion { return r.results }

// Count returns the crash count of CommandCountCrash or the number of new answers.
func (r Reply) Count() int { return r.count }
