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

// testDialect marks and reads the headers that the servers of these tests use.
func testDialect() Codec {
	return NewCodec(func(h http.Header, m Metadata) {
		h.Set("Backend", m.Backend())
		if m.LastEvent() > 0 {
			h.Set("Resume", strconv.FormatUint(m.LastEvent(), 10))
		}
	}, func(id string, _ int, h http.Header) ResponseHeader {
		return NewResponseHeader(h.Get("Id") == id, h.Get("Not-Run") != "", entry.LoadReport{})
	})
}

// server is a backend server that answers each request with the next of its
// answers, as raw bytes, and closes the connection if told so.
type server struct {
	mu       sync.Mutex
	listener net.Listener
	answers  []string
	resets   bool // the connection is reset after the last answer
	requests []*http.Request
	conns    int
}

// newServer returns a running server.
func newServer(t testing.TB, resets bool, answers ...string) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &server{listener: l, answers: answers, resets: resets}
	t.Cleanup(func() { l.Close() })
	go s.run()
	return s
}

// run accepts connections.
func (s *server) run() {
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

// serve answers the requests of one connection.
func (s *server) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.requests = append(s.requests, r)
		var answer string
		if len(s.answers) > 0 {
			answer, s.answers = s.answers[0], s.answers[1:]
		}
		end := len(s.answers) == 0 && s.resets
		s.mu.Unlock()
		_, _ = io.WriteString(conn, answer)
		if end {
			time.Sleep(20 * time.Millisecond) // the answer must be read before the reset
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
			return
		}
	}
}

// count returns the requests and connections that were received.
func (s *server) count() (requests, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests), s.conns
}

// backend returns the server as the product sees it.
func (s *server) backend() member.Backend {
	return member.NewBackend("b", s.listener.Addr().String(), "z", member.ProtocolEngine, 8, 1, 1)
}

// head is the head of a good answer.
const head = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunk returns a chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// events returns the events with ids from first to last.
func events(first, last int) string {
	text := ""
	for i := first; i <= last; i++ {
		text += fmt.Sprintf("id: %d\ndata: d%d\n\n", i, i)
	}
	return text
}

// newRequest returns a request for tests.
func newRequest(method string) Request {
	return NewRequest("r1", method, "/p/x?a=b%20c", "h.example", http.Header{"X-Other": {"1"}}, []byte("body"), time.Time{})
}

// TestRelay checks what reaches the caller of answers that go well and wrong.
func TestRelay(t *testing.T) {
	for _, test := range []struct {
		name      string
		resumable bool
		answer    string
		resets    bool
		end       entry.AttemptStatus
		body      string
		started   bool
	}{
		{"whole", false, head + chunk(events(1, 3)) + "0\r\n\r\n", false, entry.AttemptAnswered, events(1, 3), true},
		{"whole, resumable", true, head + chunk(events(1, 3)) + "0\r\n\r\n", false, entry.AttemptAnswered, events(1, 3), true},
		{"broken in an event", false, head + chunk("id: 1\ndata: d1\n\nid: 2\nda"), true, entry.AttemptInterrupted, "id: 1\ndata: d1\n\nid: 2\nda", true},
		{"broken in an event, resumable", true, head + chunk("id: 1\ndata: d1\n\nid: 2\nda"), true, entry.AttemptInterrupted, events(1, 1), true},
		{"broken before an event, resumable", true, head + chunk("id: 1\nda"), true, entry.AttemptLost, "", false},
		{"no answer", false, "", true, entry.AttemptLost, "", false},
		{"not run", false, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", false, entry.AttemptNotRun, "", false},
		{"answer to another request", false, "HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 1\r\n\r\nx", false, entry.AttemptLost, "", false},
		{"no answer in the protocol", false, "nonsense\r\n\r\n", true, entry.AttemptLost, "", false},
		{"short of its length", false, "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 9\r\n\r\nabc", true, entry.AttemptInterrupted, "abc", true},
		{"failure of the server", false, "HTTP/1.1 500 No\r\nId: r1\r\nContent-Length: 2\r\n\r\nno", false, entry.AttemptAnswered, "no", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newServer(t, test.resets, test.answer)
			out := httptest.NewRecorder()
			relay := New(testDialect()).NewRelay(newRequest("POST"), out, test.resumable, progress.New())
			end, _ := relay.Try(context.Background(), s.backend(), "", func(entry.LoadReport) {})
			c.Assert(end, qt.Equals, test.end)
			c.Assert(out.Body.String(), qt.Equals, test.body)
			c.Assert(relay.ResponseStarted(), qt.Equals, test.started)
			requests, _ := s.count()
			c.Assert(requests, qt.Equals, 1)
			r := s.requests[0]
			c.Assert(r.RequestURI, qt.Equals, "/p/x?a=b%20c")
			c.Assert(r.Host, qt.Equals, "h.example")
			c.Assert(r.Header.Get("X-Other"), qt.Equals, "1")
		})
	}
}

// TestResume checks that another server goes on after the last whole event.
func TestResume(t *testing.T) {
	c := qt.New(t)
	first := newServer(t, true, head+chunk(events(1, 2)+"id: 3\n"))
	second := newServer(t, false, head+chunk(events(3, 4))+"0\r\n\r\n")
	out := httptest.NewRecorder()
	relay := New(testDialect()).NewRelay(newRequest("POST"), out, true, progress.New())
	end, _ := relay.Try(context.Background(), first.backend(), "", func(entry.LoadReport) {})
	c.Assert(end, qt.Equals, entry.AttemptInterrupted)
	end, _ = relay.Try(context.Background(), second.backend(), "", func(entry.LoadReport) {})
	c.Assert(end, qt.Equals, entry.AttemptAnswered)
	c.Assert(out.Body.String(), qt.Equals, events(1, 4))
	c.Assert(second.requests[0].Header.Get("Resume"), qt.Equals, "2")
}

// TestNoSecondSend checks that a kept connection that ends under a request
// does not make the transport send it again, whatever its method.
func TestNoSecondSend(t *testing.T) {
	for _, test := range []struct {
		method string
	}{{"POST"}, {"GET"}, {"PUT"}, {"DELETE"}, {"OPTIONS"}} {
		t.Run(test.method, func(t *testing.T) {
			c := qt.New(t)
			good := "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nok"
			s := newServer(t, true, good, "")
			client := New(testDialect())
			for n, want := range []entry.AttemptStatus{entry.AttemptAnswered, entry.AttemptLost} {
				relay := client.NewRelay(newRequest(test.method), httptest.NewRecorder(), false, progress.New())
				end, _ := relay.Try(context.Background(), s.backend(), "", func(entry.LoadReport) {})
				c.Assert(end, qt.Equals, want)
				requests, conns := s.count()
				c.Assert(requests, qt.Equals, n+1)
				c.Assert(conns, qt.Equals, 1)
			}
		})
	}
}

// TestExtraAnswer checks that bytes after a complete answer reach no caller.
func TestExtraAnswer(t *testing.T) {
	c := qt.New(t)
	good := "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nok"
	s := newServer(t, false, good+"HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 5\r\n\r\nwrong", good)
	client := New(testDialect())
	for range 2 {
		out := httptest.NewRecorder()
		relay := client.NewRelay(newRequest("POST"), out, false, progress.New())
		end, _ := relay.Try(context.Background(), s.backend(), "", func(entry.LoadReport) {})
		c.Assert(strings.Contains(out.Body.String(), "wrong"), qt.IsFalse)
		c.Assert(end == entry.AttemptAnswered || end == entry.AttemptLost, qt.IsTrue)
	}
}

// TestUnreachable checks that nothing is said to have been sent to a server
// that refuses connections.
func TestUnreachable(t *testing.T) {
	c := qt.New(t)
	s := newServer(t, false)
	s.listener.Close()
	relay := New(testDialect()).NewRelay(newRequest("POST"), httptest.NewRecorder(), false, progress.New())
	end, _ := relay.Try(context.Background(), s.backend(), "", func(entry.LoadReport) {})
	c.Assert(end, qt.Equals, entry.AttemptUnreachable)
	c.Assert(relay.MayHaveRun(), qt.IsFalse)
}

// TestReserve checks the call for a slot: its answer, and the bound on it.
func TestReserve(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer string
		want   Reservation
		ok     bool
	}{
		{"reserved", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh1", NewReservation("h1", false), true},
		{"refused", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", NewReservation("", true), true},
		{"broken off", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nh1", Reservation{}, false},
		{"no answer", "", Reservation{}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newServer(t, strings.HasPrefix(test.name, "broken"), test.answer)
			dialect := testDialect().WithReservations(
				func(tokens int, _ time.Duration) Call {
					return NewCall("POST", "/reserve", []byte(strconv.Itoa(tokens)))
				},
				func(status int, body []byte) Reservation {
					return NewReservation(string(body), status == http.StatusServiceUnavailable)
				})
			r, ok := New(dialect).Reserve(context.Background(), s.backend(), 100, time.Second)
			qt.Assert(t, ok, qt.Equals, test.ok)
			qt.Assert(t, r == test.want, qt.IsTrue)
		})
	}
}

// TestCollect checks the text of items and how their attempts end.
func TestCollect(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer string
		resets bool
		end    runner.AttemptStatus
		text   string
		last   uint64
	}{
		{"whole", head + chunk(events(3, 5)) + "0\r\n\r\n", false, runner.AttemptDone, "d3\nd4\nd5", 5},
		{"broken", head + chunk(events(3, 4)+"id: 5\n"), true, runner.AttemptInterrupted, "d3\nd4", 4},
		{"ends within an event", head + chunk(events(3, 3)+"id: 4\nda") + "0\r\n\r\n", false, runner.AttemptInterrupted, "d3", 3},
		{"impossible", "HTTP/1.1 422 No\r\nId: r1\r\nContent-Length: 0\r\n\r\n", false, runner.AttemptRejected, "", 2},
		{"failed", "HTTP/1.1 500 No\r\nId: r1\r\nContent-Length: 0\r\n\r\n", false, runner.AttemptFailed, "", 2},
		{"not run", "HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", false, runner.AttemptNotRun, "", 2},
		{"no answer", "", true, runner.AttemptInterrupted, "", 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newServer(t, test.resets, test.answer)
			end, text, last := New(testDialect()).Collect(context.Background(), newRequest("POST"), s.backend(), 2, progress.New(), func([]byte, uint64) {})
			c.Assert(end, qt.Equals, test.end)
			c.Assert(string(text), qt.Equals, test.text)
			c.Assert(last, qt.Equals, test.last)
		})
	}
}
