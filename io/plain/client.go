// Package plain calls plain HTTP services with one JSON request and one JSON response.
package plain

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"

	"papayaquay/core/traffic"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
)

// maxResponseBytes limits the size of a response.
const maxResponseBytes = 4 << 20

// PathCall is the path of the protocol, below the service's base URL.
const PathCall = "/call"

// Call is the request to a plain service.
type Call struct {
	ID    string `json:"id"` // echoed in the response
	Input string `json:"input"`
}

// Response is the response of a plain service. One with an error status names the call too, if
// it could be read.
type Response struct {
	ID     string `json:"id"`
	Output string `json:"output"`
}

// result is a decoded response.
type result struct {
	response Response
	err      error // for the status, nil for 200
}

// belongsTo reports whether the response is that to the call with an id. One with an error status
// and without an id is, unless its connection had other calls: it may be an earlier one
// that the service wrote once more.
func (r result) belongsTo(id string, connectionReused bool) bool {
	return r.response.ID == id || (r.err != nil && r.response.ID == "" && !connectionReused)
}

// Errors of a call.
var (
	errBusy     = errors.New("service is busy, the call was not run")
	errRejected = errors.New("service rejected the call")
	errFailed   = errors.New("service failed")
	errWrongID  = errors.New("response belongs to another call")
)

// Client runs attempts at plain services.
type Client struct {
	http *http.Client

	mu      sync.Mutex
	cancels map[string]context.CancelFunc
}

// New returns a client.
func New(transport http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: transport}, cancels: make(map[string]context.CancelFunc)}
}

// Begin starts an attempt and passes its events to post. It does not block.
func (c *Client) Begin(id string, a traffic.Attempt, post func(traffic.Input)) {
	ctx, cancel := context.WithDeadline(a.Trace(), a.Deadline())
	c.mu.Lock()
	c.cancels[id] = cancel
	c.mu.Unlock()
	go func() {
		defer c.Abort(id)
		c.run(ctx, id, a, post)
	}()
}

// Abort ends an attempt and cancels its HTTP request. It does not block.
func (c *Client) Abort(id string) {
	c.mu.Lock()
	cancel := c.cancels[id]
	delete(c.cancels, id)
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// run makes the call and posts its result.
func (c *Client) run(ctx context.Context, id string, a traffic.Attempt, post func(traffic.Input)) {
	var used atomic.Pointer[httptrace.GotConnInfo]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { used.Store(&info) }}
	response, err := c.call(httptrace.WithClientTrace(ctx, trace), a.Address(), Call{ID: id, Input: a.Prompt()}, used.Load)
	if err != nil {
		post(traffic.AttemptFailed(a.ID(), classifyFailure(err, used.Load() != nil), err))
		return
	}
	post(traffic.AttemptText(a.ID(), response.Output, len(strings.Fields(response.Output))))
	post(traffic.AttemptCompleted(a.ID()))
}

// call makes the call. used returns the connection that it got.
func (c *Client) call(ctx context.Context, address string, request Call, used func() *httptrace.GotConnInfo) (Response, error) {
	call, err := c.endpoint(address)
	if err != nil {
		return Response{}, err
	}
	decoded, err := call(ctx, request)
	if err != nil {
		return Response{}, err
	}
	r := decoded.(result)
	if conn := used(); !r.belongsTo(request.ID, conn.Reused) {
		conn.Conn.Close()
		return Response{}, errWrongID
	}
	return r.response, r.err
}

// classifyFailure returns the kind of failure of a call with an error. sent tells whether the
// call got a connection.
func classifyFailure(err error, sent bool) traffic.Failure {
	switch {
	case errors.Is(err, errBusy):
		return traffic.FailureBusy
	case errors.Is(err, errRejected):
		return traffic.FailureRejected
	case !sent:
		return traffic.FailureNotSent
	default:
		return traffic.FailureConnectionLost
	}
}

// endpoint returns the call as a go-kit endpoint.
func (c *Client) endpoint(address string) (endpoint.Endpoint, error) {
	target, err := url.Parse(address + PathCall)
	if err != nil {
		return nil, errors.Wrap(err, "parse service address")
	}
	return kithttp.NewClient(http.MethodPost, target, kithttp.EncodeJSONRequest, decodeResponse,
		kithttp.SetClient(c.http)).Endpoint(), nil
}

// decodeResponse decodes a service's response to a result.
func decodeResponse(_ context.Context, httpResponse *http.Response) (any, error) {
	var r result
	err := json.NewDecoder(io.LimitReader(httpResponse.Body, maxResponseBytes)).Decode(&r.response)
	if r.err = statusError(httpResponse.StatusCode); r.err != nil {
		return r, nil // the text of an error may be anything
	}
	return r, errors.Wrap(err, "decode response")
}

// statusError returns the error for a status, nil for 200.
func statusError(status int) error {
	switch {
	case status == http.StatusServiceUnavailable:
		return errBusy
	case status >= 400 && status < 500:
		return errRejected
	case status != http.StatusOK:
		return errFailed
	}
	return nil
}
