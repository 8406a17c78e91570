package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"papayaquay/core/entry"
	"papayaquay/core/member"
	"papayaquay/core/progress"
	"papayaquay/core/runner"

	qt "github.com/frankban/quicktest"
)

// endlessServer answers each request with a start, and then with the same bytes until the
// caller closes the connection.
type endlessServer struct {
	listener net.Listener
	sent     atomic.Int64
	closed   chan struct{} // the caller closed the connection
}

// newEndlessServer starts a server that runs until the test ends.
func newEndlessServer(t testing.TB, start, repeated string) *endlessServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &endlessServer{listener: l, closed: make(chan struct{}, 1)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, start, repeated)
		}
	}()
	return s
}

// serve answers the request of one connection.
func (s *endlessServer) serve(conn net.Conn, start, repeated string) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, _ = io.WriteString(conn, start)
	block := bytes.Repeat([]byte(repeated), max(1, 16<<10/len(repeated)))
	for {
		n, err := conn.Write(block)
		s.sent.Add(int64(n))
		if err != nil {
			s.closed <- struct{}{}
			return
		}
	}
}

// backend returns the server as a backend row.
func (s *endlessServer) backend() member.Backend {
	return member.NewBackend("b", s.listener.Addr().String(), "z", member.ProtocolEngine, 8, 1, 1)
}

// TestEndlessAnswer guards against answers without end that hold a request, an item or a
// reservation, and against memory that grows with them. Each must end after a bounded
// number of bytes.
func TestEndlessAnswer(t *testing.T) {
	const (
		endTimeout   = 20 * time.Second // items are read slowly
		socketBytes  = 16 << 20         // in the buffers of both sockets
		streamHeader = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\n\r\n"
	)
	for _, test := range []struct {
		name     string
		start    string
		repeated string
		maxBytes int64
	}{
		{"status line", "HTTP/1.1 200 ", "x", maxResponseHeaderBytes},
		{"header line", "HTTP/1.1 200 OK\r\nA: ", "x", maxResponseHeaderBytes},
		{"header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n", maxResponseHeaderBytes},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", maxResponseHeaderBytes},
		{"no HTTP", "", "nonsense", maxResponseHeaderBytes},
		{"chunk size", okHeader, "0", maxEventBytes},
		{"chunk extension", okHeader + "5;a=", "x", maxEventBytes},
		{"event line", streamHeader + "data: ", "x", maxEventBytes},
		{"lines of one event", streamHeader + "id: 1\n", "data: x\n", maxEventBytes},
		{"comments", streamHeader, ": x\n", maxEventBytes},
		{"event line in chunks", okHeader, chunk("x"), maxEventBytes * 8},
		{"events without id", streamHeader, "data: x\n\n", maxAnswerBytes},
		{"empty lines", streamHeader, "\n", maxAnswerBytes},
		{"events with the same id", streamHeader, "id: 1\ndata: x\n\n", maxAnswerBytes},
		{"body without length", "HTTP/1.1 200 OK\r\nId: r1\r\n\r\n", "x", maxAnswerBytes},
		{"body of a failure", "HTTP/1.1 500 No\r\nId: r1\r\n\r\n", "x", maxAnswerBytes},
		{"body of a rejection", "HTTP/1.1 503 No\r\nNot-Run: 1\r\nId: r1\r\n\r\n", "x", maxAnswerBytes},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for _, read := range []struct {
				name string
				run  func(ctx context.Context, client *Client, b member.Backend)
			}{
				{"request", func(ctx context.Context, client *Client, b member.Backend) {
					relay := client.NewRelay(newRequest("POST"), newDiscardWriter(), false, progress.New())
					status, _ := relay.Try(ctx, b, "", func(entry.LoadReport) {}, func() {})
					qt.Check(t, status, qt.Not(qt.Equals), entry.AttemptAnswered)
				}},
				{"resumable request", func(ctx context.Context, client *Client, b member.Backend) {
					relay := client.NewRelay(newRequest("POST"), newDiscardWriter(), true, progress.New())
					status, _ := relay.Try(ctx, b, "", func(entry.LoadReport) {}, func() {})
					qt.Check(t, status, qt.Not(qt.Equals), entry.AttemptAnswered)
				}},
				{"item", func(ctx context.Context, client *Client, b member.Backend) {
					counter := progress.New()
					ctx, cancel := stopIdle(ctx, counter)
					defer cancel()
					status, text, _ := client.Collect(ctx, newRequest("POST"), b, 0, counter, func(entry.LoadReport) {}, func([]byte, uint64) {})
					qt.Check(t, status, qt.Not(qt.Equals), runner.AttemptDone)
					qt.Check(t, len(text) <= maxItemBytes, qt.IsTrue)
				}},
				{"reservation", func(ctx context.Context, client *Client, b member.Backend) {
					client.withTestReservations().Reserve(ctx, b, 10, time.Second)
				}},
			} {
				t.Run(read.name, func(t *testing.T) {
					s := newEndlessServer(t, test.start, test.repeated)
					ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
					defer cancel()
					read.run(ctx, New(testCodec()), s.backend())
					qt.Check(t, ctx.Err(), qt.IsNil, qt.Commentf("not ended within %v", endTimeout))
					select {
					case <-s.closed:
					case <-time.After(endTimeout):
						t.Error("the connection is still open")
					}
					qt.Check(t, s.sent.Load() <= test.maxBytes+socketBytes, qt.IsTrue, qt.Commentf("%d bytes", s.sent.Load()))
				})
			}
		})
	}
}

// stopIdle returns a context that ends when the counter has stayed the same for as long as
// the runner of items allows.
func stopIdle(ctx context.Context, counter *progress.Counter) (context.Context, context.CancelFunc) {
	const interval, maxIdle = 100 * time.Millisecond, 1500 * time.Millisecond
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		timer := progress.NewIdleTimer(counter)
		for timer.Idle() < maxIdle && ctx.Err() == nil {
			time.Sleep(interval)
			timer.Update(interval)
		}
		cancel()
	}()
	return ctx, cancel
}

// withTestReservations returns the client with a codec that can encode reservations.
func (c *Client) withTestReservations() *Client {
	c.codec = c.codec.WithReservations(func(int, time.Duration) Call { return NewCall(http.MethodPost, "/reserve", nil) },
		func(int, http.Header, []byte) Reservation { return NewReservation("", false) })
	return c
}

// newDiscardWriter returns a response writer that keeps nothing.
func newDiscardWriter() http.ResponseWriter { return discardWriter{httptest.NewRecorder()} }

// discardWriter is a response writer that discards the body.
type discardWriter struct{ *httptest.ResponseRecorder }

// Write discards data.
func (discardWriter) Write(data []byte) (int, error) { return len(data), nil }
