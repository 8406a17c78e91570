package instance

import (
	"expvar"
	"net/http"
	"net/http/pprof"
	"time"

	"papayaquay/io/backend"
	"papayaquay/io/caller"
	"papayaquay/io/client"
	"papayaquay/io/operator"
	"papayaquay/io/rpc"
	"papayaquay/proto/papayaquay/v1/papayaquayv1connect"

	"connectrpc.com/connect"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// HTTP server limits.
const (
	headerTimeout  = 5 * time.Second
	bodyTimeout    = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10

	// Of an HTTP/2 connection: streams at a time, and bytes that wait to be read, which no request has
	// reserved yet.
	maxStreams         = 100
	receiveBufferBytes = 64 << 10
)

// newHTTPServer returns the server for callers, operators and backend servers.
// It speaks HTTP/1.1 and, without TLS, HTTP/2 for gRPC clients.
func (i *Instance) newHTTPServer() *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler: client.Messages(i.handler(), rpc.MemoryOf, rpc.RoomError),
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maxStreams,
			MaxReceiveBufferPerConnection: receiveBufferBytes, MaxReceiveBufferPerStream: receiveBufferBytes},
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	i.gate.Install(server, rejectCall(connect.NewErrorWriter(callOptions()...)))
	return server
}

// callOptions returns the options of all handlers of calls.
func callOptions() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithReadMaxBytes(rpc.MaxMessageBytes), rpc.Codecs()}
}

// rejectCall returns a function that answers a request for which there is no room, in the protocol of its call.
func rejectCall(writer *connect.ErrorWriter) func(w http.ResponseWriter, r *http.Request, err error) {
	return func(w http.ResponseWriter, r *http.Request, err error) {
		if !writer.IsSupported(r) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_ = writer.Write(w, r, rpc.RoomError(err)) // a client that disconnected needs no answer
	}
}

// handler returns the handler of all HTTP routes.
func (i *Instance) handler() http.Handler {
	mux := http.NewServeMux()
	middleware := metrics().meter().Middleware()
	options := callOptions()
	mux.Handle(papayaquayv1connect.NewCallerServiceHandler(caller.New(i.settings.DataCentre(),
		caller.WithTraffic(i.submit, i.cancel), caller.WithControl(i.Call, i.snapshot.Load),
		caller.WithRequireAccount(i.settings.RequireAccount()), caller.WithChain(middleware)), options...))
	mux.Handle(papayaquayv1connect.NewOperatorServiceHandler(operator.New(i.version,
		operator.WithSecrets(func() []string { return i.secrets.Load().OperatorSecrets() }),
		operator.WithControl(i.Call, i.snapshot.Load, i.status),
		operator.WithDrain(i.Drain), operator.WithChain(middleware)), options...))
	mux.Handle(papayaquayv1connect.NewBackendServiceHandler(backend.New(i.announce, i.snapshot.Load,
		func() []string { return i.secrets.Load().BackendSecrets() }, middleware), options...))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", i.readiness)
	mux.Handle("GET /debug/vars", i.requireOperator(expvar.Handler()))
	mux.Handle("GET /debug/pprof/", i.requireOperator(http.HandlerFunc(pprof.Index)))
	mux.Handle("GET /debug/pprof/profile", i.requireOperator(http.HandlerFunc(pprof.Profile)))
	return i.withSpan(withBodyTimeout(mux))
}

// readiness serves the load balancer's check: status 200 while the instance accepts
// new requests, 503 otherwise.
func (i *Instance) readiness(w http.ResponseWriter, _ *http.Request) {
	if !i.ready.Load() || !i.snapshot.Load().ConfigLoaded() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// requireOperator rejects requests without an operator secret with status 401.
func (i *Instance) requireOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !rpc.CheckSecret(r.Header.Get(rpc.HeaderOperatorSecret), i.secrets.Load().OperatorSecrets()) {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// withSpan starts a trace span for each HTTP request.
func (i *Instance) withSpan(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, span := i.tracer.Start(r.Context(), "entry", trace.WithAttributes(attribute.String("path", r.URL.Path)))
		defer span.End()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
