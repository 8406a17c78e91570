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
	balancerPause = 2500 * time.Millisecond // until the balancer sends no new connections
	closePause    = 700 * time.Millisecond  // for connections to end after their next answer
	stopReserve   = 700 * time.Millisecond  // before the bound at which the process is killed
	handOverBound = 2 * time.Second
	settlePause   = 300 * time.Millisecond
)

// shutdown ends the instance without cutting off a request.
func (p *Process) shutdown() {
	event.Draining.Log(p.logger, "instance", p.settings.Name())
	deadline := time.Now().Add(p.settings.ShutdownTimeout() - stopReserve)
	p.leaving.Store(true)
	if p.settings.Role() == settings.RoleEntry {
		time.Sleep(balancerPause)
		for _, s := range p.servers {
			s.SetKeepAlivesEnabled(false)
		}
		time.Sleep(closePause)
	} else {
		p.handOver()
	}
	bounded, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	for _, s := range p.servers {
		if s.Shutdown(bounded) != nil {
			event.ShutdownTimedOut.Log(p.logger, "bound", p.settings.ShutdownTimeout())
			s.Close()
		}
	}
	p.held.Wait(bounded)
}

// handOver gives up the lead of the hosted ledger.
func (p *Process) handOver() {
	left := make(chan int, 1)
	p.inbox.Post(cluster.TransferLeadership(func(n int) {
		select {
		case left <- n:
		default: // an older report is still unread
		}
	}))
	timeout := time.After(handOverBound)
	for {
		select {
		case n := <-left:
			if n == 0 {
				time.Sleep(settlePause)
				return
			}
		case <-timeout:
			return
		}
	}
}
