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

// testWorld is a traffic world with a home ledger that replies immediately. It records
// the attempts, events and item results of the world.
type testWorld struct {
	c               *qt.C
	now             time.Time
	world           *World
	state           *home.State
	started         []Attempt
	aborted         []uint64
	events          []Event
	inputs          []Input
	itemResults     []control.ItemResult
	homeUnreachable bool
}

// newTestWorld returns a world with the given number of backend servers of two slots each,
// a service "s" and a service "strict" that requires the claim on the key.
func newTestWorld(c *qt.C, backends int, options ...PolicyOption) *testWorld {
	w := &testWorld{c: c, now: time.Unix(1000, 0), state: home.New()}
	view := config.NewView(1, []config.Object{config.NewObject(config.NewRef(config.KindService, "s"), config.NewSpec(config.WithProtocol(config.ProtocolEngine)), 1, false),
		config.NewObject(config.NewRef(config.KindService, "strict"), config.NewSpec(config.WithProtocol(config.ProtocolEngine), config.WithRefuseIfHomeUnreachable(true)), 1, false)})
	var targets []control.Target
	for n := range backends {
		row := member.NewBackend(fmt.Sprintf("e%d", n), "http://x", "a", member.ProtocolEngine, 2, 1, 1, member.WithServices("s", "strict"))
		targets = append(targets, control.NewTarget(row, &control.Usage{}, true))
	}
	snapshot := control.NewSnapshot(view, targets, []ledger.ID{"home/a"}, control.WithConfigLoaded(true))
	w.world = New(0, "i1", "i1#1", WithPolicy(NewPolicy(options...)),
		WithControl(func() *control.Snapshot { return snapshot }, w.call, func(control.CrashCount) {},
			func(r control.ItemResult) { w.itemResults = append(w.itemResults, r) }, func() {}),
		WithPost(func(in Input) { w.inputs = append(w.inputs, in) }),
		WithAttempts(func(a Attempt) { w.started = append(w.started, a) }, func(id uint64) { w.aborted = append(w.aborted, id) }))
	return w
}

// call replies to a call from the state of the home ledger.
func (w *testWorld) call(_ context.Context, call control.Call, reply func(control.Result)) {
	switch {
	case w.homeUnreachable:
		reply(control.NewResult(outcome.ErrTimeout))
	case call.Kind() == control.CallApply:
		reply(control.NewResult(nil, control.WithReply(w.state.Apply(call.Command()))))
	default:
		reply(control.NewResult(nil, control.WithReply(w.state.Lookup(call.Key()))))
	}
}

// step advances the clock by a millisecond and runs ticks until no inputs are left.
func (w *testWorld) step(inputs ...Input) {
	w.now = w.now.Add(time.Millisecond)
	w.world.Step(w.now, inputs)
	for len(w.inputs) > 0 {
		next := w.inputs
		w.inputs = nil
		w.world.Step(w.now, next)
	}
}

// submit submits a request with the given key to service "s".
func (w *testWorld) submit(key string, options ...RequestOption) {
	r := NewRequest(home.NewKey("acc", key), "s", "prompt "+key, 4, w.now.Add(10*time.Second), options...)
	w.step(Submit(r, func(e Event) { w.events = append(w.events, e) }, func(uint64) {}))
}

// final returns the last event and the text of all events.
func (w *testWorld) final() (Event, string) {
	w.c.Assert(w.events, qt.Not(qt.HasLen), 0)
	text := ""
	for _, e := range w.events {
		text += e.Text()
	}
	return w.events[len(w.events)-1], text
}

// errAttempt is the error of failed attempts.
var errAttempt = errors.New("lost")

// TestAttempts checks the end of one request for different behaviours of the backend
// servers.
func TestAttempts(t *testing.T) {
	for _, test := range []struct {
		name       string
		atMostOnce bool
		run        func(w *testWorld)
		code       outcome.Code // of the answer
		err        error        // expected instead of an answer
		text       string
		attempts   int
	}{
		{"answered", false, func(w *testWorld) { w.step(AttemptText(1, "a ", 1), AttemptText(1, "b ", 1), AttemptCompleted(1)) }, outcome.OK, nil, "a b ", 1},
		{"resumed after a timeout", false, func(w *testWorld) {
			w.step(AttemptText(1, "a ", 1), AttemptFailed(1, FailureTimeout, errAttempt))
			w.step(AttemptText(2, "b ", 1), AttemptCompleted(2))
		}, outcome.OK, nil, "a b ", 2},
		{"late text of a failed attempt", false, func(w *testWorld) {
			w.step(AttemptText(1, "a ", 1), AttemptFailed(1, FailureTimeout, errAttempt))
			w.step(AttemptText(1, "x ", 1), AttemptCompleted(1), AttemptText(2, "b ", 1), AttemptCompleted(2), AttemptCompleted(2))
		}, outcome.OK, nil, "a b ", 2},
		{"refused connections", false, func(w *testWorld) {
			w.step(AttemptFailed(1, FailureNotSent, errAttempt))
			w.step(AttemptText(2, "a ", 1), AttemptCompleted(2))
		}, outcome.OK, nil, "a ", 2},
		{"rejected", false, func(w *testWorld) { w.step(AttemptFailed(1, FailureRejected, errAttempt)) }, outcome.Refused, nil, "", 1},
		{"crashes each server", false, func(w *testWorld) {
			for id := range uint64(3) {
				w.step(AttemptFailed(id+1, FailureConnectionLost, errAttempt))
			}
		}, outcome.Refused, nil, "", 3},
		{"crashes each server after a part of its answer", false, func(w *testWorld) {
			for id := range uint64(3) {
				w.step(AttemptText(id+1, "a ", 1), AttemptFailed(id+1, FailureConnectionLost, errAttempt))
			}
		}, outcome.Refused, nil, "", 3},
		{"at most once, connection lost", true, func(w *testWorld) { w.step(AttemptFailed(1, FailureConnectionLost, errAttempt)) }, outcome.Unknown, nil, "", 1},
		{"at most once, no token", true, func(w *testWorld) { w.now = w.now.Add(11 * time.Second); w.step() }, outcome.Unknown, nil, "", 1},
		{"at most once, not sent", true, func(w *testWorld) {
			w.step(AttemptFailed(1, FailureNotSent, errAttempt))
			w.step(AttemptText(2, "a ", 1), AttemptCompleted(2))
		}, outcome.OK, nil, "a ", 2},
		{"home ledger unreachable at the end", false, func(w *testWorld) { w.homeUnreachable = true; w.step(AttemptText(1, "a ", 1), AttemptCompleted(1)) }, 0, outcome.ErrUnknown, "a ", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := newTestWorld(c, 4)
			w.submit("k", WithAtMostOnce(test.atMostOnce))
			test.run(w)
			e, text := w.final()
			c.Assert(w.started, qt.HasLen, test.attempts)
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

// TestItemsCountNoCrashes guards against batch items that are given up because of crashes,
// and against requests that are rejected because backend servers crashed under an item
// with the same content.
func TestItemsCountNoCrashes(t *testing.T) {
	c := qt.New(t)
	w := newTestWorld(c, 4)
	w.step()
	key := home.NewKey("acc", "job")
	for n := range uint64(2 * poisonCrashes) {
		item := control.NewItem(n+1, home.NewLeasedItem(key, 0, "s", false, home.NewItem("prompt k", 4)), "e0")
		w.step(StartItem(item))
		c.Assert(w.started, qt.HasLen, int(n)+1)
		w.step(AttemptFailed(w.started[n].ID(), FailureConnectionLost, errAttempt))
		c.Assert(w.itemResults, qt.HasLen, int(n)+1)
		c.Assert(w.itemResults[n].Crashed(), qt.IsTrue)
	}
	started := len(w.started)
	w.submit("k")
	w.step(AttemptFailed(w.started[started].ID(), FailureConnectionLost, errAttempt))
	c.Assert(w.started, qt.HasLen, started+2)
}

// TestRejections checks that a rejected submission starts no attempt and gets the expected
// error. The error must not claim that nothing ran if an earlier call with the same key
// may have run.
func TestRejections(t *testing.T) {
	for _, test := range []struct {
		name   string
		submit func(w *testWorld)
		err    error
	}{
		{"unknown service", func(w *testWorld) {
			r := NewRequest(home.NewKey("acc", "k"), "none", "p", 4, w.now.Add(time.Second))
			w.step(Submit(r, func(e Event) { w.events = append(w.events, e) }, func(uint64) {}))
		}, outcome.ErrNotFound},
		{"required claim without the home ledger", func(w *testWorld) {
			w.homeUnreachable = true
			r := NewRequest(home.NewKey("acc", "k"), "strict", "p", 4, w.now.Add(time.Second))
			w.step(Submit(r, func(e Event) { w.events = append(w.events, e) }, func(uint64) {}))
		}, outcome.ErrNotRun},
		{"past the deadline", func(w *testWorld) {
			r := NewRequest(home.NewKey("acc", "k"), "s", "p", 4, w.now)
			w.step(Submit(r, func(e Event) { w.events = append(w.events, e) }, func(uint64) {}))
		}, outcome.ErrRetryLater},
		{"at most once without the home ledger", func(w *testWorld) { w.homeUnreachable = true; w.submit("k", WithAtMostOnce(true)) }, outcome.ErrEarlierCallUnknown},
		{"at most once with a generated key without the home ledger", func(w *testWorld) {
			w.homeUnreachable = true
			w.submit("k", WithAtMostOnce(true), WithGeneratedKey(true))
		}, outcome.ErrNotRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := newTestWorld(c, 1)
			test.submit(w)
			e, _ := w.final()
			c.Assert(errors.Is(e.Err(), test.err), qt.IsTrue, qt.Commentf("%v", e.Err()))
			c.Assert(errors.Is(e.Err(), outcome.ErrEarlierCallUnknown), qt.Equals, errors.Is(test.err, outcome.ErrEarlierCallUnknown))
			c.Assert(w.started, qt.HasLen, 0)
		})
	}
}

// TestQueuesWhileSlotsAreFull checks that requests queue while all slots are in use. The
// next one starts when a slot is freed, and one that is still queued at its deadline ends
// as "not run".
func TestQueuesWhileSlotsAreFull(t *testing.T) {
	c := qt.New(t)
	w := newTestWorld(c, 1)
	for n := range 4 {
		w.submit(fmt.Sprint(n))
	}
	c.Assert(w.started, qt.HasLen, 2)
	w.step(AttemptText(1, "a ", 1), AttemptCompleted(1))
	c.Assert(w.started, qt.HasLen, 3)
	w.now = w.now.Add(11 * time.Second)
	w.step()
	last, _ := w.final()
	c.Assert(last.Err(), qt.Not(qt.IsNil))
	notRun := 0
	for _, e := range w.events {
		if errors.Is(e.Err(), outcome.ErrNotRun) {
			notRun++
		}
	}
	c.Assert(notRun, qt.Equals, 1)
}

// TestRequiredClaim checks that a request of a service that requires the claim is
// answered after the claim is granted.
func TestRequiredClaim(t *testing.T) {
	c := qt.New(t)
	w := newTestWorld(c, 1)
	r := NewRequest(home.NewKey("acc", "k"), "strict", "p", 4, w.now.Add(time.Second))
	w.step(Submit(r, func(e Event) { w.events = append(w.events, e) }, func(uint64) {}))
	w.step(AttemptText(1, "a ", 1), AttemptCompleted(1))
	e, text := w.final()
	c.Assert(e.Answer().Text(), qt.Equals, "a ")
	c.Assert(text, qt.Equals, "a ")
}

// TestFirstRetry checks that a new thread can retry its first request while another one
// is queued. A retry budget that starts empty would end the request instead.
func TestFirstRetry(t *testing.T) {
	c := qt.New(t)
	w := newTestWorld(c, 1)
	for n := range 3 {
		w.submit(fmt.Sprint(n))
	}
	w.step(AttemptFailed(1, FailureTimeout, errAttempt))
	for _, e := range w.events {
		c.Assert(e.Err(), qt.IsNil)
	}
	c.Assert(w.started, qt.HasLen, 3)
}

// TestHedge checks that a second attempt starts when the first has no token, that the first
// one to produce text wins, and that the other one is aborted. The requests before it fill
// the hedge budget, which keeps hedges within their share.
func TestHedge(t *testing.T) {
	for _, test := range []struct {
		name    string
		options []PolicyOption
		hedged  bool
	}{{"hedging enabled", nil, true}, {"hedging disabled", []PolicyOption{WithoutHedging()}, false}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := newTestWorld(c, 4, test.options...)
			for n := range 40 {
				w.submit(fmt.Sprint(n))
				id := uint64(len(w.started))
				w.step(AttemptText(id, "a ", 1), AttemptCompleted(id))
			}
			w.submit("stalled")
			startedBefore := len(w.started)
			w.now = w.now.Add(100 * time.Millisecond)
			w.step()
			c.Assert(len(w.started) > startedBefore, qt.Equals, test.hedged)
			if !test.hedged {
				return
			}
			first, second := uint64(startedBefore), uint64(startedBefore+1)
			c.Assert(w.started[second-1].Backend(), qt.Not(qt.Equals), w.started[first-1].Backend())
			w.step(AttemptText(second, "b ", 1), AttemptText(first, "x ", 1), AttemptCompleted(second))
			c.Assert(w.aborted, qt.DeepEquals, []uint64{first})
			e, _ := w.final()
			c.Assert(e.Answer().Text(), qt.Equals, "b ")
		})
	}
}
