package fleet

import (
	"context"
	"net/http"
	"sync"
	"time"

	"papayaquay/core/batch"
	"papayaquay/core/cluster"
	"papayaquay/core/entry"
	"papayaquay/core/runner"
	"papayaquay/core/usage"
	"papayaquay/io/forward"
	"papayaquay/io/otlp"

	"golang.org/x/sync/singleflight"
)

// itemAttempts holds the running attempts of batch items by attempt number.
type itemAttempts struct {
	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
	checks  singleflight.Group // whether a server has ended, by its address
}

// add stores the function that cancels an attempt.
func (a *itemAttempts) add(number uint64, cancel context.CancelFunc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancels[number] = cancel
}

// cancel cancels an attempt if it is still running.
func (a *itemAttempts) cancel(number uint64) {
	a.mu.Lock()
	cancel := a.cancels[number]
	a.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// remove releases the context of an ended attempt and removes the attempt.
func (a *itemAttempts) remove(number uint64) {
	a.mu.Lock()
	cancel := a.cancels[number]
	delete(a.cancels, number)
	a.mu.Unlock()
	cancel()
}

// endedUnder reports whether an attempt ended because the process of its server did. All items that
// were lost together ask once.
func (p *Process) endedUnder(ctx context.Context, status runner.AttemptStatus, a runner.Attempt) bool {
	if (status != runner.AttemptUnreachable && status != runner.AttemptInterrupted) || len(a.Peers()) == 0 {
		return false
	}
	ended, _, _ := p.itemAttempts.checks.Do(a.Backend().Address(), func() (any, error) {
		return p.hasEnded(ctx, a.Backend().Address(), a.Peers()), nil
	})
	return ended.(bool)
}

// itemRequest returns an item in the form that is sent to a backend server.
func itemRequest(item batch.Item, host string) forward.Request {
	header := make(http.Header)
	for _, h := range item.Headers() {
		header.Set(h.Name(), h.Value())
	}
	return forward.NewRequest(item.ID(), http.MethodPost, item.Path(), host, header, item.Body(), time.Time{})
}

// startItemAttempt runs an attempt of a batch item in its own goroutine.
func (p *Process) startItemAttempt(a runner.Attempt) {
	ctx, cancel := context.WithCancel(context.Background())
	p.itemAttempts.add(a.Number(), cancel)
	go func() {
		defer p.itemAttempts.remove(a.Number())
		defer func() {
			if cause := recover(); cause != nil { // the other work of this process goes on
				p.logPanic(a.Item().ID(), cause)
				p.inbox.Post(cluster.AttemptEnded(runner.NewAttemptReport(a.Number(), runner.AttemptInterrupted, nil, a.LastEvent())))
			}
		}()
		ctx, span := p.spans.item(ctx, a)
		request := itemRequest(a.Item(), a.Host())
		report := func(status runner.AttemptStatus, text []byte, last uint64) {
			if status != runner.AttemptPartial {
				otlp.End(span, spanError(status.String(), runner.AttemptDone.String()))
			}
			p.inbox.Post(cluster.AttemptEnded(runner.NewAttemptReport(a.Number(), status, text, last)))
		}
		status, text, last := p.forward.Collect(ctx, request, a.Backend(), a.LastEvent(), a.Progress(),
			func(load entry.LoadReport) {
				p.inbox.Post(cluster.ItemAnswered(a.Backend().ID(), usage.NewLimit(load.Limit(), a.Backend().Incarnation())))
				if load.Leaving() {
					p.inbox.Post(cluster.ServerSaidLeaving(a.Backend().ID(), a.Backend().Incarnation()))
				}
			},
			func(text []byte, last uint64) { report(runner.AttemptPartial, text, last) })
		if p.endedUnder(ctx, status, a) {
			status = runner.AttemptServerEnded
		}
		report(status, text, last)
	}()
}
