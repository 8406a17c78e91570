package client

import (
	"bytes"
	"net"
	"net/http"
	"sync"

	"papayaquay/core/budget"
)

// headCost is the memory that a byte of a request's head takes while it is decoded: a line of a few bytes
// becomes an entry of a map.
const headCost = 20

// Memory of a decoded header.
const (
	headerLineBytes = 128 // of a line beside its text
	headerCopies    = 3   // as it was read, as it is passed on, and as it is sent
)

// headerBytes returns the memory that a header takes until its request ends.
func headerBytes(h http.Header) int64 {
	size := 0
	for name, values := range h {
		size += len(name) + headerLineBytes
		for _, v := range values {
			size += len(v) + headerLineBytes
		}
	}
	return headerCopies * int64(size)
}

// http2Preface begins an HTTP/2 connection (RFC 9113, section 3.4).
const http2Preface = "PRI * HTTP/2.0"

// conn is an accepted connection. Between requests it counts what it reads: the head of the next one.
type conn struct {
	net.Conn
	hold     *budget.Hold
	mu       sync.Mutex
	requests int // that run
	http2    bool
	answered bool  // the handler has ended, but not the request: its rest is read, its answer written
	idle     bool  // nothing of the next request has arrived
	head     int64 // reserved for the head of the next request
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

// Read reads from the connection. It fails if there is no room for the head of a request.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || !c.readsHead() {
		return n, err
	}
	c.hold.Received(n)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.http2 = c.http2 || bytes.HasPrefix(p[:n], []byte(http2Preface))
	if c.http2 { // the library bounds the head of a stream, and frames without a stream come at any time
		c.hold.Shrink(c.head)
		c.head = 0
	}
	cost := int64(n) * headCost
	if err := c.hold.Grow(cost); err != nil {
		return 0, err
	}
	c.head += cost
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

// begin records that the handler of a request starts. Its header is reserved by the request from now on.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.answered = false
	c.hold.Shrink(c.head)
	c.head = 0
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
	c.hold.Shrink(c.head)
	c.head, c.idle = 0, true
	c.hold.Idle()
}

// Close closes the connection.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.hold.Close()
	return err
}
