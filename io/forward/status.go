package forward

import (
	"net/http"
	"net/http/httptrace"

	"papayaquay/core/event"

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

// roundTrip sends a request on a connection, which it returns, and reads the header of its
// response. If it got none, the connection is nil. All responses of backend servers pass here. One
// without a status of an answer counts as a lost answer: what the server says in it, even that
// it has not run the request, is not to be relied on.
func (c *Client) roundTrip(r *http.Request, id, backend string) (*http.Response, httptrace.GotConnInfo, error) {
	var used httptrace.GotConnInfo
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { used = info }}
	response, err := c.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, used, err
	}
	if response.StatusCode < minFinalStatus || response.StatusCode > maxFinalStatus {
		used.Conn.Close() // it may have no body, and the connection would be used again
		response.Body.Close()
		event.StatusInvalid.Log(c.logger, "request", id, "backend", backend, "status", response.StatusCode)
		return nil, used, errNoAnswer
	}
	return response, used, nil
}
