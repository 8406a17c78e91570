package socket

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// ShutdownGuard keeps the connections of an HTTP server open until their requests
// are answered. When a server shuts down, net/http closes the connections that it
// considers idle. If a request arrived just before, its handler would run, but its
// response could not be sent.
type ShutdownGuard struct {
	pendingCloses sync.WaitGroup // connections whose close is delayed until the response is sent
}

// NewShutdownGuard returns a guard for the connections of one server.
func NewShutdownGuard() *ShutdownGuard { return &ShutdownGuard{} }

// connKey is the context key of a request's connection.
type connKey struct{}

// Install configures the server so that its handler runs only for open
// connections, and these stay open until the response is written.
func (g *ShutdownGuard) Install(s *http.Server) {
	handler := s.Handler
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*guardedConn); ok {
			if !conn.begin() {
				panic(http.ErrAbortHandler) // the connection is closed, so the response could not be sent
			}
			defer conn.end()
		}
		handler.ServeHTTP(w, r)
	})
}

// Listener returns a listener whose connections are guarded.
func (g *ShutdownGuard) Listener(l net.Listener) net.Listener {
	return &guardedListener{Listener: l, guard: g}
}

// Wait waits until there is no delayed close or the context ends.
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

// guardedListener is a listener that returns each accepted connection as a
// guardedConn.
type guardedListener struct {
	net.Listener
	guard *ShutdownGuard
}

// Accept returns the next connection.
func (l *guardedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &guardedConn{Conn: conn, guard: l.guard}, nil
}

// guardedConn is a connection that does not close while a handler runs.
type guardedConn struct {
	net.Conn
	guard        *ShutdownGuard
	mu           sync.Mutex
	handling     bool // a handler is running
	closed       bool
	closePending bool // Close was called while a handler was running
}

// NetConn returns the connection that is guarded.
func (c *guardedConn) NetConn() net.Conn { return c.Conn }

// begin records that a handler starts. It returns false if the connection is
// closed.
func (c *guardedConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = !c.closed
	return c.handling
}

// end records that the handler has returned. After that, the server writes the
// rest of the response and closes the connection if necessary.
func (c *guardedConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handling = false
}

// Close closes the connection. While a handler is running, it only records the
// delayed close, because the server calls Close again after the response.
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
