package peer

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"papayaquay/core/budget"
	"papayaquay/core/event"
	"papayaquay/io/client"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Limits of incoming connections.
const (
	handshakeTimeout = 5 * time.Second // for the sender to authenticate
	idleTimeout      = 2 * time.Minute // time without a packet
	maxConnections   = 4096

	unreadableLogInterval = time.Second // between two log lines about packets of one connection
)

// JSON-RPC methods of the handshake.
const (
	methodHello = "hello"
	methodProve = "prove"
)

// Server accepts connections from other instances.
type Server struct {
	name    string
	keys    func() []string
	deliver func(from string, data []byte) error
	logger  *slog.Logger

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewServer returns a server of the named instance. It passes each encoded packet
// and the name of its authenticated sender to deliver. An error of deliver closes
// the connection, but for ErrUnreadable: other packets wait behind this one. keys returns the keys that are currently accepted.
func NewServer(name string, keys func() []string, deliver func(from string, data []byte) error, logger *slog.Logger) *Server {
	return &Server{name: name, keys: keys, deliver: deliver, logger: logger, conns: make(map[net.Conn]struct{})}
}

// Serve accepts connections until the context ends. It returns nil when the
// context has ended, and otherwise the error of the listener.
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
		if s.register(conn) {
			go s.serve(ctx, conn)
		}
	}
}

// register adds a connection, or closes it when there are maxConnections.
func (s *Server) register(conn net.Conn) bool {
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

// session is the state of one incoming connection.
type session struct {
	server        *Server
	conn          net.Conn
	codec         frameCodec
	from          string // name of the sender
	challenge     challenge
	authenticated atomic.Bool
	hold          *budget.Hold // of the connection, nil without a budget
	unreadableAt  time.Time    // when a packet that could not be decoded was last logged
}

// serve handles one connection until it ends.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		conn.Close()
	}()
	incoming := &session{server: s, conn: conn, codec: newFrameCodec()}
	incoming.codec.onPacket = incoming.receive
	if incoming.hold = client.Hold(conn); incoming.hold != nil {
		incoming.codec.reserve, incoming.codec.release = incoming.reserve, incoming.hold.Shrink
	}
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return
	}
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(conn, incoming.codec), jsonrpc2.HandlerWithError(incoming.handle),
		jsonrpc2.SetLogger(discardLogger{}))
	<-rpc.DisconnectNotify()
	if !incoming.authenticated.Load() {
		event.PeerRejected.Log(s.logger, "remote", conn.RemoteAddr().String(), "name", incoming.from)
	}
}

// discardLogger discards the log lines of the JSON-RPC library.
type discardLogger struct{}

// Printf discards a line.
func (discardLogger) Printf(string, ...any) {}

// handle serves one call or notification.
func (s *session) handle(_ context.Context, rpc *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Params == nil {
		return nil, s.reject(rpc)
	}
	switch r.Method {
	case methodHello:
		var h hello
		if json.Unmarshal(*r.Params, &h) != nil || s.from != "" {
			return nil, s.reject(rpc)
		}
		c, err := newChallenge()
		s.from, s.challenge = h.From, c
		return c, err
	case methodProve:
		return nil, s.authenticate(rpc, *r.Params)
	}
	return nil, s.reject(rpc)
}

// reject closes the connection and returns the error for the sender.
func (s *session) reject(rpc *jsonrpc2.Conn) error {
	rpc.Close()
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "refused"}
}

// authenticate checks the sender's proof of the key and closes the connection if
// it is wrong.
func (s *session) authenticate(rpc *jsonrpc2.Conn, params []byte) error {
	var p proof
	if json.Unmarshal(params, &p) != nil || s.challenge.Nonce == "" || !validProof(s.server.keys(), s.from, s.challenge, p) {
		return s.reject(rpc)
	}
	if s.hold != nil && s.hold.Serving() != nil {
		return s.reject(rpc)
	}
	s.authenticated.Store(true)
	s.codec.raiseLimit()
	return s.conn.SetDeadline(time.Time{})
}

// frameTimeout is the time in which a large packet must arrive after its first bytes.
const frameTimeout = 10 * time.Second

// reserve reserves room for a packet. Without room it waits, and the sender with it.
func (s *session) reserve(bytes int64) error {
	if err := s.hold.Grow(bytes); err != nil {
		event.PacketDropped.Log(s.server.logger, "from", s.from, "bytes", bytes, "error", err)
		return err
	}
	return s.conn.SetReadDeadline(time.Now().Add(frameTimeout))
}

// receive passes one packet of an authenticated sender to deliver. It returns an
// error for a packet before authentication.
func (s *session) receive(data []byte) error {
	if !s.authenticated.Load() {
		return errors.Wrap(ErrMisdirected, "packet before authentication")
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	err := s.server.deliver(s.from, data)
	if errors.Is(err, ErrUnreadable) {
		s.logUnreadable(len(data), err)
		return nil
	}
	return err
}

// logUnreadable logs a packet that could not be decoded, at most once in unreadableLogInterval.
func (s *session) logUnreadable(bytes int, err error) {
	if time.Since(s.unreadableAt) < unreadableLogInterval {
		return
	}
	s.unreadableAt = time.Now()
	event.PacketUnreadable.Log(s.server.logger, "from", s.from, "bytes", bytes, "error", err)
}
