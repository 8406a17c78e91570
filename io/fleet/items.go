package fleet

import (
	"context"
	"net/http"
	"sync"
	"time"

	"papayaquay/core/cluster"
	"papayaquay/core/runner"
	"papayaquay/io/forward"
	"papayaquay/io/otlp"
)

// itemRuns holds the attempts of batch items under way.
type itemRuns struct {
	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

// begin remembers how to stop an attempt.
func (r *itemRuns) begin(number uint64, cancel context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancels[number] = cancel
}

// stop ends an attempt from this side.
func (r *itemRuns) stop(number uint64) {
	r.mu.Lock()
	cancel := r.cancels[number]
	r.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// end forgets an attempt.
func (r *itemRuns) end(number uint64) {
	r.mu.Lock()
	cancel := r.cancels[number]
	delete(r.cancels, number)
	r.mu.Unlock()
	cancel()
}

// startItem runs an attempt of a batch item in its own goroutine.
func (p *Process) startItem(a runner.Attempt) {
	ctx, cancel := context.WithCancel(context.Background())
	p.items.begin(a.Number(), cancel)
	go func() {
		defer p.items.end(a.Number())
		ctx, span := p.spans.item(ctx, a)
		item := a.Item()
		header := make(http.Header)
		for _, h := range item.Headers() {
			header.Set(h.Name(), h.Value())
		}
		request := forward.NewRequest(item.ID(), http.MethodPost, item.Path(), a.Host(), header, item.Body(), time.Time{})
		tell := func(end runner.AttemptStatus, text []byte, last uint64) {
			if end != runner.AttemptPartial {
				otlp.End(span, outcome(end.String(), runner.AttemptDone.String()))
			}
			p.inbox.Post(cluster.AttemptEnded(runner.NewAttemptReport(a.Number(), end, text, last)))
		}
		tell(p.forward.Collect(ctx, request, a.Backend(), a.LastEvent(), a.Progress(),
			func(text []byte, last uint64) { tell(runner.AttemptPartial, text, last) }))
	}()
}
