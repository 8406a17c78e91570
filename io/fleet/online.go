package fleet

import (
	"context"
	"net/http"
	"sync"
	"time"

	"papayaquay/core/entry"
	"papayaquay/core/progress"
	"papayaquay/io/forward"
	"papayaquay/io/otlp"
)

// OnlineRequest is an online request on its way through this entry.
type OnlineRequest struct {
	request   entry.Request
	outgoing  forward.Request
	resumable bool
}

// NewOnlineRequest returns a request for the decisions and for the wire. The answer
// of a resumable one may come from several servers.
func NewOnlineRequest(request entry.Request, outgoing forward.Request, resumable bool) OnlineRequest {
	return OnlineRequest{request: request, outgoing: outgoing, resumable: resumable}
}

// Failure is how a passage ended without a whole answer of a server.
type Failure struct {
	action        entry.Action
	retryAfter    time.Duration
	answerStarted bool
	callerGone    bool
}

// Rejected reports that the request has not run and never will.
func (f Failure) Rejected() bool { return f.action == entry.ActionReject }

// AnswerStarted reports that a part of an answer went to the caller.
func (f Failure) AnswerStarted() bool { return f.answerStarted }

// CallerGone reports that the caller left or its time is over.
func (f Failure) CallerGone() bool { return f.callerGone }

// RetryAfter returns after what time a refused request may be sent again, 0 if
// unknown.
func (f Failure) RetryAfter() time.Duration { return f.retryAfter }

// spanError returns how the passage ended, for its span.
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

// ServeOnline serves an online request: it asks the traffic thread for each step and
// copies the answer to the caller. ok is false when the front end must end the
// request as Failure says. The context ends when the caller must have an answer.
func (p *Process) ServeOnline(ctx context.Context, w http.ResponseWriter, online OnlineRequest) (failure Failure, ok bool) {
	ctx, span := p.spans.request(ctx, online.request)
	defer func() { otlp.End(span, spanError(failure.outcome(ok), "answered")) }()
	decisions := make(chan entry.Decision, 1)
	counter := progress.New()
	var current currentAttempt
	p.trafficInbox.Post(entry.Submit(online.request, counter, func(d entry.Decision) { decisions <- d }, current.abandon))
	relay := p.backendClient.NewRelay(online.outgoing, w, online.resumable, counter)
	for {
		d := <-decisions
		if d.Action() != entry.ActionSend {
			return Failure{action: d.Action(), retryAfter: d.RetryAfter(), answerStarted: relay.Started()}, false
		}
		attemptCtx, cancel := current.begin(ctx)
		status, load := p.attempt(attemptCtx, relay, online.request, d)
		if status == entry.AttemptCallerGone && attemptCtx.Err() != nil && ctx.Err() == nil {
			status = abandonedStatus(relay)
		}
		cancel()
		p.trafficInbox.Post(entry.AttemptEnded(d.Number(), status, load))
		switch status {
		case entry.AttemptAnswered:
			return Failure{}, true
		case entry.AttemptCallerGone:
			return callerGoneFailure(relay), false
		}
	}
}

// attempt makes one attempt, with a reserved slot if the decision says so.
func (p *Process) attempt(ctx context.Context, relay *forward.Relay, request entry.Request, d entry.Decision) (status entry.AttemptStatus, load entry.LoadReport) {
	ctx, span := p.spans.attempt(ctx, d)
	defer func() { otlp.End(span, spanError(status.String(), entry.AttemptAnswered.String())) }()
	slot := ""
	if d.Reserve() {
		service, _ := p.Snapshot().Config().Service(request.Service())
		reservation, ok := p.backendClient.Reserve(ctx, d.Backend(), request.ReserveTokens(), service.MaxReservation())
		switch {
		case ctx.Err() != nil:
			return entry.AttemptCallerGone, entry.LoadReport{}
		case !ok:
			return entry.AttemptUnreachable, entry.LoadReport{}
		case reservation.Refused():
			return entry.AttemptNoSlot, entry.LoadReport{}
		}
		slot = reservation.Slot()
	}
	return relay.Try(ctx, d.Backend(), slot, func(l entry.LoadReport) { p.trafficInbox.Post(entry.HeaderReceived(d.Number(), l)) })
}

// abandonedStatus returns how an attempt ended that was given up from this side.
func abandonedStatus(relay *forward.Relay) entry.AttemptStatus {
	if relay.Started() {
		return entry.AttemptInterrupted
	}
	return entry.AttemptLost
}

// callerGone returns the end of a request whose time is over or whose caller left.
func callerGoneFailure(relay *forward.Relay) Failure {
	f := Failure{action: entry.ActionFail, answerStarted: relay.Started(), callerGone: true}
	if !relay.Ran() {
		f.action = entry.ActionReject
	}
	return f
}

// currentAttempt lets the traffic thread end the attempt under way.
type currentAttempt struct {
	mu     sync.Mutex
	cancel context.CancelFunc
}

// add opens the context of a new attempt.
func (a *currentAttempt) begin(ctx context.Context) (context.Context, context.CancelFunc) {
	attemptCtx, cancel := context.WithCancel(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel = cancel
	return attemptCtx, cancel
}

// abandon ends the attempt under way.
func (a *currentAttempt) abandon() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancel != nil {
		a.cancel()
	}
}
