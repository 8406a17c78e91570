package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"papayaquay/core/entry"
	"papayaquay/core/progress"
	"papayaquay/core/runner"

	qt "github.com/frankban/quicktest"
)

// startCopyingServer starts a server that answers its first request with the first response and all
// others with the second one. On the connection of the first request, a copy of the first
// response precedes the next one.
func startCopyingServer(t *testing.T, first, others string) *testServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	var requests atomic.Int32
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader, late := bufio.NewReader(conn), ""
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			response := others
			if requests.Add(1) == 1 {
				response = first
			}
			_, _ = io.WriteString(conn, late+response)
			if late = ""; response == first {
				late = first
			}
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return &testServer{listener: l}
}

// TestLateCopyOfItemAnswer guards against a late copy of the answer of an item's run that counts as
// the answer of its next run, on the same connection.
func TestLateCopyOfItemAnswer(t *testing.T) {
	for _, test := range []struct {
		name   string
		first  string // answer of the first run
		status runner.AttemptStatus
	}{
		{"failed", "HTTP/1.1 500 No\r\nId: r1\r\nContent-Length: 0\r\n\r\n", runner.AttemptFailed},
		{"not run", refusalOfRequest, runner.AttemptNotRun},
		{"rejected", "HTTP/1.1 422 No\r\nId: r1\r\nContent-Length: 0\r\n\r\n", runner.AttemptRejected},
		{"with a body", "HTTP/1.1 500 No\r\nId: r1\r\nContent-Length: 2\r\n\r\nno", runner.AttemptFailed},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := startCopyingServer(t, test.first, okHeader+chunk(events(1, 2))+"0\r\n\r\n")
			client := New(testCodec())
			run := func() (runner.AttemptStatus, string) {
				status, text, _ := client.Collect(context.Background(), newRequest("POST"), s.backend(), 0, progress.New(), func(entry.LoadReport) {}, func([]byte, uint64) {})
				return status, string(text)
			}
			status, _ := run()
			c.Assert(status, qt.Equals, test.status)
			status, text := run()
			c.Check(status, qt.Equals, runner.AttemptDone)
			c.Check(text, qt.Equals, "d1\nd2")
		})
	}
}

// TestItemGoesOnAfterItsLastEvent guards against the answer of an earlier run of an item that
// comes where its next run expects the events after the last one.
func TestItemGoesOnAfterItsLastEvent(t *testing.T) {
	for _, test := range []struct {
		name      string
		lastEvent uint64
		answer    string
		status    runner.AttemptStatus
		text      string
	}{
		{"next event", 2, events(3, 4), runner.AttemptDone, "d3\nd4"},
		{"from the start", 2, events(1, 4), runner.AttemptInterrupted, ""},
		{"an event is missing", 2, events(4, 5), runner.AttemptInterrupted, ""},
		{"first run", 0, events(1, 2), runner.AttemptDone, "d1\nd2"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newTestServer(t, false, okHeader+chunk(test.answer)+"0\r\n\r\n")
			status, text, last := New(testCodec()).Collect(context.Background(), newRequest("POST"), s.backend(), test.lastEvent, progress.New(), func(entry.LoadReport) {}, func([]byte, uint64) {})
			c.Check(status, qt.Equals, test.status)
			c.Check(string(text), qt.Equals, test.text)
			if test.status == runner.AttemptInterrupted {
				c.Check(last, qt.Equals, test.lastEvent)
			}
		})
	}
}
