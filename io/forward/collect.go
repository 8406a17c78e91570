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

// readPause gathers the events of an item, whose latency does not matter, into
// fewer reads.
const readPause = 100 * time.Millisecond

// partEvents is the number of events after which a part of an output is told.
const partEvents = 48

// Collect runs a request on one server and collects the data of its events
// after the one with the id last, separated by line feeds. counter counts the
// reads, part is told of output on the way. It returns how that ended, the text
// after the last part and the id of the newest event.
func (c *Client) Collect(ctx context.Context, r Request, b member.Backend, last uint64, counter *progress.Counter, part func(text []byte, last uint64)) (runner.AttemptStatus, []byte, uint64) {
	a, sent := c.send(ctx, r, b, last, "")
	switch {
	case a == nil && ctx.Err() != nil:
		return runner.AttemptStopped, nil, last
	case a == nil && sent:
		return runner.AttemptInterrupted, nil, last
	case a == nil:
		return runner.AttemptUnreachable, nil, last
	}
	defer a.response.Body.Close()
	counter.Increment()
	switch {
	case a.head.notRun:
		drain(a.response.Body)
		return runner.AttemptNotRun, nil, last
	case !a.head.mine:
		return runner.AttemptInterrupted, nil, last
	case a.response.StatusCode == http.StatusUnprocessableEntity:
		drain(a.response.Body)
		return runner.AttemptRejected, nil, last
	case a.response.StatusCode != http.StatusOK:
		drain(a.response.Body)
		return runner.AttemptFailed, nil, last
	}
	text, newest, err := collectEvents(ctx, a.response.Body, last, counter, part)
	switch {
	case err == io.EOF:
		return runner.AttemptDone, text, newest
	case ctx.Err() != nil:
		return runner.AttemptStopped, text, newest
	}
	return runner.AttemptInterrupted, text, newest
}

// collectEvents reads events until the body ends; the error is io.EOF when it
// ended well.
func collectEvents(ctx context.Context, body io.Reader, last uint64, counter *progress.Counter, part func(text []byte, last uint64)) ([]byte, uint64, error) {
	events := scanner{last: last}
	told := last
	var text []byte
	first := true
	buffer := buffers.Get().(*[copyBytes]byte)
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
		if events.last >= told+partEvents {
			part(text, events.last)
			text, first, told = nil, true, events.last
		}
		if err != nil {
			if err == io.EOF && len(events.pending) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return text, events.last, err
		}
		pause(ctx, readPause)
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
