package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"papayaquay/core/entry"
	"papayaquay/core/member"
	"papayaquay/core/progress"
	"papayaquay/core/runner"

	qt "github.com/frankban/quicktest"
)

// earlyServer answers a request before it has read its body.
type earlyServer struct {
	listener net.Listener
	answer   string
	delay    time.Duration // after the answer
	regular  bool          // end the answer regularly, and read the rest of the body; reset otherwise
}

// newEarlyServer starts a server that runs until the test ends.
func newEarlyServer(t testing.TB, answer string, delay time.Duration, regular bool) *earlyServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	s := &earlyServer{listener: l, answer: answer, delay: delay, regular: regular}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn.(*net.TCPConn))
		}
	}()
	return s
}

// serve answers the first request of a connection and ends it.
func (s *earlyServer) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = r.Body.Read(make([]byte, 1))
	_, _ = io.WriteString(conn, s.answer)
	time.Sleep(s.delay)
	if !s.regular {
		_ = conn.SetLinger(0)
		return
	}
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}

// backend returns the server as the directory knows it.
func (s *earlyServer) backend() member.Backend {
	return member.NewBackend("b", s.listener.Addr().String(), "z", member.ProtocolEngine, 8, 1, 1)
}

// TestResetWhileUploadIsWritten guards against a part of an answer that counts as complete (MIXED):
// the server answers a long request early, without a length, and resets the connection while the
// rest of the request is written.
func TestResetWhileUploadIsWritten(t *testing.T) {
	const (
		head   = "HTTP/1.1 200 OK\r\nId: r1\r\n\r\npart of the answer"
		stream = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: d1\n\n"
		runs   = 40
		upload = 16 << 20
	)
	for _, test := range []struct {
		name      string
		answer    string
		bytes     int // of the request
		delay     time.Duration
		resumable bool
		regular   bool
	}{
		{"at once", head, upload, 0, false, false},
		{"after 1 ms", head, upload, time.Millisecond, false, false},
		{"after 5 ms", head, upload, 5 * time.Millisecond, false, false},
		{"after 20 ms", head, upload, 20 * time.Millisecond, false, false},
		{"shorter request", head, 1 << 20, 0, false, false},
		{"stream between events", stream, upload, 5 * time.Millisecond, false, false},
		{"resumable stream between events", stream, upload, 5 * time.Millisecond, true, false},
		{"ends regularly", head, upload, 5 * time.Millisecond, false, true},
		{"stream ends regularly", stream, upload, 5 * time.Millisecond, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newEarlyServer(t, test.answer, test.delay, test.regular)
			client := New(testCodec())
			request := NewRequest("r1", "POST", "/p", "h", http.Header{}, make([]byte, test.bytes), time.Time{})
			var online, items int
			var mu sync.Mutex
			var wait sync.WaitGroup
			for range runs {
				wait.Add(1)
				go func() {
					defer wait.Done()
					relay := client.NewRelay(request, httptest.NewRecorder(), test.resumable, progress.New())
					status, _ := relay.Try(context.Background(), s.backend(), "", func(entry.LoadReport) {}, func() {})
					item, _, _ := client.Collect(context.Background(), request, s.backend(), 0, progress.New(), func(entry.LoadReport) {}, func([]byte, uint64) {})
					mu.Lock()
					defer mu.Unlock()
					if status == entry.AttemptAnswered {
						online++
					}
					if item == runner.AttemptDone {
						items++
					}
				}()
			}
			wait.Wait()
			wantOnline, wantItems := 0, 0
			if test.regular {
				wantOnline = runs
				if test.answer == stream {
					wantItems = runs
				}
			}
			qt.Check(t, online, qt.Equals, wantOnline, qt.Commentf("of %d requests answered", runs))
			qt.Check(t, items, qt.Equals, wantItems, qt.Commentf("of %d items done", runs))
		})
	}
}
