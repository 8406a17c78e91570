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

// copyBytes is the size of buffers for bodies.
const copyBytes = 8 << 10

// buffers are reused between answers.
var buffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// EndToEndHeaders returns a copy of headers without those of one connection.
func EndToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
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
	events          scanner
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
func (r *Relay) Try(ctx context.Context, b member.Backend, slot string, heard func(entry.LoadReport)) (entry.AttemptStatus, entry.LoadReport) {
	a, sent := r.client.send(ctx, r.request, b, r.events.last, slot)
	r.mayHaveRun = r.mayHaveRun || (sent && (a == nil || !a.head.notRun))
	switch {
	case a == nil && ctx.Err() != nil:
		return entry.AttemptCallerGone, entry.LoadReport{}
	case a == nil && !sent:
		return entry.AttemptUnreachable, entry.LoadReport{}
	case a == nil:
		return entry.AttemptLost, entry.LoadReport{}
	}
	defer a.response.Body.Close()
	load := a.head.load
	switch {
	case a.head.notRun:
		drain(a.response.Body)
		return entry.AttemptNotRun, load
	case !a.head.mine || (r.responseStarted && a.response.StatusCode != http.StatusOK):
		return entry.AttemptLost, load
	}
	r.progress.Increment()
	heard(load)
	return r.copy(ctx, a), load
}

// drain reads a short body so that its connection can be used again.
func drain(body io.Reader) {
	_, _ = io.CopyN(io.Discard, body, copyBytes) // an error only costs the connection
}

// begin passes the head on, once.
func (r *Relay) begin(a *answer) {
	if r.responseStarted {
		return
	}
	r.responseStarted = true
	header := r.out.Header()
	for name, values := range EndToEndHeaders(a.response.Header) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps the library from guessing one
	}
	r.out.WriteHeader(a.response.StatusCode)
}

// copy passes the body on as it arrives. Of a resumable stream only whole
// events are passed, so that another server can go on. Its head waits for the
// first event: a server that breaks off before leaves nothing to go on from,
// and the answer is then another one's from its head on.
func (r *Relay) copy(ctx context.Context, a *answer) entry.AttemptStatus {
	resumable := r.resumable && a.response.StatusCode == http.StatusOK
	r.events.pending = nil
	if !resumable {
		r.begin(a)
	}
	buffer := buffers.Get().(*[copyBytes]byte)
	defer buffers.Put(buffer)
	for {
		n, err := a.response.Body.Read(buffer[:])
		r.progress.Increment()
		chunk := buffer[:n]
		if resumable {
			chunk = r.events.feed(chunk)
			r.events.each(chunk, func(uint64, []byte) {})
		}
		if len(chunk) > 0 {
			r.begin(a)
			if _, failed := r.out.Write(chunk); failed != nil {
				return entry.AttemptCallerGone
			}
			if r.flush() != nil {
				return entry.AttemptCallerGone
			}
		}
		switch {
		case err == io.EOF:
			return r.finish(a, resumable)
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
func (r *Relay) finish(a *answer, resumable bool) entry.AttemptStatus {
	r.begin(a)
	if !resumable || len(r.events.pending) == 0 {
		return entry.AttemptAnswered
	}
	if _, err := r.out.Write(r.events.pending); err != nil {
		return entry.AttemptCallerGone
	}
	return entry.AttemptAnswered
}
