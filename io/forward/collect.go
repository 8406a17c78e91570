package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"papayaquay/core/member"
	"papayaquay/core/progress"
	"papayaquay/core/runner"
)

// readInterval gathers the events of an item, whose latency does not matter, into
// fewer reads.
const readInterval = 100 * time.Millisecond

// eventsPerPartial is the number of events after which a part of an output is told.
const eventsPerPartial = 48

// Collect runs a request on one server and collects the data of its events
// after the one with the id last, separated by line feeds. counter counts the
// reads, part is told of output on the way. It returns how that ended, the text
// after the last part and the id of the newest event.
func (c *Client) Collect(ctx context.Context, r Request, b member.Backend, lastEvent uint64, counter *progress.Counter, partial func(text []byte, lastEvent uint64)) (runner.AttemptStatus, []byte, uint64) {
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
	switch {
	case resp.header.notRun:
		drainBody(resp.response.Body)
		return runner.AttemptNotRun, nil, lastEvent
	case !resp.header.matchesRequest:
		return runner.AttemptInterrupted, nil, lastEvent
	case resp.response.StatusCode == http.StatusUnprocessableEntity:
		drainBody(resp.response.Body)
		return runner.AttemptRejected, nil, lastEvent
	case resp.response.StatusCode != http.StatusOK:
		drainBody(resp.response.Body)
		return runner.AttemptFailed, nil, lastEvent
	}
	text, newLastEvent, err := collectEvents(ctx, resp.response.Body, lastEvent, counter, partial)
	switch {
	case err == io.EOF:
		return runner.AttemptDone, text, newLastEvent
	case ctx.Err() != nil:
		return runner.AttemptStopped, text, newLastEvent
	}
	return runner.AttemptInterrupted, text, newLastEvent
}

// collectEvents reads events until the body ends; the error is io.EOF when it
// ended well.
func collectEvents(ctx context.Context, body io.Reader, lastEvent uint64, counter *progress.Counter, partial func(text []byte, lastEvent uint64)) ([]byte, uint64, error) {
	events := eventScanner{lastID: lastEvent}
	reported := lastEvent
	var text []byte
	first := true
	buffer := buffers.Get().(*[copyBufferBytes]byte)
	defer buffers.Put(buffer)
	for {
		n, err := body.Read(buffer[:])
		counter.Increment()
		events.each(events.feed(buffer[:n]), func(_ uint64, data []byte) {
			if !first {
				text = append(text, '\n')
			}
			text, first = append(text, data...), false
		})
		if events.lastID >= reported+eventsPerPartial {
			partial(text, events.lastID)
			text, first, reported = nil, true, events.lastID
		}
		if err != nil {
			if err == io.EOF && len(events.pending) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return text, events.lastID, err
		}
		pause(ctx, readInterval)
	}
}

// pause waits for a time or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
