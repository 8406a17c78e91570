package fleet

import (
	"context"
	"time"

	"papayaquay/core/cluster"
	"papayaquay/core/event"
	"papayaquay/io/settings"
)

// Timing of a graceful shutdown.
const (
	loadBalancerDelay   = 2500 * time.Millisecond // until the load balancer sends no new connections
	keepAliveDelay      = 700 * time.Millisecond  // for callers' connections to close after their next response
	killMargin          = 700 * time.Millisecond  // before the time at which the process is killed
	answerMargin        = 200 * time.Millisecond  // before that, for the answers of requests that are ended
	lateArrival         = 2900 * time.Millisecond // after which a request must be sure to end in time
	lateRetryAfter      = 100 * time.Millisecond  // other instances can serve it at once
	transferTimeout     = 2 * time.Second
	transferSettleDelay = 300 * time.Millisecond // after the transfer, before the servers close
)

// shutdown stops the instance without interrupting running requests. At its
// deadline it closes the remaining connections.
func (p *Process) shutdown() {
	event.Draining.Log(p.logger, "instance", p.settings.Name())
	deadline := time.Now().Add(p.settings.ShutdownTimeout() - killMargin)
	p.shutdownWindow.Store(&shutdownWindow{lateFrom: time.Now().Add(lateArrival), end: deadline.Add(-answerMargin)})
	time.AfterFunc(time.Until(deadline.Add(-answerMargin)), p.endRequests)
	p.stopping.Store(true)
	if p.settings.Role() == settings.RoleEntry {
		time.Sleep(loadBalancerDelay)
		for _, s := range p.servers {
			s.SetKeepAlivesEnabled(false)
		}
		time.Sleep(keepAliveDelay)
	} else {
		p.transferLeadership()
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	for _, s := range p.servers {
		if s.Shutdown(ctx) != nil {
			event.ShutdownTimedOut.Log(p.logger, "bound", p.settings.ShutdownTimeout())
			s.Close()
		}
	}
	p.shutdownGuard.Wait(ctx)
}

// shutdownWindow is the time in which a stopping instance can serve requests.
type shutdownWindow struct {
	lateFrom time.Time // from then on requests are served only if they are sure to end in time
	end      time.Time // when the requests that still run are ended
}

// isTooLate reports whether a request that arrives now might not end before this instance
// stops.
func (p *Process) isTooLate(deadline time.Time) bool {
	window := p.shutdownWindow.Load()
	return window != nil && time.Now().After(window.lateFrom) && deadline.After(window.end)
}

// transferLeadership transfers the leadership of the hosted ledger to another
// instance. It waits at most transferTimeout.
func (p *Process) transferLeadership() {
	leading := make(chan int, 1)
	p.inbox.Post(cluster.TransferLeadership(func(n int) {
		select {
		case leading <- n:
		default: // an earlier report has not been read yet
		}
	}))
	timeout := time.After(transferTimeout)
	for {
		select {
		case n := <-leading:
			if n == 0 {
				time.Sleep(transferSettleDelay)
				return
			}
		case <-timeout:
			return
		}
	}
}
