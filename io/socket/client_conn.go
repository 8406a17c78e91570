package socket

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ClientConn is a connection to a server on which one side may write while the other reads. The
// kernel reports a reset once, to either of them: if the writing side gets it, the reading side
// sees a regular end. ClientConn reports it to both. It also counts the writes, so that a client
// knows whether anything of a request may have been sent.
type ClientConn struct {
	net.Conn
	closed   atomic.Bool
	writes   atomic.Int64
	mu       sync.Mutex // held while a write runs
	writeErr error      // of the last write
}

// NewClientConn returns a connection that takes the place of conn.
func NewClientConn(conn net.Conn) *ClientConn { return &ClientConn{Conn: conn} }

// Writes returns the number of writes that were begun on the open connection.
func (c *ClientConn) Writes() int64 { return c.writes.Load() }

// Write writes to the connection. On one that was closed here it fails without being counted.
func (c *ClientConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	c.writes.Add(1)
	n, err := c.Conn.Write(data)
	c.writeErr = err
	return n, err
}

// Read reads from the connection. The error is io.EOF only if the server ended its side regularly.
func (c *ClientConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err == io.EOF {
		if cause := c.failedWrite(); cause != nil {
			err = cause
		}
	}
	return n, err
}

// failedWrite returns the error of a write that failed because the connection is broken. A write
// that still runs is ended first: after the end of the server's side nobody needs the rest. EPIPE
// means that the server had ended its side regularly before it reset the connection.
func (c *ClientConn) failedWrite() error {
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection is closed
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(c.writeErr, os.ErrDeadlineExceeded) || errors.Is(c.writeErr, syscall.EPIPE) {
		return nil
	}
	return c.writeErr
}

// Close closes the connection.
func (c *ClientConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}
