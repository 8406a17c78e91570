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

// Response is the response of a plain service.
type Response struct {
	ID     string `json:"id"`
	Output string `json:"output"`
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
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	call, err := c.endpoint(a.Address())
	if err == nil {
		var result any
		if result, err = call(httptrace.WithClientTrace(ctx, trace), Call{ID: id, Input: a.Prompt()}); err == nil {
			response := result.(Response)
			if response.ID == id {
				post(traffic.AttemptText(a.ID(), response.Output, len(strings.Fields(response.Output))))
				post(traffic.AttemptCompleted(a.ID()))
				return
			}
			err = errWrongID
		}
	}
	post(traffic.AttemptFailed(a.ID(), classifyFailure(err, sent.Load()), err))
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

// decodeResponse decodes a service's response. A status other than 200 becomes an error.
func decodeResponse(_ context.Context, httpResponse *http.Response) (any, error) {
	switch {
	case httpResponse.StatusCode == http.StatusServiceUnavailable:
		return nil, errBusy
	case httpResponse.StatusCode >= 400 && httpResponse.StatusCode < 500:
		return nil, errRejected
	case httpResponse.StatusCode != http.StatusOK:
		return nil, errFailed
	}
	var response Response
	err := json.NewDecoder(io.LimitReader(httpResponse.Body, maxResponseBytes)).Decode(&response)
	return response, errors.Wrap(err, "decode response")
}
