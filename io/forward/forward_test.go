package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"papayaquay/core/entry"
	"papayaquay/core/member"
	"papayaquay/core/progress"
	"papayaquay/core/runner"

	qt "github.com/frankban/quicktest"
)

// testCodec encodes and decodes the headers of the test servers.
func testCodec() Codec {
	return NewCodec(func(h http.Header, m Metadata) {
		h.Set("Backend", m.Backend())
		if m.LastEvent() > 0 {
			h.Set("Resume", strconv.FormatUint(m.LastEvent(), 10))
		}
	}, func(id string, _ int, h http.Header) ResponseHeader {
		notRun := h.Get("Not-Run") != "" && (h.Get("Id") == "" || h.Get("Id") == id)
		return NewResponseHeader(h.Get("Id") == id, notRun, entry.LoadReport{})
	})
}

// testServer is a backend server that sends the next of its responses, as raw
// bytes, for each request. It can reset the connection after the last one.
type testServer struct {
	mu         sync.Mutex
	listener   net.Listener
	responses  []string
	resetAtEnd bool // reset the connection after the last response
	closeAtEnd bool // close it regularly
	requests   []*http.Request
	conns      int
}

// newTestServer starts a server that runs until the test ends.
func newTestServer(t testing.TB, resetAtEnd bool, responses ...string) *testServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &testServer{listener: l, responses: responses, resetAtEnd: resetAtEnd}
	t.Cleanup(func() { l.Close() })
	go s.run()
	return s
}

// run accepts connections.
func (s *testServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns++
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// serve sends the responses to the requests of one connection.
func (s *testServer) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.requests = append(s.requests, r)
		var response string
		if len(s.responses) > 0 {
			response, s.responses = s.responses[0], s.responses[1:]
		}
		end := len(s.responses) == 0 && s.resetAtEnd
		closes := len(s.responses) == 0 && s.closeAtEnd
		s.mu.Unlock()
		_, _ = io.WriteString(conn, response)
		if closes {
			conn.Close()
			return
		}
		if end {
			time.Sleep(20 * time.Millisecond) // the client must read the response before the reset
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
			return
		}
	}
}

// count returns the numbers of received requests and connections.
func (s *testServer) count() (requests, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests), s.conns
}

// backend returns the server as a backend row.
func (s *testServer) backend() member.Backend {
	return member.NewBackend("b", s.listener.Addr().String(), "z", member.ProtocolEngine, 8, 1, 1)
}

// okHeader is the header of a successful response with a chunked body.
const okHeader = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunk returns one chunk of a chunked body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// events returns events with the ids from first to last.
func events(first, last int) string {
	text := ""
	for i := first; i <= last; i++ {
		text += fmt.Sprintf("id: %d\ndata: d%d\n\n", i, i)
	}
	return text
}

// newRequest returns a request with a header, a body and no deadline.
func newRequest(method string) Request {
	return NewRequest("r1", method, "/p/x?a=b%20c", "h.example", http.Header{"X-Other": {"1"}}, []byte("body"), time.Time{})
}

// TestRelay checks what the caller receives of complete, interrupted and invalid
// responses.
func TestRelay(t *testing.T) {
	for _, test := range []struct {
		name            string
		resumable       bool
		response        string
		resetAtEnd      bool
		status          entry.AttemptStatus
		body            string
		responseStarted bool
	}{
		{"complete", false, okHeader + chunk(events(1, 3)) + "0\r\n\r\n", false, entry.AttemptAnswered, events(1, 3), true},
		{"complete, resumable", true, okHeader + chunk(events(1, 3)) + "0\r\n\r\n", false, entry.AttemptAnswered, events(1, 3), true},
		{"interrupted within an event", false, okHeader + chunk("id: 1\ndata: d1\n\nid: 2\nda"), true, entry.AttemptInterrupted, "id: 1\ndata: d1\n\nid: 2\nda", true},
		{"interrupted within an event, resumable", true, okHeader + chunk("id: 1\ndata: d1\n\nid: 2\nda"), true, entry.AttemptInterrupted, events(1, 1), true},
		{"interrupted before an event, resumable", true, okHeader + chunk("id: 1\nda"), true, entry.AttemptLost, "", false},
		{"no response", false, "", true, entry.AttemptLost, "", false},
		{"not run", false, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", false, entry.AttemptNotRun, "", false},
		{"response to another request", false, "HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 1\r\n\r\nx", false, entry.AttemptLost, "", false},
		{"not an HTTP response", false, "nonsense\r\n\r\n", true, entry.AttemptLost, "", false},
		{"shorter than its length", false, "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 9\r\n\r\nabc", true, entry.AttemptInterrupted, "abc", true},
		{"server error", false, "HTTP/1.1 500 No\r\nId: r1\r\nContent-Length: 2\r\n\r\nno", false, entry.AttemptAnswered, "no", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newTestServer(t, test.resetAtEnd, test.response)
			recorder := httptest.NewRecorder()
			relay := New(testCodec()).NewRelay(newRequest("POST"), recorder, test.resumable, progress.New())
			status, _ := relay.Try(context.Background(), s.backend(), "", func(entry.LoadReport) {}, func() {})
			c.Assert(status, qt.Equals, test.status)
			c.Assert(recorder.Body.String(), qt.Equals, test.body)
			c.Assert(relay.ResponseStarted(), qt.Equals, test.responseStarted)
			requests, _ := s.count()
			c.Assert(requests, qt.Equals, 1)
			r := s.requests[0]
			c.Assert(r.RequestURI, qt.Equals, "/p/x?a=b%20c")
			c.Assert(r.Host, qt.Equals, "h.example")
			c.Assert(r.Header.Get("X-Other"), qt.Equals, "1")
		})
	}
}

// TestResumeOnAnotherServer checks that another server continues an interrupted
// response after the last whole event.
func TestResumeOnAnotherServer(t *testing.T) {
	c := qt.New(t)
	first := newTestServer(t, true, okHeader+chunk(events(1, 2)+"id: 3\n"))
	second := newTestServer(t, false, okHeader+chunk(events(3, 4))+"0\r\n\r\n")
	recorder := httptest.NewRecorder()
	relay := New(testCodec()).NewRelay(newRequest("POST"), recorder, true, progress.New())
	status, _ := relay.Try(context.Background(), first.backend(), "", func(entry.LoadReport) {}, func() {})
	c.Assert(status, qt.Equals, entry.AttemptInterrupted)
	status, _ = relay.Try(context.Background(), second.backend(), "", func(entry.LoadReport) {}, func() {})
	c.Assert(status, qt.Equals, entry.AttemptAnswered)
	c.Assert(recorder.Body.String(), qt.Equals, events(1, 4))
	c.Assert(second.requests[0].Header.Get("Resume"), qt.Equals, "2")
}

// TestHeldAnswer checks that the first part of each attempt's resumable answer waits until it
// may go to the caller, and that an answer that may not is lost as if nothing had arrived.
func TestHeldAnswer(t *testing.T) {
	for _, test := range []struct {
		name      string
		resumable bool
		mayBegin  bool
		calls     int
		status    entry.AttemptStatus
		body      string
	}{
		{"allowed", true, true, 1, entry.AttemptAnswered, events(1, 2)},
		{"not allowed", true, false, 1, entry.AttemptLost, ""},
		{"not resumable", false, false, 0, entry.AttemptAnswered, events(1, 2)},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newTestServer(t, false, okHeader+chunk(events(1, 1))+chunk(events(2, 2))+"0\r\n\r\n")
			recorder := httptest.NewRecorder()
			relay := New(testCodec()).NewRelay(newRequest("POST"), recorder, test.resumable, progress.New())
			calls := 0
			relay.Hold(func(context.Context) bool {
				calls++
				c.Check(recorder.Body.Len(), qt.Equals, 0)
				return test.mayBegin
			})
			status, _ := relay.Try(context.Background(), s.backend(), "", func(entry.LoadReport) {}, func() {})
			c.Check(status, qt.Equals, test.status)
			c.Check(recorder.Body.String(), qt.Equals, test.body)
			c.Check(calls, qt.Equals, test.calls)
			c.Check(relay.ResponseStarted(), qt.Equals, test.body != "")
		})
	}
}

// TestAttemptAfterHeldAnswer guards against answers without their first events: an attempt whose
// answer was not allowed to reach the caller must not move the place at which the next one goes on.
func TestAttemptAfterHeldAnswer(t *testing.T) {
	for _, test := range []struct {
		name   string
		begun  string // answer of an earlier attempt, of which a part was sent; empty for none
		held   string // answer that is not allowed
		resume string // event after which the next server is asked to go on
		want   string
	}{
		{"nothing was sent before", "", chunk(events(1, 2)), "", events(1, 3)},
		{"events were sent before", chunk(events(1, 1)), chunk(events(2, 2)), "1", events(1, 1) + events(2, 3)},
		{"several chunks", "", chunk(events(1, 1)) + chunk(events(2, 2)), "", events(1, 3)},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			recorder := httptest.NewRecorder()
			relay := New(testCodec()).NewRelay(newRequest("POST"), recorder, true, progress.New())
			try := func(answer string, allowed bool, ends string) (*testServer, entry.AttemptStatus) {
				s := newTestServer(t, ends == "", okHeader+answer+ends)
				relay.Hold(func(context.Context) bool { return allowed })
				status, _ := relay.Try(context.Background(), s.backend(), "", func(entry.LoadReport) {}, func() {})
				return s, status
			}
			if test.begun != "" {
				_, status := try(test.begun, true, "")
				c.Assert(status, qt.Equals, entry.AttemptInterrupted)
			}
			_, status := try(test.held, false, "0\r\n\r\n")
			c.Assert(status == entry.AttemptLost || status == entry.AttemptInterrupted, qt.IsTrue)
			rest := events(1, 3)
			if test.resume != "" {
				rest = events(2, 3)
			}
			s, status := try(chunk(rest), true, "0\r\n\r\n")
			c.Check(status, qt.Equals, entry.AttemptAnswered)
			c.Assert(s.requests, qt.HasLen, 1)
			c.Check(s.requests[0].Header.Get("Resume"), qt.Equals, test.resume)
			c.Check(recorder.Body.String(), qt.Equals, test.want)
		})
	}
}

// TestTransportDoesNotResend checks that the transport does not send a request of
// any method again when a reused connection ends before the response.
func TestTransportDoesNotResend(t *testing.T) {
	for _, test := range []struct {
		method string
	}{{"POST"}, {"GET"}, {"PUT"}, {"DELETE"}, {"OPTIONS"}} {
		t.Run(test.method, func(t *testing.T) {
			c := qt.New(t)
			okResponse := "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nok"
			s := newTestServer(t, true, okResponse, "")
			client := New(testCodec())
			for n, want := range []entry.AttemptStatus{entry.AttemptAnswered, entry.AttemptLost} {
				relay := client.NewRelay(newRequest(test.method), httptest.NewRecorder(), false, progress.New())
				status, _ := relay.Try(context.Background(), s.backend(), "", func(entry.LoadReport) {}, func() {})
				c.Assert(status, qt.Equals, want)
				requests, conns := s.count()
				c.Assert(requests, qt.Equals, n+1)
				c.Assert(conns, qt.Equals, 1)
			}
		})
	}
}

// TestExtraResponse checks that bytes after a complete response reach no caller.
func TestExtraResponse(t *testing.T) {
	c := qt.New(t)
	okResponse := "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nok"
	s := newTestServer(t, false, okResponse+"HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 5\r\n\r\nwrong", okResponse)
	client := New(testCodec())
	for range 2 {
		recorder := httptest.NewRecorder()
		relay := client.NewRelay(newRequest("POST"), recorder, false, progress.New())
		status, _ := relay.Try(context.Background(), s.backend(), "", func(entry.LoadReport) {}, func() {})
		c.Assert(strings.Contains(recorder.Body.String(), "wrong"), qt.IsFalse)
		c.Assert(status == entry.AttemptAnswered || status == entry.AttemptLost, qt.IsTrue)
	}
}

// TestUnreachable checks that a request to a server that refuses connections is
// reported as not sent.
func TestUnreachable(t *testing.T) {
	c := qt.New(t)
	s := newTestServer(t, false)
	s.listener.Close()
	relay := New(testCodec()).NewRelay(newRequest("POST"), httptest.NewRecorder(), false, progress.New())
	status, _ := relay.Try(context.Background(), s.backend(), "", func(entry.LoadReport) {}, func() {})
	c.Assert(status, qt.Equals, entry.AttemptUnreachable)
	c.Assert(relay.MayHaveRun(), qt.IsFalse)
}

// TestReserve checks the results of calls for a slot, also for incomplete and
// missing responses.
func TestReserve(t *testing.T) {
	for _, test := range []struct {
		name     string
		response string
		want     Reservation
		ok       bool
	}{
		{"reserved", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh1", NewReservation("h1", false), true},
		{"rejected", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", NewReservation("", true), true},
		{"interrupted", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nh1", Reservation{}, false},
		{"no response", "", Reservation{}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newTestServer(t, strings.HasPrefix(test.name, "interrupted"), test.response)
			codec := testCodec().WithReservations(
				func(tokens int, _ time.Duration) Call {
					return NewCall("POST", "/reserve", []byte(strconv.Itoa(tokens)))
				},
				func(status int, _ http.Header, body []byte) Reservation {
					return NewReservation(string(body), status == http.StatusServiceUnavailable)
				})
			r, ok := New(codec).Reserve(context.Background(), s.backend(), 100, time.Second)
			qt.Assert(t, ok, qt.Equals, test.ok)
			qt.Assert(t, r == test.want, qt.IsTrue)
		})
	}
}

// TestCollect checks the text of items and the status of their attempts.
func TestCollect(t *testing.T) {
	for _, test := range []struct {
		name       string
		response   string
		resetAtEnd bool
		status     runner.AttemptStatus
		text       string
		lastEvent  uint64
	}{
		{"complete", okHeader + chunk(events(3, 5)) + "0\r\n\r\n", false, runner.AttemptDone, "d3\nd4\nd5", 5},
		{"interrupted", okHeader + chunk(events(3, 4)+"id: 5\n"), true, runner.AttemptInterrupted, "d3\nd4", 4},
		{"ends within an event", okHeader + chunk(events(3, 3)+"id: 4\nda") + "0\r\n\r\n", false, runner.AttemptInterrupted, "d3", 3},
		{"rejected", "HTTP/1.1 422 No\r\nId: r1\r\nContent-Length: 0\r\n\r\n", false, runner.AttemptRejected, "", 2},
		{"failed", "HTTP/1.1 500 No\r\nId: r1\r\nContent-Length: 0\r\n\r\n", false, runner.AttemptFailed, "", 2},
		{"not run", "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", false, runner.AttemptNotRun, "", 2},
		{"no response", "", true, runner.AttemptInterrupted, "", 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newTestServer(t, test.resetAtEnd, test.response)
			status, text, lastEvent := New(testCodec()).Collect(context.Background(), newRequest("POST"), s.backend(), 2, progress.New(), func(entry.LoadReport) {}, func([]byte, uint64) {})
			c.Assert(status, qt.Equals, test.status)
			c.Assert(string(text), qt.Equals, test.text)
			c.Assert(lastEvent, qt.Equals, test.lastEvent)
		})
	}
}
