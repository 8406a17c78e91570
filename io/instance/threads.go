package instance

import (
	"context"
	"fmt"

	"papayaquay/core/config"
	"papayaquay/core/control"
	"papayaquay/core/member"
	"papayaquay/core/outcome"
	"papayaquay/core/tick"
	"papayaquay/core/traffic"
	"papayaquay/io/otlp"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// newThread creates traffic thread n.
func (i *Instance) newThread(n int) *thread {
	t := &thread{inbox: tick.NewInbox[traffic.Input]()}
	t.world = traffic.New(n, i.settings.Name(), i.owner,
		traffic.WithLogger(i.logger), traffic.WithPolicy(i.policy),
		traffic.WithSeed(uint64(i.startTime.UnixNano())+uint64(n)),
		traffic.WithObserver(metrics().observer()),
		traffic.WithControl(i.snapshot.Load, i.startCall,
			func(s control.CrashCount) { i.controlInbox.Post(control.ReportCrashCount(s)) },
			i.itemEnded,
			func() { i.controlInbox.Post(control.UsageChanged()) }),
		traffic.WithSlotFreed(func() { i.wakeOthers(n) }),
		traffic.WithPost(t.inbox.Post),
		traffic.WithAttempts(
			func(a traffic.Attempt) { i.beginAttempt(n, a) },
			func(number uint64) { i.abortAttempt(n, number) }))
	return t
}

// wakeOthers wakes the other traffic threads after thread n has freed a slot.
func (i *Instance) wakeOthers(n int) {
	for other, t := range i.threads {
		if other != n {
			t.inbox.Post(traffic.SnapshotChanged())
		}
	}
}

// startCall sends a call to the control thread. A trace span lasts from then to the reply.
func (i *Instance) startCall(ctx context.Context, call control.Call, reply func(control.Result)) {
	_, span := i.tracer.Start(ctx, "ledger", trace.WithAttributes(
		attribute.String("ledger", string(call.Ledger())), attribute.Int("kind", int(call.Kind()))))
	i.controlInbox.Post(control.StartCall(call, func(r control.Result) {
		otlp.End(span, r.Err())
		reply(r)
	}))
}

// Call makes a call to a ledger and waits for its result. It returns the error of the
// result, or outcome.ErrTimeout if ctx ends first.
func (i *Instance) Call(ctx context.Context, call control.Call) (control.Result, error) {
	results := make(chan control.Result, 1)
	i.startCall(ctx, call, func(r control.Result) { results <- r })
	select {
	case r := <-results:
		return r, r.Err()
	case <-ctx.Done():
		return control.Result{}, outcome.ErrTimeout
	}
}

// status returns the control thread's status report, or outcome.ErrTimeout if ctx ends
// first.
func (i *Instance) status(ctx context.Context) (control.Status, error) {
	reports := make(chan control.Status, 1)
	i.controlInbox.Post(control.GetStatus(func(s control.Status) { reports <- s }))
	select {
	case s := <-reports:
		return s, nil
	case <-ctx.Done():
		return control.Status{}, outcome.ErrTimeout
	}
}

// announce passes a backend server's announcement to the control thread.
func (i *Instance) announce(b member.Backend) { i.controlInbox.Post(control.Announce(b)) }

// threadForAccount returns the traffic thread of an account. One thread handles all
// requests of an account, so that it can count them.
func (i *Instance) threadForAccount(account string) *thread {
	return i.threads[xxhash.Sum64String(account)%uint64(len(i.threads))]
}

// submit starts an online request.
func (i *Instance) submit(r traffic.Request, sink func(traffic.Event), accepted func(uint64)) {
	i.threadForAccount(r.Key().Account()).inbox.Post(traffic.Submit(r, sink, accepted))
}

// cancel reports that the caller of a request is gone. Number 0 is not a request.
func (i *Instance) cancel(account string, number uint64) {
	if number != 0 {
		i.threadForAccount(account).inbox.Post(traffic.Cancel(number))
	}
}

// startItem starts a batch item on a traffic thread chosen by its number.
func (i *Instance) startItem(item control.Item) {
	n := int(item.Number() % uint64(len(i.threads)))
	i.threads[n].inbox.Post(traffic.StartItem(item))
}

// stopItem stops a batch item, either to preempt it or for good.
func (i *Instance) stopItem(number uint64, preempt bool) {
	i.threads[number%uint64(len(i.threads))].inbox.Post(traffic.StopItem(number, preempt))
}

// itemEnded passes the result of a batch item to the control thread.
func (i *Instance) itemEnded(r control.ItemResult) { i.controlInbox.Post(control.AttemptEnded(r)) }

// attemptID returns the id that backend servers get for an attempt.
func (i *Instance) attemptID(thread int, number uint64) string {
	return fmt.Sprintf("%s/%d/%d", i.owner, thread, number)
}

// beginAttempt starts an attempt of traffic thread n. A trace span lasts as long as it.
func (i *Instance) beginAttempt(n int, a traffic.Attempt) {
	id := i.attemptID(n, a.ID())
	_, span := i.tracer.Start(a.Trace(), "attempt", trace.WithAttributes(
		attribute.String("backend", a.Backend()), attribute.Bool("online", a.Online()), attribute.String("attempt", id)))
	inbox := i.threads[n].inbox
	post := func(input traffic.Input) {
		if ended, err := input.AttemptEnded(); ended {
			i.spans.end(id, err)
		}
		inbox.Post(input)
	}
	i.spans.add(id, span)
	if a.Protocol() == config.ProtocolPlain {
		i.plainClient.Begin(id, a, post)
		return
	}
	i.engineClient.Begin(id, a, post)
}

// abortAttempt ends the span of an attempt of traffic thread n and aborts the attempt.
func (i *Instance) abortAttempt(n int, number uint64) {
	id := i.attemptID(n, number)
	i.spans.end(id, outcome.ErrCancelled)
	i.plainClient.Abort(id)
	i.engineClient.Abort(id)
}
