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

// Responses of a server that writes an earlier refusal once more.
const (
	refusal          = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	refusalOfRequest = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: r1\r\nContent-Length: 0\r\n\r\n"
	refusalOfOther   = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: r0\r\nContent-Length: 0\r\n\r\n"
	answerOfRequest  = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nok"
)

// TestStaleRefusalOnKeptConnection checks that a refusal that does not name its request is
// not taken for that of a request on a connection that had others before, since the server may
// be running the request.
func TestStaleRefusalOnKeptConnection(t *testing.T) {
	for _, test := range []struct {
		name      string
		responses []string // the second one is to the checked request
		status    entry.AttemptStatus
	}{
		{"without id, after an answer", []string{answerOfRequest, refusal}, entry.AttemptLost},
		{"without id, after a refusal", []string{refusal, refusal}, entry.AttemptLost},
		{"of another request", []string{answerOfRequest, refusalOfOther}, entry.AttemptLost},
		{"of this request", []string{answerOfRequest, refusalOfRequest}, entry.AttemptNotRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newTestServer(t, false, append(test.responses, answerOfRequest)...)
			client := New(testCodec())
			try := func() (*Relay, entry.AttemptStatus) {
				relay := client.NewRelay(newRequest("POST"), httptest.NewRecorder(), false, progress.New())
				status, _ := relay.Try(context.Background(), s.backend(), "", func(entry.LoadReport) {}, func() {})
				return relay, status
			}
			try()
			relay, status := try()
			c.Assert(status, qt.Equals, test.status)
			c.Assert(relay.MayHaveRun(), qt.Equals, test.status == entry.AttemptLost)
			_, status = try()
			c.Assert(status, qt.Equals, entry.AttemptAnswered)
			_, conns := s.count()
			c.Assert(conns == 2, qt.Equals, test.status == entry.AttemptLost, qt.Commentf("%d connections", conns))
		})
	}
}

// TestStaleRefusalOfItem checks the same for items, whose connections are kept after complete
// answers only.
func TestStaleRefusalOfItem(t *testing.T) {
	c := qt.New(t)
	s := newTestServer(t, false, okHeader+chunk(events(1, 2))+"0\r\n\r\n", refusal)
	client := New(testCodec())
	for _, want := range []runner.AttemptStatus{runner.AttemptDone, runner.AttemptInterrupted} {
		status, _, _ := client.Collect(context.Background(), newRequest("POST"), s.backend(), 0, progress.New(), func(entry.LoadReport) {}, func([]byte, uint64) {})
		c.Assert(status, qt.Equals, want)
	}
	_, conns := s.count()
	c.Assert(conns, qt.Equals, 1)
}
