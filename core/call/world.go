package call

import (
	"time"

	"papayaquay/core/table"
)

// Timing of repeated calls.
const (
	attemptTimeout = 500 * time.Millisecond // until the call is repeated, in addition to its maximum wait
	redirectDelay  = 40 * time.Millisecond  // after a redirect that names no leader
	avoidDuration  = time.Second            // how long an address that did not answer is avoided, if there is another one
)

// callRow is a pending call.
type callRow struct {
	call           Call
	done           func(Reply)
	pendingAddress string // address of the present attempt; empty between attempts
	attemptDue     time.Time
	sent           bool
	leaderHint     string // leader that the last redirect named
	rotation       int    // counter that selects the next member
}

// Outgoing is a request to be sent.
type Outgoing struct {
	address string
	request Request
}

// Address returns the receiver's peer address.
func (o Outgoing) Address() string { return o.address }

// Request returns the request.
func (o Outgoing) Request() Request { return o.request }

// World holds the calls of one instance. It belongs to the control thread.
type World struct {
	rows       *table.Table[uint64, callRow]
	lastNumber uint64
	avoidUntil map[string]time.Time
	locate     func(Target) (leader string, members []string)
	outgoing   []Outgoing
}

// WorldOption sets an optional parameter of a world.
type WorldOption func(*World)

// WithFirstNumber sets the number that precedes that of the first call. It must differ
// between the lifetimes of an instance by more than the calls of one, since a reply to a call
// of an earlier lifetime may still arrive.
func WithFirstNumber(number uint64) WorldOption { return func(w *World) { w.lastNumber = number } }

// NewWorld returns a world without calls. locate returns the leader of a
// target's ledger, if it is known, and the instances that may know it.
func NewWorld(locate func(Target) (leader string, members []string), options ...WorldOption) *World {
	w := &World{rows: table.New[uint64, callRow](), avoidUntil: make(map[string]time.Time), locate: locate}
	for _, option := range options {
		option(w)
	}
	return w
}

// Start begins a call. done is called once, on the control thread.
func (w *World) Start(now time.Time, c Call, done func(Reply)) {
	w.lastNumber++
	w.sendAttempt(now, w.lastNumber, w.rows.Put(w.lastNumber, callRow{call: c, done: done}))
}

// sendAttempt sends the call to the instance that chooseAddress returns.
func (w *World) sendAttempt(now time.Time, number uint64, r *callRow) {
	r.pendingAddress = w.chooseAddress(now, r)
	if r.pendingAddress == "" {
		r.attemptDue = now.Add(redirectDelay)
		return
	}
	r.sent = true
	r.attemptDue = now.Add(r.call.maxWait + attemptTimeout)
	w.outgoing = append(w.outgoing, Outgoing{address: r.pendingAddress, request: NewRequest(number, r.call.kind, r.call.maxWait, r.call.payload)})
}

// chooseAddress returns the address for the next attempt: the leader of the last
// redirect, else the known leader, else the members in turn. Addresses that did
// not answer recently come last.
func (w *World) chooseAddress(now time.Time, r *callRow) string {
	if r.call.target == TargetInstance {
		return r.call.address
	}
	leader, members := w.locate(r.call.target)
	for _, candidate := range []string{r.leaderHint, leader} {
		if candidate != "" && !now.Before(w.avoidUntil[candidate]) {
			return candidate
		}
	}
	for range members {
		r.rotation++
		if candidate := members[r.rotation%len(members)]; !now.Before(w.avoidUntil[candidate]) {
			return candidate
		}
	}
	if len(members) == 0 {
		return leader
	}
	r.rotation++
	return members[r.rotation%len(members)]
}

// Receive handles a reply.
func (w *World) Receive(now time.Time, from string, reply Reply) {
	delete(w.avoidUntil, from)
	r := w.rows.Get(reply.number)
	if r == nil {
		return
	}
	if reply.status != StatusRedirect {
		w.finish(reply.number, r, reply)
		return
	}
	if r.call.target == TargetInstance {
		w.finish(reply.number, r, reply)
		return
	}
	r.leaderHint, r.pendingAddress = "", ""
	if reply.leader != from && reply.leader != "" {
		r.leaderHint = reply.leader
		w.sendAttempt(now, reply.number, r)
		return
	}
	r.attemptDue = now.Add(redirectDelay)
}

// finish ends a call and passes its reply on.
func (w *World) finish(number uint64, r *callRow, reply Reply) {
	done := r.done
	w.rows.Remove(number)
	done(reply)
}

// Run repeats calls without an answer and ends those whose deadline has passed.
func (w *World) Run(now time.Time) {
	for _, number := range w.rows.Keys() {
		r := w.rows.Get(number)
		switch {
		case r == nil:
		case !now.Before(r.call.deadline):
			status := StatusTimeout
			if !r.sent {
				status = StatusUnsent
			}
			if r.pendingAddress != "" {
				w.avoidUntil[r.pendingAddress] = now.Add(avoidDuration)
			}
			w.finish(number, r, NewReply(number, status, nil))
		case !now.Before(r.attemptDue):
			if r.pendingAddress != "" {
				w.avoidUntil[r.pendingAddress] = now.Add(avoidDuration)
				r.leaderHint = ""
			}
			w.sendAttempt(now, number, r)
		}
	}
	for address, until := range w.avoidUntil {
		if now.After(until) {
			delete(w.avoidUntil, address)
		}
	}
}

// Output returns the requests to be sent and removes them.
func (w *World) Output() []Outgoing {
	out := w.outgoing
	w.outgoing = nil
	return out
}

// Next returns the earliest deadline of any call.
func (w *World) Next() (time.Time, bool) {
	var next time.Time
	w.rows.Each(func(_ uint64, r *callRow) {
		due := r.attemptDue
		if r.call.deadline.Before(due) {
			due = r.call.deadline
		}
		if next.IsZero() || due.Before(next) {
			next = due
		}
	})
	return next, !next.IsZero()
}
