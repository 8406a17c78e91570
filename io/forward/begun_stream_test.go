package forward

import (
	"context"
	"net/http/httptest"
	"testing"

	"papayaquay/core/entry"
	"papayaquay/core/progress"

	qt "github.com/frankban/quicktest"
)

// TestErrorAfterBegunStream checks that the answer of the server that should continue a
// stream reaches the caller only if it is a stream.
func TestErrorAfterBegunStream(t *testing.T) {
	page := "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/html\r\nContent-Length: 20\r\n\r\n<html>no\n\n</html>  \n"
	for _, test := range []struct {
		name     string
		response string
		status   entry.AttemptStatus
	}{
		{"error", "HTTP/1.1 500 No\r\nId: r1\r\nContent-Length: 2\r\n\r\nno", entry.AttemptLost},
		{"refusal", refusalOfRequest, entry.AttemptNotRun},
		{"page with status 200", page, entry.AttemptLost},
		{"error text with status 200", "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nno", entry.AttemptLost},
		{"text in a stream", okHeader + chunk("HTTP/1.1 500 No\r\n\r\nno") + "0\r\n\r\n", entry.AttemptInterrupted},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			first := newTestServer(t, true, okHeader+chunk(events(1, 2)+"id: 3\n"))
			second := newTestServer(t, false, test.response)
			recorder := httptest.NewRecorder()
			relay := New(testCodec()).NewRelay(newRequest("POST"), recorder, true, progress.New())
			status, _ := relay.Try(context.Background(), first.backend(), "", func(entry.LoadReport) {}, func() {})
			c.Assert(status, qt.Equals, entry.AttemptInterrupted)
			status, _ = relay.Try(context.Background(), second.backend(), "", func(entry.LoadReport) {}, func() {})
			c.Check(status, qt.Equals, test.status)
			c.Assert(recorder.Body.String(), qt.Equals, events(1, 2))
		})
	}
}
