package forward

import (
	"net/http"
	"net/http/httptrace"

	"papayaquay/core/event"
	"papayaquay/io/socket"

	"github.com/cockroachdb/errors"
)

// Statuses that a final response can have (RFC 9110, section 15). The transport handles
// informational responses itself, but for 101, which nobody asks for here.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// errNoAnswer is the error of a response whose status is none: its bytes are no answer.
var errNoAnswer = errors.New("the response has no status of an answer")

// usedConn is the connection on which a request was sent.
type usedConn struct {
	conn         *socket.ClientConn // nil if there was none
	reused       bool               // it had other requests before
	writesBefore int64
}

// newUsedConn returns the connection that a request got, before it is sent.
func newUsedConn(info httptrace.GotConnInfo) usedConn {
	conn, _ := info.Conn.(*socket.ClientConn) // New makes all connections such ones
	return usedConn{conn: conn, reused: info.Reused, writesBefore: conn.Writes()}
}

// mayBeSent reports whether any of the request may have been sent.
func (u usedConn) mayBeSent() bool { return u.conn != nil && u.conn.Writes() != u.writesBefore }

// isStale reports whether the connection was closed before any of the request was sent.
func (u usedConn) isStale() bool { return u.conn != nil && !u.mayBeSent() }

// roundTrip sends a request on a connection, which it returns, and reads the header of its
// response. All responses of backend servers pass here. One without a status of an answer counts
// as a lost answer: what the server says in it, even that it has not run the request, is not to be
// relied on.
func (c *Client) roundTrip(r *http.Request, id, backend string) (*http.Response, usedConn, error) {
	var used usedConn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { used = newUsedConn(info) }}
	response, err := c.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, used, err
	}
	if response.StatusCode < minFinalStatus || response.StatusCode > maxFinalStatus {
		used.conn.Close() // it may have no body, and the connection would be used again
		response.Body.Close()
		event.StatusInvalid.Log(c.logger, "request", id, "backend", backend, "status", response.StatusCode)
		return nil, used, errNoAnswer
	}
	return response, used, nil
}
