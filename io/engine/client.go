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
	dialTimeout    = 500 * time.Millisecond
	cancelTimeout  = 2 * time.Second
	maxIdlePerHost = 64
	maxHeaderBytes = 64 << 10
	maxLineBytes   = 1 << 20               // of one line, and of all lines between two events of the attempt
	maxAnswerBytes = 16 << 20              // of all lines of an attempt
	lateEventDelay = 50 * time.Millisecond // for events that arrive on another connection
	maxErrorBytes  = 4 << 10
)

// Client runs attempts at engines. It matches events by attempt id, so that an event
// that is late or arrives on another request's connection never reaches the wrong
// request.
type Client struct {
	owner string
	http  *http.Client

	mu       sync.Mutex
	attempts map[string]*activeAttempt
}

// activeAttempt is one attempt in progress.
type activeAttempt struct {
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
		DialContext:            (&net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}).DialContext,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        time.Minute,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// New returns a client. owner identifies this process of the instance.
func New(owner string, transport http.RoundTripper) *Client {
	return &Client{owner: owner, http: &http.Client{Transport: transport}, attempts: make(map[string]*activeAttempt)}
}

// Begin starts an attempt and passes its events to post. id must be unique among all
// clients of the engine. It does not block.
func (c *Client) Begin(id string, a traffic.Attempt, post func(traffic.Input)) {
	ctx, cancel := context.WithCancel(a.Trace())
	active := &activeAttempt{id: id, number: a.ID(), address: a.Address(), post: post, cancel: cancel}
	c.mu.Lock()
	c.attempts[id] = active
	c.mu.Unlock()
	go c.run(ctx, active, a)
}

// Abort ends an attempt: it closes the connection and sends the engine a cancel request
// with the id. It does not block.
func (c *Client) Abort(id string) {
	c.mu.Lock()
	active := c.attempts[id]
	delete(c.attempts, id)
	c.mu.Unlock()
	if active == nil {
		return
	}
	active.cancel()
	go c.sendCancel(id, active.address)
}

// sendCancel sends a cancel request to an engine and ignores errors.
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

// run sends the request of an attempt and reads its events. The request counts as sent once
// it has a connection.
func (c *Client) run(ctx context.Context, active *activeAttempt, a traffic.Attempt) {
	defer active.cancel()
	var used atomic.Pointer[httptrace.GotConnInfo]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { used.Store(&info) }}
	response, err := c.send(httptrace.WithClientTrace(ctx, trace), active.id, a)
	if err != nil {
		failure := traffic.FailureNotSent
		if used.Load() != nil {
			failure = traffic.FailureConnectionLost
		}
		c.end(active, failure, err)
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		c.endWithStatus(active, response, used.Load())
		return
	}
	err = c.readEvents(active, response.Body)
	time.AfterFunc(lateEventDelay, func() {
		c.end(active, traffic.FailureConnectionLost, errors.Wrap(err, "stream ended early"))
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

// endWithStatus ends an attempt whose response has an error status. A response to another request
// says nothing about this one, which the engine may be running.
func (c *Client) endWithStatus(active *activeAttempt, response *http.Response, used *httptrace.GotConnInfo) {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	err := errors.Newf("status %d: %s", response.StatusCode, strings.TrimSpace(string(text)))
	var refusal ErrorResponse
	_ = json.Unmarshal(text, &refusal) // other text names no request
	switch {
	case !refusal.Names(active.id, used.Reused):
		used.Conn.Close()
		c.end(active, traffic.FailureConnectionLost, err)
	case response.StatusCode == http.StatusServiceUnavailable:
		c.end(active, traffic.FailureBusy, err)
	case response.StatusCode >= 400 && response.StatusCode < 500:
		c.end(active, traffic.FailureRejected, err)
	default:
		c.end(active, traffic.FailureConnectionLost, err)
	}
}

// errEndless is the error of a stream that exceeds its limits.
var errEndless = errors.New("the stream exceeds its limits")

// readEvents reads the events of a stream and delivers each to the attempt that it names.
// The stream must have events of the active attempt.
func (c *Client) readEvents(active *activeAttempt, body io.Reader) error {
	total, idle := 0, 0 // bytes in all, and since the last event of the attempt
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for lines.Scan() {
		n := len(lines.Bytes()) + 1
		if total, idle = total+n, idle+n; total > maxAnswerBytes || idle > maxLineBytes {
			return errEndless
		}
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		var chunk Chunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return errors.Wrap(err, "decode event")
		}
		if chunk.ID == active.id {
			idle = 0
		}
		c.deliver(chunk)
	}
	return errors.Wrap(lines.Err(), "read stream")
}

// deliver posts one event for its attempt. It drops events of ended or aborted attempts.
func (c *Client) deliver(chunk Chunk) {
	c.mu.Lock()
	active := c.attempts[chunk.ID]
	c.mu.Unlock()
	if active == nil {
		return
	}
	if chunk.Text != "" || chunk.Tokens > 0 {
		active.post(traffic.AttemptText(active.number, chunk.Text, chunk.Tokens))
	}
	if chunk.Done {
		c.end(active, 0, nil)
	}
}

// end posts the end of an attempt. Further calls do nothing. failure is 0 for a complete
// answer.
func (c *Client) end(active *activeAttempt, failure traffic.Failure, err error) {
	c.mu.Lock()
	open := c.attempts[active.id] == active && !active.ended
	active.ended = true
	if open {
		delete(c.attempts, active.id)
	}
	c.mu.Unlock()
	if !open {
		return
	}
	if failure == 0 {
		active.post(traffic.AttemptCompleted(active.number))
		return
	}
	active.post(traffic.AttemptFailed(active.number, failure, err))
}
