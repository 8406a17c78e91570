package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"papayaquay/core/traffic"

	"github.com/cockroachdb/errors"
)

// Connection limits and timing.
const (
	dialTimeout   = 500 * time.Millisecond
	cancelTimeout = 2 * time.Second
	idlePerHost   = 64
	maxLineBytes  = 1 << 20
	crossedGrace  = 50 * time.Millisecond // for an answer that arrives on another connection
	maxRefusal    = 4 << 10
)

// Client runs attempts at engines. Events are matched by the attempt's id, so
// that late events or ones on another request's connection never reach the
// wrong request.
type Client struct {
	owner string
	http  *http.Client

	mu   sync.Mutex
	runs map[string]*run
}

// run is one attempt in progress.
type run struct {
	id      string
	number  uint64
	address string
	post    func(traffic.Input)
	cancel  context.CancelFunc
	ended   bool
}

// NewTransport returns the HTTP transport for connections to backend servers.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}).DialContext,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
}

// New returns a client. owner names this run of the instance and makes attempt
// ids unique.
func New(owner string, transport http.RoundTripper) *Client {
	return &Client{owner: owner, http: &http.Client{Transport: transport}, runs: make(map[string]*run)}
}

// Begin starts an attempt; its events go to post. It does not block.
func (c *Client) Begin(id string, a traffic.Attempt, post func(traffic.Input)) {
	ctx, cancel := context.WithCancel(a.Trace())
	r := &run{id: id, number: a.ID(), address: a.Address(), post: post, cancel: cancel}
	c.mu.Lock()
	c.runs[id] = r
	c.mu.Unlock()
	go c.run(ctx, r, a)
}

// Abort ends an attempt: its connection is closed and the engine is told the
// id. It does not block.
func (c *Client) Abort(id string) {
	c.mu.Lock()
	r := c.runs[id]
	delete(c.runs, id)
	c.mu.Unlock()
	if r == nil {
		return
	}
	r.cancel()
	go c.sendCancel(id, r.address)
}

// sendCancel tells an engine to stop a request.
func (c *Client) sendCancel(id, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	body, err := json.Marshal(CancelRequest{ID: id})
	if err != nil {
		return
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address+PathCancel, bytes.NewReader(body))
	if err != nil {
		return
	}
	if response, err := c.http.Do(request); err == nil {
		response.Body.Close()
	}
}

// run sends the request and reads its events.
func (c *Client) run(ctx context.Context, r *run, a traffic.Attempt) {
	defer r.cancel()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	response, err := c.send(httptrace.WithClientTrace(ctx, trace), r.id, a)
	if err != nil {
		failure := traffic.FailureNotSent
		if sent.Load() {
			failure = traffic.FailureConnectionLost
		}
		c.end(r, failure, err)
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		c.refused(r, response)
		return
	}
	err = c.read(response.Body)
	time.AfterFunc(crossedGrace, func() {
		c.end(r, traffic.FailureConnectionLost, errors.Wrap(err, "stream ended early"))
	})
}

// send posts the completion request.
func (c *Client) send(ctx context.Context, id string, a traffic.Attempt) (*http.Response, error) {
	body, err := json.Marshal(CompletionRequest{ID: id, Model: a.Model(), Adapter: a.Adapter(), Prompt: a.Prompt(),
		Resume: a.Prefix(), MaxTokens: a.MaxTokens(), Stream: true})
	if err != nil {
		return nil, errors.Wrap(err, "encode completion")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, a.Address()+PathCompletions, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	return response, errors.Wrap(err, "send completion")
}

// refused reports an answer with an error status.
func (c *Client) refused(r *run, response *http.Response) {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusal))
	err := errors.Newf("status %d: %s", response.StatusCode, strings.TrimSpace(string(text)))
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		c.end(r, traffic.FailureBusy, err)
	case response.StatusCode >= 400 && response.StatusCode < 500:
		c.end(r, traffic.FailureRejected, err)
	default:
		c.end(r, traffic.FailureConnectionLost, err)
	}
}

// read hands on the events of a stream, each to the attempt that it names.
func (c *Client) read(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		var chunk Chunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return errors.Wrap(err, "decode event")
		}
		c.take(chunk)
	}
	return errors.Wrap(lines.Err(), "read stream")
}

// take hands one event to its attempt. Events of ended or aborted attempts are
// dropped.
func (c *Client) take(chunk Chunk) {
	c.mu.Lock()
	r := c.runs[chunk.ID]
	c.mu.Unlock()
	if r == nil {
		return
	}
	if chunk.Text != "" || chunk.Tokens > 0 {
		r.post(traffic.AttemptText(r.number, chunk.Text, chunk.Tokens))
	}
	if chunk.Done {
		c.end(r, 0, nil)
	}
}

// end reports the end of an attempt, once.
func (c *Client) end(r *run, failure traffic.Failure, err error) {
	c.mu.Lock()
	known := c.runs[r.id] == r && !r.ended
	r.ended = true
	if known {
		delete(c.runs, r.id)
	}
	c.mu.Unlock()
	if !known {
		return
	}
	if failure == 0 {
		r.post(traffic.AttemptCompleted(r.number))
		return
	}
	r.post(traffic.AttemptFailed(r.number, failure, err))
}
