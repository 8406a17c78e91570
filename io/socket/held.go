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
	open sync.WaitGroup // connections whose close waits for their answer
}

// NewShutdownGuard returns a guard for the connections of one server.
func NewShutdownGuard() *ShutdownGuard { return &ShutdownGuard{} }

// heldKey finds a request's connection in its context.
type heldKey struct{}

// Install sets the server up: its handler runs only on connections that are open,
// and these stay open until its answer is written.
func (h *ShutdownGuard) Install(s *http.Server) {
	handler := s.Handler
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, heldKey{}, conn)
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(heldKey{}).(*heldConn); ok {
			if !conn.take() {
				panic(http.ErrAbortHandler) // closed already: nobody can read the answer
			}
			defer conn.release()
		}
		handler.ServeHTTP(w, r)
	})
}

// Listener returns a listener whose connections are guarded.
func (h *ShutdownGuard) Listener(l net.Listener) net.Listener {
	return &heldListener{Listener: l, held: h}
}

// Wait waits until no close waits for an answer any more, or the context ends.
func (h *ShutdownGuard) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		h.open.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// heldListener wraps accepted connections.
type heldListener struct {
	net.Listener
	held *ShutdownGuard
}

// Accept returns the next connection.
func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{Conn: conn, held: l.held}, nil
}

// heldConn is a connection of a caller.
type heldConn struct {
	net.Conn
	held    *ShutdownGuard
	mu      sync.Mutex
	busy    bool // a handler runs
	closed  bool
	waiting bool // a close came while a handler ran
}

// take marks the connection as busy. It fails when the connection is closed.
func (c *heldConn) take() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = !c.closed
	return c.busy
}

// release marks the handler's end; the server writes the rest of the answer and
// closes the connection then, if it is to be closed.
func (c *heldConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// Close closes the connection, or does nothing while a handler runs: the server
// closes it once more after the answer.
func (c *heldConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		if !c.waiting {
			c.waiting = true
			c.held.open.Add(1)
		}
		return nil
	}
	if c.waiting {
		c.waiting = false
		c.held.open.Done()
	}
	c.closed = true
	return c.Conn.Close()
}
