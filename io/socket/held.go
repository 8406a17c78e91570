package socket

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// ShutdownGuard guards the connections of an HTTP server against a close between the
// arrival of a request and its handler. net/http closes connections that it
// counts as idle when the server stops, and a request that was read in that
// moment would run without a way for its answer.
type ShutdownGuard struct {
	pendingCloses sync.WaitGroup // connections whose close waits for their answer
}

// NewShutdownGuard returns a guard for the connections of one server.
func NewShutdownGuard() *ShutdownGuard { return &ShutdownGuard{} }

// connKey finds a request's connection in its context.
type connKey struct{}

// Install sets the server up: its handler runs only on connections that are open,
// and these stay open until its answer is written.
func (g *ShutdownGuard) Install(s *http.Server) {
	handler := s.Handler
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*guardedConn); ok {
			if !conn.begin() {
				panic(http.ErrAbortHandler) // closed already: nobody can read the answer
			}
			defer conn.end()
		}
		handler.ServeHTTP(w, r)
	})
}

// Listener returns a listener whose connections are guarded.
func (g *ShutdownGuard) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, guard: g}
}

// Wait waits until no close waits for an answer any more, or the context ends.
func (g *ShutdownGuard) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		g.pendingCloses.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// listener wraps accepted connections.
type listener struct {
	net.Listener
	guard *ShutdownGuard
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: conn, guard: l.guard}, nil
}

// guardedConn is a connection of a caller.
type guardedConn struct {
	net.Conn
	guard        *ShutdownGuard
	mu           sync.Mutex
	handling     bool // a handler runs
	closed       bool
	closePending bool // a close came while a handler ran
}

// begin marks the connection as busy. It fails when the connection is closed.
func (c *guardedConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = !c.closed
	return c.handling
}

// end marks the handler's end; the server writes the rest of the answer and
// closes the connection then, if it is to be closed.
func (c *guardedConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = false
}

// Close closes the connection, or does nothing while a handler runs: the server
// closes it once more after the answer.
func (c *guardedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handling {
		if !c.closePending {
			c.closePending = true
			c.guard.pendingCloses.Add(1)
		}
		return nil
	}
	if c.closePending {
		c.closePending = false
		c.guard.pendingCloses.Done()
	}
	c.closed = true
	return c.Conn.Close()
}
