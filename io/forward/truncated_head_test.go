package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"papayaquay/core/entry"
	"papayaquay/core/progress"
	"papayaquay/core/runner"

	qt "github.com/frankban/quicktest"
)

// TestTruncatedHead guards against answers that end inside their head, or before the end of
// their body, and reach the caller as complete. A server may close its connection after each
// byte.
func TestTruncatedHead(t *testing.T) {
	const body = "id: 1\ndata: d1\n\nid: 2\ndata: d2\n\n"
	for _, test := range []struct {
		name      string
		head      string
		body      string
		resumable bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 32\r\nContent-Type: text/event-stream\r\n\r\n", body, false},
		{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 32\r\nId: r1\r\n\r\n", body, false},
		{"length, resumable", "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 32\r\nContent-Type: text/event-stream\r\n\r\n", body, true},
		{"chunks", "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", chunk(body) + "0\r\n\r\n", false},
		{"chunks, resumable", "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n", chunk(body) + "0\r\n\r\n", true},
		{"until the connection closes", "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\n\r\n", "id: 1\n", false},
		{"until the connection closes, resumable", "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\n\r\n", "id: 1\n", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			whole := test.head + test.body
			for cut := range whole {
				s := newTestServer(t, false, whole[:cut])
				s.closeAtEnd = true
				status, received, err := callThrough(s, test.resumable)
				s.listener.Close()
				c.Assert(status == http.StatusOK && err == nil, qt.IsFalse, qt.Commentf("cut at %d: %q as complete", cut, received))
				if cut < len(test.head) {
					c.Assert(status, qt.Equals, http.StatusBadGateway, qt.Commentf("cut at %d", cut))
				}
			}
		})
	}
}

// callThrough sends a request through a front end to a server and returns what the caller
// gets. err is not nil if the answer is not complete.
func callThrough(s *testServer, resumable bool) (status int, body string, err error) {
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		relay := New(testCodec()).NewRelay(newRequest("POST"), w, resumable, progress.New())
		status, _ := relay.Try(r.Context(), s.backend(), "", func(entry.LoadReport) {}, func() {})
		switch {
		case status == entry.AttemptAnswered:
		case relay.ResponseStarted():
			panic(http.ErrAbortHandler)
		default:
			w.WriteHeader(http.StatusBadGateway)
		}
	}))
	defer front.Close()
	response, err := http.Post(front.URL, "text/plain", strings.NewReader(""))
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// TestTruncatedHeadOfItem checks that an item whose answer ends inside its head is interrupted.
func TestTruncatedHeadOfItem(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 16\r\nContent-Type: text/event-stream\r\n\r\n"
	for cut := range len(head) {
		s := newTestServer(t, false, head[:cut])
		s.closeAtEnd = true
		status, text, last := New(testCodec()).Collect(context.Background(), newRequest("POST"), s.backend(), 0, progress.New(),
			func(entry.LoadReport) {}, func([]byte, uint64) {})
		qt.Assert(t, status, qt.Equals, runner.AttemptInterrupted, qt.Commentf("cut at %d", cut))
		qt.Assert(t, string(text), qt.Equals, "")
		qt.Assert(t, last, qt.Equals, uint64(0))
	}
}
