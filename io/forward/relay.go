package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"

	"papayaquay/core/entry"
	"papayaquay/core/event"
	"papayaquay/core/member"
	"papayaquay/core/progress"
)

// copyBufferBytes is the size of the buffers that copy bodies.
const copyBufferBytes = 8 << 10

// buffers holds copy buffers for reuse.
var buffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// hopByHopHeaders are the headers that apply to one connection only (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// EndToEndHeaders returns a copy of headers without the hop-by-hop headers.
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

// Relay copies the response to one request to its caller. Several servers may
// send parts of a resumable response: each continues after the last whole event.
type Relay struct {
	client          *Client
	request         Request
	out             http.ResponseWriter
	flush           func() error
	resumable       bool
	events          eventScanner
	responseStarted bool // the header has been sent to the caller
	mayHaveRun      bool // a server may have run the request
	progress        *progress.Counter
	mayBegin        func(ctx context.Context) bool // of the current attempt; see Hold
	held            bool                           // mayBegin was not called yet
}

// NewRelay returns a relay that writes the response to out and increments counter
// at each read.
func (c *Client) NewRelay(r Request, out http.ResponseWriter, resumable bool, counter *progress.Counter) *Relay {
	return &Relay{client: c, request: r, out: out, resumable: resumable, progress: counter,
		flush: http.NewResponseController(out).Flush}
}

// ResponseStarted reports whether a part of a response has been sent to the caller.
func (r *Relay) ResponseStarted() bool { return r.responseStarted }

// MayHaveRun reports whether a server may have run the request.
func (r *Relay) MayHaveRun() bool { return r.mayHaveRun }

// Hold sets a function that is called once in the next attempt, before the first bytes of a
// resumable answer go to the caller. It may block; if it returns false, the attempt is lost.
func (r *Relay) Hold(mayBegin func(ctx context.Context) bool) { r.mayBegin, r.held = mayBegin, true }

// release reports whether bytes of the current attempt may go to the caller.
func (r *Relay) release(ctx context.Context) bool {
	if !r.held {
		return true
	}
	r.held = false
	return r.mayBegin(ctx)
}

// Try sends the request to one server, with a reserved slot if there is one, and
// copies its response. It calls onHeader when the header of a valid response has
// arrived, and onBegin when the first bytes of the body of a success have. It returns the status of
// the attempt and the server's load report.
func (r *Relay) Try(ctx context.Context, b member.Backend, slot string, onHeader func(entry.LoadReport), onBegin func()) (entry.AttemptStatus, entry.LoadReport) {
	if r.events.lastID > 0 {
		event.AttemptResumes.Log(r.client.logger, "request", r.request.id, "backend", b.ID(), "after", r.events.lastID)
	}
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
	case !resp.header.matchesRequest:
		resp.closeConnection()
		return entry.AttemptLost, load
	case r.responseStarted && !isEventStream(resp.response):
		return entry.AttemptLost, load
	}
	r.progress.Increment()
	onHeader(load)
	return r.copy(ctx, resp, onBegin), load
}

// drainBody reads a short body so that its connection can be reused.
func drainBody(body io.Reader) {
	_, _ = io.CopyN(io.Discard, body, copyBufferBytes) // after an error the connection is not reused
}

// sendHeader sends the header to the caller unless it has been sent before.
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
		header["Content-Type"] = nil // prevents net/http from detecting a type
	}
	r.out.WriteHeader(resp.response.StatusCode)
}

// copy sends the body to the caller as it arrives. It sends only whole events of
// a resumable response, so that another server can continue after any of them. It
// delays the header of a resumable response until the first whole event: if the
// server fails earlier, the caller gets the whole response of another server,
// including its header.
func (r *Relay) copy(ctx context.Context, resp *backendResponse, onBegin func()) entry.AttemptStatus {
	resumable := r.resumable && resp.response.StatusCode == http.StatusOK
	r.events.pending = nil
	if !resumable {
		r.sendHeader(resp)
	}
	buffer := buffers.Get().(*[copyBufferBytes]byte)
	defer buffers.Put(buffer)
	began, resumes := false, r.responseStarted
	isSuccess := resp.response.StatusCode < http.StatusMultipleChoices // a failure may come without a run
	meter := newAnswerMeter(resp.response, maxAnswerBytes)
	meter.events = meter.events || resumable
	for {
		n, err := resp.response.Body.Read(buffer[:])
		r.progress.Increment()
		if n > 0 && !began && isSuccess {
			began = true
			onBegin()
		}
		chunk := buffer[:n]
		meter.add(chunk)
		switch {
		case meter.exceeded():
			r.client.logExceeded(r.request.id, resp, &meter)
			chunk, err = nil, errEndless
		case err == io.EOF && meter.brokenOff():
			err = io.ErrUnexpectedEOF
		}
		if resumable {
			chunk = r.events.feed(chunk)
			if resumes && len(chunk) > 0 && !r.events.continuesWith(chunk) {
				return r.brokenStatus(ctx)
			}
			resumes = resumes && len(chunk) == 0
		}
		if resumable && len(chunk) > 0 && !r.release(ctx) {
			return r.brokenStatus(ctx)
		}
		if len(chunk) > 0 && !r.write(resp, chunk) {
			return entry.AttemptCallerGone
		}
		if resumable {
			r.events.each(chunk, func(uint64, []byte) {}) // only what was sent counts for the next attempt
		}
		switch {
		case err == io.EOF:
			return r.finish(resp, resumable)
		case err != nil:
			return r.brokenStatus(ctx)
		}
	}
}

// write sends bytes of the body to the caller, after the header. It reports false if the
// caller is gone.
func (r *Relay) write(resp *backendResponse, data []byte) bool {
	r.sendHeader(resp)
	if _, err := r.out.Write(data); err != nil {
		return false
	}
	return r.flush() == nil
}

// brokenStatus returns the status of an attempt whose body did not come to its end.
func (r *Relay) brokenStatus(ctx context.Context) entry.AttemptStatus {
	switch {
	case ctx.Err() != nil:
		return entry.AttemptCallerGone
	case !r.responseStarted:
		return entry.AttemptLost
	}
	return entry.AttemptInterrupted
}

// finish sends the bytes after the last whole event of a complete response.
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
