package client

import (
	"net"
	"sync"

	"papayaquay/core/budget"
)

// conn is an accepted connection.
type conn struct {
	net.Conn
	hold     *budget.Hold
	mu       sync.Mutex
	requests int  // that run
	answered bool // the handler has ended, but not the request: its rest is read, its answer written
	idle     bool // nothing of the next request has arrived
}

// unwrap returns the connection that a gate accepted, or nil.
func unwrap(c net.Conn) *conn {
	for c != nil {
		if own, ok := c.(*conn); ok {
			return own
		}
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapped.NetConn()
	}
	return nil
}

// Read reads from the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || !c.readsHead() {
		return n, err
	}
	c.hold.Received(n)
	return n, err
}

// readsHead reports whether the bytes that arrive belong to the head of a request.
func (c *conn) readsHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.idle = false
		c.hold.Reading()
	}
	return c.requests == 0
}

// begin records that the handler of a request starts.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.answered = false
	_ = c.hold.Serving() // a connection that has to give way is closed
}

// end records that the handler of a request has ended. What is left of an HTTP/1 request, its client can
// delay: from now on the connection may have to give way.
func (c *conn) end(http1 bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if http1 {
		c.answered = true
		c.hold.Reading()
		return
	}
	c.requests--
}

// rest records that the connection has no request.
func (c *conn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answered {
		c.requests, c.answered = 0, false
	}
	c.idle = true
	c.hold.Idle()
}

// Close closes the connection.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.hold.Close()
	return err
}
