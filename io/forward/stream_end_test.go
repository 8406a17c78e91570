package forward

import (
	"context"
	"net/http/httptest"
	"testing"

	"papayaquay/core/entry"
	"papayaquay/core/progress"
	"papayaquay/core/runner"

	qt "github.com/frankban/quicktest"
)

// TestStreamEnd guards against streams that look complete although they end inside an
// event, and against answers without length that look broken off although they are
// complete.
func TestStreamEnd(t *testing.T) {
	const (
		streamHeader = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream; charset=utf-8\r\n\r\n"
		textHeader   = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/plain\r\n\r\n"
	)
	for _, test := range []struct {
		name      string
		resumable bool
		response  string
		resets    bool // the connection is reset at the end, otherwise closed
		status    entry.AttemptStatus
		body      string // that the caller gets
		item      runner.AttemptStatus
	}{
		{"complete", false, streamHeader + events(1, 2), false, entry.AttemptAnswered, events(1, 2), runner.AttemptDone},
		{"complete, resumable", true, streamHeader + events(1, 2), false, entry.AttemptAnswered, events(1, 2), runner.AttemptDone},
		{"complete, other line ends", true, streamHeader + "id: 1\r\ndata: d1\r\n\r\n", false, entry.AttemptAnswered, "id: 1\r\ndata: d1\r\n\r\n", runner.AttemptDone},
		{"inside an event", false, streamHeader + events(1, 2) + "id: 3\nda", false, entry.AttemptInterrupted, events(1, 2) + "id: 3\nda", runner.AttemptInterrupted},
		{"inside an event, resumable", true, streamHeader + events(1, 2) + "id: 3\nda", false, entry.AttemptInterrupted, events(1, 2), runner.AttemptInterrupted},
		{"between two lines of an event", false, streamHeader + "id: 1\ndata: d1\n", false, entry.AttemptInterrupted, "id: 1\ndata: d1\n", runner.AttemptInterrupted},
		{"inside the first event, resumable", true, streamHeader + "id: 1\nda", false, entry.AttemptLost, "", runner.AttemptInterrupted},
		{"inside an event, in chunks", false, okHeader + chunk(events(1, 1)+"id: 2\n") + "0\r\n\r\n", false, entry.AttemptInterrupted, events(1, 1) + "id: 2\n", runner.AttemptInterrupted},
		{"reset", false, streamHeader + events(1, 2), true, entry.AttemptInterrupted, events(1, 2), runner.AttemptInterrupted},
		{"no stream", false, textHeader + "abc", false, entry.AttemptAnswered, "abc", runner.AttemptInterrupted},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			start := func() *testServer {
				s := newTestServer(t, test.resets, test.response)
				s.mu.Lock()
				s.closeAtEnd = !test.resets
				s.mu.Unlock()
				return s
			}
			client := New(testCodec())
			recorder := httptest.NewRecorder()
			relay := client.NewRelay(newRequest("POST"), recorder, test.resumable, progress.New())
			status, _ := relay.Try(context.Background(), start().backend(), "", func(entry.LoadReport) {}, func() {})
			c.Check(status, qt.Equals, test.status)
			c.Check(recorder.Body.String(), qt.Equals, test.body)
			item, _, _ := client.Collect(context.Background(), newRequest("POST"), start().backend(), 0, progress.New(), func(entry.LoadReport) {}, func([]byte, uint64) {})
			c.Check(item, qt.Equals, test.item)
		})
	}
}
