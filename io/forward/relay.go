package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"

	"papayaquay/core/entry"
	"papayaquay/core/member"
	"papayaquay/core/progress"
)

// copyBufferBytes is the size of buffers for bodies.
const copyBufferBytes = 8 << 10

// buffers are reused between answers.
var buffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// hopByHopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// EndToEndHeaders returns a copy of headers without those of one connection.
func EndToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// Relay copies the answers to one request to its caller. A resumable answer
// may come from several servers, each going on after the last whole event.
type Relay struct {
	client          *Client
	request         Request
	out             http.ResponseWriter
	flush           func() error
	resumable       bool
	events          eventScanner
	responseStarted bool // the head went to the caller
	mayHaveRun      bool // some server may have run the request
	progress        *progress.Counter
}

// NewRelay returns a relay to a caller.
func (c *Client) NewRelay(r Request, out http.ResponseWriter, resumable bool, counter *progress.Counter) *Relay {
	return &Relay{client: c, request: r, out: out, resumable: resumable, progress: counter,
		flush: http.NewResponseController(out).Flush}
}

// ResponseStarted reports whether a part of an answer went to the caller.
func (r *Relay) ResponseStarted() bool { return r.responseStarted }

// MayHaveRun reports whether some server may have run the request.
func (r *Relay) MayHaveRun() bool { return r.mayHaveRun }

// Try sends the request to one server, into a reserved slot if there is one, and
// copies its answer. heard is called when the head arrived.
func (r *Relay) Try(ctx context.Context, b member.Backend, slot string, onHeader func(entry.LoadReport)) (entry.AttemptStatus, entry.LoadReport) {
	resp, sent := r.client.send(ctx, r.request, b, r.events.lastID, slot)
	r.mayHaveRun = r.mayHaveRun || (sent && (resp == nil || !resp.header.notRun))
	switch {
	case resp == nil && ctx.Err() != nil:
		return entry.AttemptCallerGone, entry.LoadReport{}
	case resp == nil && !sent:
		return entry.AttemptUnreachable, entry.LoadReport{}
	case resp == nil:
		return entry.AttemptLost, entry.LoadReport{}
	}
	defer resp.response.Body.Close()
	load := resp.header.load
	switch {
	case resp.header.notRun:
		drainBody(resp.response.Body)
		return entry.AttemptNotRun, load
	case !resp.header.matchesRequest || (r.responseStarted && resp.response.StatusCode != http.StatusOK):
		return entry.AttemptLost, load
	}
	r.progress.Increment()
	onHeader(load)
	return r.copy(ctx, resp), load
}

// drainBody reads a short body so that its connection can be used again.
func drainBody(body io.Reader) {
	_, _ = io.CopyN(io.Discard, body, copyBufferBytes) // an error only costs the connection
}

// sendHeader passes the head on, once.
func (r *Relay) sendHeader(resp *backendResponse) {
	if r.responseStarted {
		return
	}
	r.responseStarted = true
	header := r.out.Header()
	for name, values := range EndToEndHeaders(resp.response.Header) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps the library from guessing one
	}
	r.out.WriteHeader(resp.response.StatusCode)
}

// copy passes the body on as it arrives. Of a resumable stream only whole
// events are passed, so that another server can go on. Its head waits for the
// first event: a server that breaks off before leaves nothing to go on from,
// and the answer is then another one's from its head on.
func (r *Relay) copy(ctx context.Context, resp *backendResponse) entry.AttemptStatus {
	resumable := r.resumable && resp.response.StatusCode == http.StatusOK
	r.events.pending = nil
	if !resumable {
		r.sendHeader(resp)
	}
	buffer := buffers.Get().(*[copyBufferBytes]byte)
	defer buffers.Put(buffer)
	for {
		n, err := resp.response.Body.Read(buffer[:])
		r.progress.Increment()
		chunk := buffer[:n]
		if resumable {
			chunk = r.events.feed(chunk)
			r.events.each(chunk, func(uint64, []byte) {})
		}
		if len(chunk) > 0 {
			r.sendHeader(resp)
			if _, writeErr := r.out.Write(chunk); writeErr != nil {
				return entry.AttemptCallerGone
			}
			if r.flush() != nil {
				return entry.AttemptCallerGone
			}
		}
		switch {
		case err == io.EOF:
			return r.finish(resp, resumable)
		case err != nil && ctx.Err() != nil:
			return entry.AttemptCallerGone
		case err != nil && !r.responseStarted:
			return entry.AttemptLost
		case err != nil:
			return entry.AttemptInterrupted
		}
	}
}

// finish passes on what follows the last whole event of a complete answer.
func (r *Relay) finish(resp *backendResponse, resumable bool) entry.AttemptStatus {
	r.sendHeader(resp)
	if !resumable || len(r.events.pending) == 0 {
		return entry.AttemptAnswered
	}
	if _, err := r.out.Write(r.events.pending); err != nil {
		return entry.AttemptCallerGone
	}
	return entry.AttemptAnswered
}
