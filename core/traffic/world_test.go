package traffic

import (
	"context"
	"fmt"
	"testing"
	"time"

	"papayaquay/core/config"
	"papayaquay/core/control"
	"papayaquay/core/home"
	"papayaquay/core/ledger"
	"papayaquay/core/member"
	"papayaquay/core/outcome"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// bench is a traffic world with a home ledger that answers at once.
type bench struct {
	c        *qt.C
	now      time.Time
	world    *World
	state    *home.State
	begun    []Attempt
	aborted  []uint64
	events   []Event
	inputs   []Input
	items    []control.ItemResult
	homeDown bool
}

// newBench returns a world before the given number of engines of two slots.
func newBench(c *qt.C, engines int, options ...PolicyOption) *bench {
	b := &bench{c: c, now: time.Unix(1000, 0), state: home.New()}
	view := config.NewView(1, []config.Object{config.NewObject(config.NewRef(config.KindService, "s"), config.NewSpec(config.WithProtocol(config.ProtocolEngine)), 1, false),
		config.NewObject(config.NewRef(config.KindService, "strict"), config.NewSpec(config.WithProtocol(config.ProtocolEngine), config.WithRefuseIfHomeUnreachable(true)), 1, false)})
	var targets []control.Target
	for n := range engines {
		row := member.NewBackend(fmt.Sprintf("e%d", n), "http://x", "a", member.ProtocolEngine, 2, 1, 1, member.WithServices("s", "strict"))
		targets = append(targets, control.NewTarget(row, &control.Usage{}, true))
	}
	snapshot := control.NewSnapshot(view, targets, []ledger.ID{"home/a"}, control.WithConfigLoaded(true))
	b.world = New(0, "i1", "i1#1", WithPolicy(NewPolicy(options...)),
		WithControl(func() *control.Snapshot { return snapshot }, b.call, func(control.CrashCount) {},
			func(r control.ItemResult) { b.items = append(b.items, r) }, func() {}),
		WithPost(func(in Input) { b.inputs = append(b.inputs, in) }),
		WithAttempts(func(a Attempt) { b.begun = append(b.begun, a) }, func(id uint64) { b.aborted = append(b.aborted, id) }))
	return b
}

// call answers calls from the home state.
func (b *bench) call(_ context.Context, call control.Call, reply func(control.Result)) {
	switch {
	case b.homeDown:
		reply(control.NewResult(outcome.ErrTimeout))
	case call.Kind() == control.CallApply:
		reply(control.NewResult(nil, control.WithReply(b.state.Apply(call.Command()))))
	default:
		reply(control.NewResult(nil, control.WithReply(b.state.Lookup(call.Key()))))
	}
}

// step runs ticks until nothing is left to do at this time.
func (b *bench) step(inputs ...Input) {
	b.now = b.now.Add(time.Millisecond)
	b.world.Step(b.now, inputs)
	for len(b.inputs) > 0 {
		next := b.inputs
		b.inputs = nil
		b.world.Step(b.now, next)
	}
}

// submit sends a request with the given key.
func (b *bench) submit(key string, options ...RequestOption) {
	r := NewRequest(home.NewKey("acc", key), "s", "prompt "+key, 4, b.now.Add(10*time.Second), options...)
	b.step(Submit(r, func(e Event) { b.events = append(b.events, e) }, func(uint64) {}))
}

// final returns the last event, and the text before it.
func (b *bench) final() (Event, string) {
	b.c.Assert(b.events, qt.Not(qt.HasLen), 0)
	text := ""
	for _, e := range b.events {
		text += e.Text()
	}
	return b.events[len(b.events)-1], text
}

// errLost is the error of failed attempts.
var errLost = errors.New("lost")

// TestAttempts plays what backend servers do to one request.
func TestAttempts(t *testing.T) {
	for _, test := range []struct {
		name     string
		once     bool
		play     func(b *bench)
		code     outcome.Code // of the answer
		err      error        // instead of an answer
		text     string
		attempts int
	}{
		{"answered", false, func(b *bench) { b.step(AttemptText(1, "a ", 1), AttemptText(1, "b ", 1), AttemptCompleted(1)) }, outcome.OK, nil, "a b ", 1},
		{"resumed after a loss", false, func(b *bench) {
			b.step(AttemptText(1, "a ", 1), AttemptFailed(1, FailureTimeout, errLost))
			b.step(AttemptText(2, "b ", 1), AttemptCompleted(2))
		}, outcome.OK, nil, "a b ", 2},
		{"late text of a lost attempt", false, func(b *bench) {
			b.step(AttemptText(1, "a ", 1), AttemptFailed(1, FailureTimeout, errLost))
			b.step(AttemptText(1, "x ", 1), AttemptCompleted(1), AttemptText(2, "b ", 1), AttemptCompleted(2), AttemptCompleted(2))
		}, outcome.OK, nil, "a b ", 2},
		{"refused connections", false, func(b *bench) {
			b.step(AttemptFailed(1, FailureNotSent, errLost))
			b.step(AttemptText(2, "a ", 1), AttemptCompleted(2))
		}, outcome.OK, nil, "a ", 2},
		{"rejected", false, func(b *bench) { b.step(AttemptFailed(1, FailureRejected, errLost)) }, outcome.Refused, nil, "", 1},
		{"crashes every server", false, func(b *bench) {
			for id := range uint64(3) {
				b.step(AttemptFailed(id+1, FailureConnectionLost, errLost))
			}
		}, outcome.Refused, nil, "", 3},
		{"once, lost", true, func(b *bench) { b.step(AttemptFailed(1, FailureConnectionLost, errLost)) }, outcome.Unknown, nil, "", 1},
		{"once, silent", true, func(b *bench) { b.now = b.now.Add(11 * time.Second); b.step() }, outcome.Unknown, nil, "", 1},
		{"once, not sent", true, func(b *bench) {
			b.step(AttemptFailed(1, FailureNotSent, errLost))
			b.step(AttemptText(2, "a ", 1), AttemptCompleted(2))
		}, outcome.OK, nil, "a ", 2},
		{"home ledger lost at the end", false, func(b *bench) { b.homeDown = true; b.step(AttemptText(1, "a ", 1), AttemptCompleted(1)) }, 0, outcome.ErrUnknown, "a ", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := newBench(c, 4)
			b.submit("k", WithAtMostOnce(test.once))
			test.play(b)
			e, text := b.final()
			c.Assert(b.begun, qt.HasLen, test.attempts)
			if test.err != nil {
				c.Assert(errors.Is(e.Err(), test.err), qt.IsTrue, qt.Commentf("%v", e))
				return
			}
			c.Assert(e.Answer().Code(), qt.Equals, test.code)
			if test.code == outcome.OK {
				c.Assert(text, qt.Equals, test.text)
				c.Assert(e.Answer().Text(), qt.Equals, test.text)
			}
		})
	}
}

// TestRefusals checks that a refusal at the door is "not run" and begins no
// attempt.
func TestRefusals(t *testing.T) {
	for _, test := range []struct {
		name string
		send func(b *bench)
		err  error
	}{
		{"unknown service", func(b *bench) {
			r := NewRequest(home.NewKey("acc", "k"), "none", "p", 4, b.now.Add(time.Second))
			b.step(Submit(r, func(e Event) { b.events = append(b.events, e) }, func(uint64) {}))
		}, outcome.ErrNotFound},
		{"strict service without its home ledger", func(b *bench) {
			b.homeDown = true
			r := NewRequest(home.NewKey("acc", "k"), "strict", "p", 4, b.now.Add(time.Second))
			b.step(Submit(r, func(e Event) { b.events = append(b.events, e) }, func(uint64) {}))
		}, outcome.ErrNotRun},
		{"past its deadline", func(b *bench) {
			r := NewRequest(home.NewKey("acc", "k"), "s", "p", 4, b.now)
			b.step(Submit(r, func(e Event) { b.events = append(b.events, e) }, func(uint64) {}))
		}, outcome.ErrRetryLater},
		{"once without its home ledger", func(b *bench) { b.homeDown = true; b.submit("k", WithAtMostOnce(true)) }, outcome.ErrEarlierCallUnknown},
		{"once under a new key without its home ledger", func(b *bench) {
			b.homeDown = true
			b.submit("k", WithAtMostOnce(true), WithGeneratedKey(true))
		}, outcome.ErrNotRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := newBench(c, 1)
			test.send(b)
			e, _ := b.final()
			c.Assert(errors.Is(e.Err(), test.err), qt.IsTrue, qt.Commentf("%v", e.Err()))
			c.Assert(errors.Is(e.Err(), outcome.ErrEarlierCallUnknown), qt.Equals, errors.Is(test.err, outcome.ErrEarlierCallUnknown))
			c.Assert(b.begun, qt.HasLen, 0)
		})
	}
}

// TestNoHeadOfLineBlocking queues requests while all slots are taken: a full
// service queues, expired ones end as "not run", the others run in turn.
func TestNoHeadOfLineBlocking(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, 1)
	for n := range 4 {
		b.submit(fmt.Sprint(n))
	}
	c.Assert(b.begun, qt.HasLen, 2)
	b.step(AttemptText(1, "a ", 1), AttemptCompleted(1))
	c.Assert(b.begun, qt.HasLen, 3)
	b.now = b.now.Add(11 * time.Second)
	b.step()
	last, _ := b.final()
	c.Assert(last.Err(), qt.Not(qt.IsNil))
	notRun := 0
	for _, e := range b.events {
		if errors.Is(e.Err(), outcome.ErrNotRun) {
			notRun++
		}
	}
	c.Assert(notRun, qt.Equals, 1)
}

// TestStrictService answers a request of a service that waits for its claim.
func TestStrictService(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, 1)
	r := NewRequest(home.NewKey("acc", "k"), "strict", "p", 4, b.now.Add(time.Second))
	b.step(Submit(r, func(e Event) { b.events = append(b.events, e) }, func(uint64) {}))
	b.step(AttemptText(1, "a ", 1), AttemptCompleted(1))
	e, text := b.final()
	c.Assert(e.Answer().Text(), qt.Equals, "a ")
	c.Assert(text, qt.Equals, "a ")
}

// TestFirstRetry retries the first request of a fresh thread while another one
// waits for a slot: the retry budget does not start empty.
func TestFirstRetry(t *testing.T) {
	c := qt.New(t)
	b := newBench(c, 1)
	for n := range 3 {
		b.submit(fmt.Sprint(n))
	}
	b.step(AttemptFailed(1, FailureTimeout, errLost))
	for _, e := range b.events {
		c.Assert(e.Err(), qt.IsNil)
	}
	c.Assert(b.begun, qt.HasLen, 3)
}

// TestHedge starts a second attempt for a silent one, takes the first text and
// aborts the other; hedges stay within their share.
func TestHedge(t *testing.T) {
	for _, test := range []struct {
		name    string
		options []PolicyOption
		hedged  bool
	}{{"hedged", nil, true}, {"baseline", []PolicyOption{WithoutHedging()}, false}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b := newBench(c, 4, test.options...)
			for n := range 40 {
				b.submit(fmt.Sprint(n))
				id := uint64(len(b.begun))
				b.step(AttemptText(id, "a ", 1), AttemptCompleted(id))
			}
			b.submit("silent")
			before := len(b.begun)
			b.now = b.now.Add(100 * time.Millisecond)
			b.step()
			c.Assert(len(b.begun) > before, qt.Equals, test.hedged)
			if !test.hedged {
				return
			}
			first, second := uint64(before), uint64(before+1)
			c.Assert(b.begun[second-1].Backend(), qt.Not(qt.Equals), b.begun[first-1].Backend())
			b.step(AttemptText(second, "b ", 1), AttemptText(first, "x ", 1), AttemptCompleted(second))
			c.Assert(b.aborted, qt.DeepEquals, []uint64{first})
			e, _ := b.final()
			c.Assert(e.Answer().Text(), qt.Equals, "b ")
		})
	}
}
