package call

import (
	"time"

	"papayaquay/core/table"
)

// Timing of repeated calls.
const (
	tryTimeout    = 500 * time.Millisecond // without an answer, beyond the hold
	redirectPause = 40 * time.Millisecond  // after an answer that names no leader
	avoidAfter    = time.Second            // without calls to an address that did not answer
)

// row is a call under way.
type row struct {
	call    Call
	done    func(Reply)
	address string // asked now; empty between tries
	tryDue  time.Time
	sent    bool
	hint    string // leader named by the last redirect
	turn    int    // rotates the instances that are asked
}

// Outgoing is a request to send.
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
	rows   *table.Table[uint64, row]
	last   uint64
	avoid  map[string]time.Time
	locate func(Target) (leader string, members []string)
	out    []Outgoing
}

// NewWorld returns a world without calls; locate names the leader of a target's ledger, if known,
// and the instances that may know it.
func NewWorld(locate func(Target) (leader string, members []string)) *World {
	return &World{rows: table.New[uint64, row](), avoid: make(map[string]time.Time), locate: locate}
}

// Start begins a call. done is called once, on the control thread.
func (w *World) Start(now time.Time, c Call, done func(Reply)) {
	w.last++
	w.try(now, w.last, w.rows.Put(w.last, row{call: c, done: done}))
}

// try sends the call to the most promising instance.
func (w *World) try(now time.Time, number uint64, r *row) {
	r.address = w.choose(now, r)
	if r.address == "" {
		r.tryDue = now.Add(redirectPause)
		return
	}
	r.sent = true
	r.tryDue = now.Add(r.call.maxWait + tryTimeout)
	w.out = append(w.out, Outgoing{address: r.address, request: NewRequest(number, r.call.kind, r.call.maxWait, r.call.payload)})
}

// choose returns the address to ask: the named leader, the known leader, else
// the members in turn. Addresses that did not answer lately come last.
func (w *World) choose(now time.Time, r *row) string {
	if r.call.target == TargetNode {
		return r.call.address
	}
	leader, members := w.locate(r.call.target)
	for _, candidate := range []string{r.hint, leader} {
		if candidate != "" && !now.Before(w.avoid[candidate]) {
			return candidate
		}
	}
	for range members {
		r.turn++
		if candidate := members[r.turn%len(members)]; !now.Before(w.avoid[candidate]) {
			return candidate
		}
	}
	if len(members) == 0 {
		return leader
	}
	r.turn++
	return members[r.turn%len(members)]
}

// Receive takes a reply.
func (w *World) Receive(now time.Time, from string, reply Reply) {
	delete(w.avoid, from)
	r := w.rows.Get(reply.number)
	if r == nil {
		return
	}
	if reply.status != StatusRedirect {
		w.finish(reply.number, r, reply)
		return
	}
	if r.call.target == TargetNode {
		w.finish(reply.number, r, reply)
		return
	}
	r.hint, r.address = "", ""
	if reply.leader != from && reply.leader != "" {
		r.hint = reply.leader
		w.try(now, reply.number, r)
		return
	}
	r.tryDue = now.Add(redirectPause)
}

// finish ends a call.
func (w *World) finish(number uint64, r *row, reply Reply) {
	done := r.done
	w.rows.Remove(number)
	done(reply)
}

// Run repeats calls without an answer and ends those whose deadline passed.
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
			if r.address != "" {
				w.avoid[r.address] = now.Add(avoidAfter)
			}
			w.finish(number, r, NewReply(number, status, nil))
		case !now.Before(r.tryDue):
			if r.address != "" {
				w.avoid[r.address] = now.Add(avoidAfter)
				r.hint = ""
			}
			w.try(now, number, r)
		}
	}
	for address, until := range w.avoid {
		if now.After(until) {
			delete(w.avoid, address)
		}
	}
}

// Output takes the requests to send.
func (w *World) Output() []Outgoing {
	out := w.out
	w.out = nil
	return out
}

// Next returns the earliest deadline of any call.
func (w *World) Next() (time.Time, bool) {
	var next time.Time
	w.rows.Each(func(_ uint64, r *row) {
		due := r.tryDue
		if r.call.deadline.Before(due) {
			due = r.call.deadline
		}
		if next.IsZero() || due.Before(next) {
			next = due
		}
	})
	return next, !next.IsZero()
}
