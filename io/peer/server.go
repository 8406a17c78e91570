package peer

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"papayaquay/core/event"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Connection limits.
const (
	greetingTimeout = 5 * time.Second // until a sender must have proved its key
	idleTimeout     = 2 * time.Minute // without a packet
	maxConnections  = 4096
)

// Methods of the protocol.
const (
	methodHello = "hello"
	methodProve = "prove"
)

// Server accepts connections of other instances.
type Server struct {
	name    string
	keys    func() []string
	deliver func(from string, data []byte) error
	logger  *slog.Logger

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a server that hands encoded packets for the named instance
// to deliver, which refuses a sender by an error. keys returns the accepted keys
// at the moment.
func NewServer(name string, keys func() []string, deliver func(from string, data []byte) error, logger *slog.Logger) *Server {
	return &Server{name: name, keys: keys, deliver: deliver, logger: logger, conns: make(map[net.Conn]struct{})}
}

// Serve accepts connections until the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		listener.Close()
		s.closeAll()
	})
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept peer")
		}
		if s.track(conn) {
			go s.serve(ctx, conn)
		}
	}
}

// track counts a connection, or closes it when there are too many.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= maxConnections {
		conn.Close()
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

// closeAll closes all connections.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}

// session is one incoming connection.
type session struct {
	server    *Server
	conn      net.Conn
	codec     frameCodec
	from      string
	challenge challenge
	trusted   atomic.Bool
}

// serve handles one connection until it ends.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		conn.Close()
	}()
	x := &session{server: s, conn: conn, codec: newFrameCodec()}
	x.codec.packet = x.receive
	if err := conn.SetDeadline(time.Now().Add(greetingTimeout)); err != nil {
		return
	}
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(conn, x.codec), jsonrpc2.HandlerWithError(x.handle),
		jsonrpc2.SetLogger(quiet{}))
	<-rpc.DisconnectNotify()
	if !x.trusted.Load() {
		event.PeerRejected.Log(s.logger, "remote", conn.RemoteAddr().String(), "name", x.from)
	}
}

// quiet drops the library's own log lines.
type quiet struct{}

// Printf drops a line.
func (quiet) Printf(string, ...any) {}

// handle serves one call or notification.
func (x *session) handle(_ context.Context, rpc *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Params == nil {
		return nil, x.refuse(rpc)
	}
	switch r.Method {
	case methodHello:
		var g greeting
		if json.Unmarshal(*r.Params, &g) != nil || x.from != "" {
			return nil, x.refuse(rpc)
		}
		c, err := newChallenge()
		x.from, x.challenge = g.From, c
		return c, err
	case methodProve:
		return nil, x.prove(rpc, *r.Params)
	}
	return nil, x.refuse(rpc)
}

// refuse closes the connection.
func (x *session) refuse(rpc *jsonrpc2.Conn) error {
	rpc.Close()
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "refused"}
}

// prove checks the proof of the sender's key.
func (x *session) prove(rpc *jsonrpc2.Conn, params []byte) error {
	var p proof
	if json.Unmarshal(params, &p) != nil || x.challenge.Nonce == "" || !accepts(x.server.keys(), x.from, x.challenge, p) {
		return x.refuse(rpc)
	}
	x.trusted.Store(true)
	x.codec.trust()
	return x.conn.SetDeadline(time.Time{})
}

// receive hands on one packet of a sender that proved the key.
func (x *session) receive(data []byte) error {
	if !x.trusted.Load() {
		return errors.Wrap(ErrMisdirected, "packet before the proof")
	}
	if err := x.conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	return x.server.deliver(x.from, data)
}
