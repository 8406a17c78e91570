package fleet

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"papayaquay/core/entry"
	"papayaquay/core/event"
	"papayaquay/core/progress"
	"papayaquay/io/forward"
	"papayaquay/io/otlp"
)

// OnlineRequest is an online request as it passes through this entry.
type OnlineRequest struct {
	request   entry.Request
	outgoing  forward.Request
	resumable bool
}

// NewOnlineRequest returns an online request. The traffic thread bases its decisions
// on request; outgoing is sent to backend servers. The response to a resumable
// request may come from several servers.
func NewOnlineRequest(request entry.Request, outgoing forward.Request, resumable bool) OnlineRequest {
	return OnlineRequest{request: request, outgoing: outgoing, resumable: resumable}
}

// Failure says how an online request ended without a complete response of a
// backend server.
type Failure struct {
	action          entry.Action
	retryAfter      time.Duration
	responseStarted bool
	callerGone      bool
}

// Rejected reports whether the request has not run and never will.
func (f Failure) Rejected() bool { return f.action == entry.ActionReject }

// ResponseStarted reports whether a part of a response was sent to the caller.
func (f Failure) ResponseStarted() bool { return f.responseStarted }

// CallerGone reports whether the caller disconnected or its deadline passed.
func (f Failure) CallerGone() bool { return f.callerGone }

// RetryAfter returns the time after which a rejected request may be sent again,
// 0 if unknown.
func (f Failure) RetryAfter() time.Duration { return f.retryAfter }

// outcome returns the outcome of the request for its span.
func (f Failure) outcome(ok bool) string {
	switch {
	case ok:
		return "answered"
	case f.Rejected():
		return "refused"
	case f.callerGone:
		return "gone"
	}
	return "failed"
}

// ServeOnline serves an online request: it asks the traffic thread for each step
// and copies the response to the caller. If ok is false, the front end must end the
// request as failure says. The context must end at the deadline of the request.
func (p *Process) ServeOnline(ctx context.Context, w http.ResponseWriter, online OnlineRequest) (failure Failure, ok bool) {
	if p.isTooLate(online.request.Deadline()) {
		event.RequestEnded.Log(p.logger, "request", online.request.ID(), "outcome", "instance is stopping", "runs", 0, "attempts", 0, "ms", 0)
		return Failure{action: entry.ActionReject, retryAfter: lateRetryAfter}, false
	}
	ctx, span := p.spans.request(ctx, online.request)
	defer func() { otlp.End(span, spanError(failure.outcome(ok), "answered")) }()
	decisions := make(chan entry.Decision, 1)
	counter := progress.New()
	var current currentAttempt
	p.traffic.Post(entry.Submit(online.request, counter, func(d entry.Decision) { decisions <- d }, current.abandon))
	relay := p.forward.NewRelay(online.outgoing, w, online.resumable, counter)
	for {
		d := <-decisions
		if d.Action() != entry.ActionSend {
			return Failure{action: d.Action(), retryAfter: d.RetryAfter(), responseStarted: relay.ResponseStarted()}, false
		}
		switch p.runAttempt(ctx, &current, relay, online.request, d) {
		case entry.AttemptAnswered:
			return Failure{}, true
		case entry.AttemptCallerGone:
			return callerGoneFailure(relay), false
		}
	}
}

// runAttempt makes one attempt and tells the traffic thread how it ended, also if the handler panics:
// the row of the request and its place on the server would be kept for good.
func (p *Process) runAttempt(ctx context.Context, current *currentAttempt, relay *forward.Relay, request entry.Request, d entry.Decision) (status entry.AttemptStatus) {
	attemptCtx, cancel := current.begin(ctx)
	status, load := entry.AttemptAborted, entry.LoadReport{}
	defer func() {
		cancel()
		p.traffic.Post(entry.AttemptEnded(d.Number(), status, load))
		if status == entry.AttemptAborted {
			p.logPanic(request.ID(), recover())
			panic(http.ErrAbortHandler) // a partial response must not look complete
		}
	}()
	status, load = p.attempt(attemptCtx, relay, request, d)
	if status == entry.AttemptCallerGone && attemptCtx.Err() != nil && ctx.Err() == nil {
		status = abandonedStatus(relay)
	}
	return status
}

// logPanic logs what ended a handler.
func (p *Process) logPanic(request string, cause any) {
	event.HandlerPanicked.Log(p.logger, "request", request, "panic", fmt.Sprint(cause), "stack", string(debug.Stack()))
}

// attempt makes one attempt, in a reserved slot if the decision says so.
func (p *Process) attempt(ctx context.Context, relay *forward.Relay, request entry.Request, d entry.Decision) (status entry.AttemptStatus, load entry.LoadReport) {
	ctx, span := p.spans.attempt(ctx, d)
	defer func() { otlp.End(span, spanError(status.String(), entry.AttemptAnswered.String())) }()
	slot := ""
	if d.Reserve() {
		service, _ := p.Snapshot().Config().Service(request.Service())
		reservation, ok := p.forward.Reserve(ctx, d.Backend(), request.ReserveTokens(), service.MaxReservation())
		switch {
		case ctx.Err() != nil:
			return entry.AttemptCallerGone, entry.LoadReport{}
		case !ok:
			return entry.AttemptUnreachable, entry.LoadReport{}
		case reservation.Rejected():
			return entry.AttemptNoSlot, entry.LoadReport{}.WithLeaving(reservation.Leaving())
		}
		slot = reservation.Slot()
	}
	recorded := p.recordStream(request, d)
	if d.RecordFirst() && !p.awaitRecord(ctx, request, d, recorded) {
		if ctx.Err() != nil {
			return entry.AttemptCallerGone, entry.LoadReport{}
		}
		return entry.AttemptUnrecorded, entry.LoadReport{}
	}
	crashedBefore := p.Snapshot().Quarantine().Crashed(crashID(d))
	relay.Hold(func(ctx context.Context) bool { return p.mayBegin(ctx, request, d, recorded, crashedBefore) })
	return relay.Try(ctx, d.Backend(), slot, func(l entry.LoadReport) { p.traffic.Post(entry.HeaderReceived(d.Number(), l)) },
		func() { p.traffic.Post(entry.AnswerBegan(d.Number())) })
}

// abandonedStatus returns the status of an attempt that this entry abandoned.
func abandonedStatus(relay *forward.Relay) entry.AttemptStatus {
	if relay.ResponseStarted() {
		return entry.AttemptInterrupted
	}
	return entry.AttemptLost
}

// callerGoneFailure returns the failure of a request whose deadline passed or
// whose caller disconnected. The request is rejected if no server may have run it.
func callerGoneFailure(relay *forward.Relay) Failure {
	f := Failure{action: entry.ActionFail, responseStarted: relay.ResponseStarted(), callerGone: true}
	if !relay.MayHaveRun() {
		f.action = entry.ActionReject
	}
	return f
}

// currentAttempt lets the traffic thread cancel the running attempt of a request.
type currentAttempt struct {
	mu     sync.Mutex
	cancel context.CancelFunc
}

// begin returns the context of a new attempt.
func (a *currentAttempt) begin(ctx context.Context) (context.Context, context.CancelFunc) {
	attemptCtx, cancel := context.WithCancel(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel = cancel
	return attemptCtx, cancel
}

// abandon cancels the running attempt, if there is one.
func (a *currentAttempt) abandon() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancel != nil {
		a.cancel()
	}
}
