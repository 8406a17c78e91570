package fleet

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"papayaquay/core/budget"
	"papayaquay/core/cluster"
	"papayaquay/io/peer"
	"papayaquay/io/settings"
	"papayaquay/io/socket"

	"github.com/cockroachdb/errors"
)

// Limits of the HTTP servers. A caller may reuse a connection that has been idle
// for almost the configured idle limit, so idleTimeout is longer than any
// configured limit.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 5 * time.Minute
	maxHeaderBytes = 64 << 10
)

// listen opens the listeners of the instance and starts a server on each.
func (p *Process) listen(ctx context.Context) error {
	s := p.settings
	listener, err := p.open(ctx, s.PeerAddress())
	if err != nil {
		return err
	}
	server := peer.NewServer(s.PeerAddress(), peerKeys, peer.ClusterPacketHandler(s.PeerAddress(), p.deliver), p.logger)
	p.spawn(func() { p.reportFailure(server.Serve(ctx, p.gate.Listener(listener, budget.Inside))) })

	for _, e := range p.endpoints() {
		if err := p.serve(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

// endpoint is an HTTP interface of the instance.
type endpoint struct {
	address string
	class   budget.Class
	handler http.Handler
}

// endpoints returns the HTTP interfaces of the instance's role.
func (p *Process) endpoints() []endpoint {
	s := p.settings
	endpoints := []endpoint{{s.MetricsAddress(), budget.Inside, p.metricsHandler()}}
	switch s.Role() {
	case settings.RoleEntry:
		endpoints = append(endpoints, endpoint{s.CallerAddress(), budget.Outside, p.front.callers(p)},
			endpoint{s.ReadyAddress(), budget.Inside, http.HandlerFunc(p.readiness)})
	case settings.RoleControl:
		endpoints = append(endpoints, endpoint{s.ControlAddress(), budget.Outside, p.front.control(p)})
	}
	return endpoints
}

// deliver passes a packet of another instance to the control thread. The sender of a large one waits until
// that has read it.
func (p *Process) deliver(packet cluster.Packet, size int) {
	if size < cluster.LargeMessageBytes {
		p.inbox.Post(cluster.PacketReceived(packet))
		return
	}
	taken := make(chan struct{})
	p.inbox.Post(cluster.PacketTaken(packet, func() { close(taken) }))
	select {
	case <-taken:
	case <-p.requestContext.Done(): // the control thread may have ended
	}
}

// open listens on the local address that belongs to a public address.
func (p *Process) open(ctx context.Context, address string) (net.Listener, error) {
	address = p.settings.ListenAddress(address)
	l, err := socket.ListenConfig(ackTimeout).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	p.listeners = append(p.listeners, l)
	return l, nil
}

// serve starts an HTTP server.
func (p *Process) serve(ctx context.Context, e endpoint) error {
	listener, err := p.open(ctx, e.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: e.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return p.requestContext }}
	p.shutdownGuard.Install(server)
	p.gate.Install(server, p.front.reject)
	p.servers = append(p.servers, server)
	p.spawn(func() {
		if err := server.Serve(p.shutdownGuard.Listener(p.gate.Listener(listener, e.class))); !errors.Is(err, http.ErrServerClosed) {
			p.reportFailure(errors.Wrapf(err, "serve on %s", e.address))
		}
	})
	return nil
}

// reportFailure makes Run stop the instance if a listener failed.
func (p *Process) reportFailure(err error) {
	if err == nil {
		return
	}
	select {
	case p.listenerErrors <- err:
	default: // an earlier failure has been reported
	}
}

// readiness answers the load balancer's check: 200 while the entry takes new
// connections, otherwise 503.
func (p *Process) readiness(w http.ResponseWriter, _ *http.Request) {
	if p.stopping.Load() || !p.snapshot.Load().Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// metricsHandler returns the handler that serves counters, histograms and
// profiles.
func (p *Process) metricsHandler() http.Handler {
	p.publishQuarantine()
	mux := http.NewServeMux()
	mux.Handle("/metrics", expvar.Handler())
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	return mux
}
