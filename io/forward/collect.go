package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"papayaquay/core/entry"
	"papayaquay/core/member"
	"papayaquay/core/progress"
	"papayaquay/core/runner"

	"github.com/cockroachdb/errors"
)

// readInterval is the pause between two reads of an item's events. The latency of
// items does not matter, and fewer reads cost less.
const readInterval = 100 * time.Millisecond

// eventsPerPartial is the number of event ids after which collectEvents reports a
// partial output.
const eventsPerPartial = 48

// Collect runs a request on one server and collects the data of the events after
// the one with the id lastEvent, separated by line feeds. It increments counter
// at each read that completes an event, passes the load report of an answer to onHeader and
// partial outputs to partial. It returns the status of the attempt, the text after the last
// partial output and the id of the newest event.
func (c *Client) Collect(ctx context.Context, r Request, b member.Backend, lastEvent uint64, counter *progress.Counter, onHeader func(entry.LoadReport), partial func(text []byte, lastEvent uint64)) (runner.AttemptStatus, []byte, uint64) {
	if r.Check() != nil {
		return runner.AttemptRejected, nil, lastEvent // an earlier version accepted it; no server is at fault
	}
	resp, sent := c.send(ctx, r, b, lastEvent, "")
	switch {
	case resp == nil && ctx.Err() != nil:
		return runner.AttemptStopped, nil, lastEvent
	case resp == nil && sent:
		return runner.AttemptInterrupted, nil, lastEvent
	case resp == nil:
		return runner.AttemptUnreachable, nil, lastEvent
	}
	defer resp.response.Body.Close()
	counter.Increment()
	if resp.header.notRun || resp.header.matchesRequest {
		onHeader(resp.header.load)
	}
	if resp.response.StatusCode != http.StatusOK || resp.header.notRun || !resp.header.matchesRequest {
		resp.closeConnection()
		return unansweredStatus(resp), nil, lastEvent
	}
	meter := newAnswerMeter(resp.response, maxItemBytes)
	meter.events = true
	text, newLastEvent, err := collectEvents(ctx, resp.response.Body, &meter, lastEvent, counter, partial)
	switch {
	case errors.Is(err, errOtherEvent):
		resp.closeConnection()
	case errors.Is(err, errEndless):
		c.logExceeded(r.id, resp, &meter)
	case err == io.EOF:
		return runner.AttemptDone, text, newLastEvent
	case ctx.Err() != nil:
		return runner.AttemptStopped, text, newLastEvent
	}
	return runner.AttemptInterrupted, text, newLastEvent
}

// unansweredStatus returns the status of an attempt whose response is no answer with events. The
// item may be sent again, with the same id, and the server may write this response once more.
// That passes for the response to the next attempt if it comes on the same connection, so
// the connection must be closed.
func unansweredStatus(resp *backendResponse) runner.AttemptStatus {
	switch {
	case resp.header.notRun:
		return runner.AttemptNotRun
	case !resp.header.matchesRequest:
		return runner.AttemptInterrupted
	case resp.response.StatusCode == http.StatusUnprocessableEntity:
		return runner.AttemptRejected
	}
	return runner.AttemptFailed
}

// errOtherEvent is the error of an answer that does not begin with the event after the last one.
var errOtherEvent = errors.New("the answer goes on at another event")

// collectEvents reads events until the body ends. The error is io.EOF when the
// body is complete and ends with a whole event, errEndless when it is too long, and
// errOtherEvent when it is the answer to another run of the item.
func collectEvents(ctx context.Context, body io.Reader, meter *answerMeter, lastEvent uint64, counter *progress.Counter, partial func(text []byte, lastEvent uint64)) ([]byte, uint64, error) {
	events := eventScanner{lastID: lastEvent}
	reported := lastEvent
	var text []byte
	first := true
	buffer := buffers.Get().(*[copyBufferBytes]byte)
	defer buffers.Put(buffer)
	for {
		n, err := body.Read(buffer[:])
		if meter.add(buffer[:n]); meter.exceeded() {
			return text, events.lastID, errEndless
		}
		chunk := events.feed(buffer[:n])
		if events.lastID == lastEvent && lastEvent > 0 && len(chunk) > 0 && !events.continuesWith(chunk) {
			return nil, lastEvent, errOtherEvent
		}
		events.each(chunk, func(_ uint64, data []byte) {
			if !first {
				text = append(text, '\n')
			}
			text, first = append(text, data...), false
			counter.Increment()
		})
		if events.lastID >= reported+eventsPerPartial {
			partial(text, events.lastID)
			text, first, reported = nil, true, events.lastID
		}
		if err != nil {
			if err == io.EOF && (len(events.pending) > 0 || meter.brokenOff()) {
				err = io.ErrUnexpectedEOF
			}
			return text, events.lastID, err
		}
		pause(ctx, readInterval)
	}
}

// pause waits for the duration or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
