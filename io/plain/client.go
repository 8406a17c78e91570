// Package plain calls plain HTTP services: one JSON request, one JSON answer.
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

// maxAnswerBytes bounds an answer.
const maxAnswerBytes = 4 << 20

// PathCall is the path of the protocol, below the service's base URL.
const PathCall = "/call"

// Call is the request to a plain service.
type Call struct {
	ID    string `json:"id"` // echoed in the answer
	Input string `json:"input"`
}

// Response is the answer of a plain service.
type Response struct {
	ID     string `json:"id"`
	Output string `json:"output"`
}

// Errors of a call.
var (
	errBusy     = errors.New("service is busy, the call was not run")
	errRejected = errors.New("service rejected the call")
	errFailed   = errors.New("service failed")
	errCrossed  = errors.New("answer belongs to another call")
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

// Begin starts an attempt; its events go to post. It does not block.
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

// Abort ends an attempt. It does not block.
func (c *Client) Abort(id string) {
	c.mu.Lock()
	cancel := c.cancels[id]
	delete(c.cancels, id)
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// run makes the call and reports its end.
func (c *Client) run(ctx context.Context, id string, a traffic.Attempt, post func(traffic.Input)) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	call, err := c.endpoint(a.Address())
	if err == nil {
		var reply any
		if reply, err = call(httptrace.WithClientTrace(ctx, trace), Call{ID: id, Input: a.Prompt()}); err == nil {
			answer := reply.(Response)
			if answer.ID == id {
				post(traffic.AttemptText(a.ID(), answer.Output, len(strings.Fields(answer.Output))))
				post(traffic.AttemptCompleted(a.ID()))
				return
			}
			err = errCrossed
		}
	}
	post(traffic.AttemptFailed(a.ID(), classify(err, sent.Load()), err))
}

// classify tells what is known of a failed call.
func classify(err error, sent bool) traffic.Failure {
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
		return nil, errors.Wrap(err, "service address")
	}
	return kithttp.NewClient(http.MethodPost, target, kithttp.EncodeJSONRequest, decodeAnswer,
		kithttp.SetClient(c.http)).Endpoint(), nil
}

// decodeAnswer reads the service's answer.
func decodeAnswer(_ context.Context, response *http.Response) (any, error) {
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		return nil, errBusy
	case response.StatusCode >= 400 && response.StatusCode < 500:
		return nil, errRejected
	case response.StatusCode != http.StatusOK:
		return nil, errFailed
	}
	var answer Response
	err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&answer)
	return answer, errors.Wrap(err, "decode answer")
}
