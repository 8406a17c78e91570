package client

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"papayaquay/core/budget"

	qt "github.com/frankban/quicktest"
)

// testTimeout is the time after which a step of a test counts as hung.
const testTimeout = 20 * time.Second

// newTestGate returns a running gate with room for 1 MiB and the given number of connections of clients.
func newTestGate(t *testing.T, conns int) *Gate {
	const memory = 4 << 20
	g := NewGate(memory, conns*3, slog.New(slog.DiscardHandler)) // half of the descriptors, less a third
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go g.Run(ctx)
	return g
}

// serve starts a server behind a gate and returns its address.
func serve(t *testing.T, g *Gate, handler http.HandlerFunc) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &http.Server{Handler: handler}
	g.Install(s, func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusServiceUnavailable) })
	t.Cleanup(func() { s.Close() })
	go func() { _ = s.Serve(g.Listener(l, budget.Outside)) }()
	return l.Addr().String()
}

// dial opens a connection that ends with the test.
func dial(t *testing.T, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	return conn
}

// status writes a request and returns the status of its answer, 0 if the connection ends without one.
func status(conn net.Conn, request string) int {
	_, _ = io.WriteString(conn, request)
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// eventually waits until a condition holds.
func eventually(t *testing.T, condition func() bool) {
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met")
		}
	}
}

// failingListener fails with each error once.
type failingListener struct {
	net.Listener
	mu     sync.Mutex
	errors []error
}

// Accept returns the next error, then connections.
func (l *failingListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.errors) > 0 {
		err := l.errors[0]
		l.errors = l.errors[1:]
		return nil, &net.OpError{Op: "accept", Err: err}
	}
	return l.Listener.Accept()
}

// TestAcceptWithoutDescriptors checks that a listener goes on when the process has no descriptors left,
// and ends with other errors.
func TestAcceptWithoutDescriptors(t *testing.T) {
	for _, test := range []struct {
		err     error
		accepts bool
	}{
		{syscall.EMFILE, true}, {syscall.ENFILE, true}, {syscall.ENOBUFS, true}, {syscall.ENOMEM, true}, {syscall.ECONNABORTED, true}, {net.ErrClosed, false},
	} {
		t.Run(test.err.Error(), func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer l.Close()
			dial(t, l.Addr().String())
			guarded := newTestGate(t, 3).Listener(&failingListener{Listener: l, errors: []error{test.err, test.err}}, budget.Inside)
			conn, err := guarded.Accept()
			qt.Assert(t, err == nil, qt.Equals, test.accepts)
			if err == nil {
				conn.Close()
			}
		})
	}
}

// TestConnectionsGiveWay checks that clients that send nothing, or only a part of a request, do not keep
// others out.
func TestConnectionsGiveWay(t *testing.T) {
	const conns = 4
	for _, test := range []struct{ name, sent string }{
		{"nothing", ""},
		{"a part of a head", "POST / HTTP/1.1\r\nHost: x\r\n"},
		{"a part of a body", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nx"},
		{"a part of a body that nobody reads", "POST /unread HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"},
		{"a request, then nothing", "GET / HTTP/1.1\r\nHost: x\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := newTestGate(t, conns)
			address := serve(t, g, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/" {
					_, _ = ReadBody(w, r, 1000, time.Now().Add(testTimeout))
				}
			})
			for range 3 * conns {
				_, err := io.WriteString(dial(t, address), test.sent)
				qt.Assert(t, err, qt.IsNil)
			}
			qt.Assert(t, status(dial(t, address), "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"), qt.Equals, http.StatusOK)
			qt.Assert(t, g.budget.Usage().Connections() <= conns, qt.IsTrue)
		})
	}
}

// TestConnectionsThatAreServedStay checks that new connections are closed while all others are served.
func TestConnectionsThatAreServedStay(t *testing.T) {
	const conns = 4
	g := newTestGate(t, conns)
	finish := make(chan struct{})
	address := serve(t, g, func(http.ResponseWriter, *http.Request) { <-finish })
	results := make(chan int, conns)
	for range conns {
		conn := dial(t, address)
		go func() { results <- status(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n") }()
	}
	eventually(t, func() bool {
		return g.budget.Usage().Connections() == conns && g.budget.Usage().Bytes() >= conns*(budget.ConnectionBytes+budget.RequestBytes)
	})
	qt.Check(t, status(dial(t, address), "GET / HTTP/1.1\r\nHost: x\r\n\r\n"), qt.Equals, 0)
	close(finish)
	for range conns {
		qt.Check(t, <-results, qt.Equals, http.StatusOK)
	}
	eventually(t, func() bool { return status(dial(t, address), "GET / HTTP/1.1\r\nHost: x\r\n\r\n") == http.StatusOK })
}

// TestHeads checks that heads take room while they arrive and while their requests run, and no longer.
func TestHeads(t *testing.T) {
	const clients = 40
	g := newTestGate(t, clients)
	address := serve(t, g, func(http.ResponseWriter, *http.Request) {})
	lines := strings.Repeat("A:\r\n", 8<<10) // as much as the room, decoded
	for range clients {
		_, _ = io.WriteString(dial(t, address), "GET / HTTP/1.1\r\nHost: x\r\n"+lines)
	}
	usage := g.budget.Usage()
	qt.Assert(t, usage.Bytes() <= usage.Room(), qt.IsTrue)
	kept := dial(t, address)
	for range 10 { // ordinary requests on a connection take no more with each one
		eventually(t, func() bool {
			return status(kept, fmt.Sprintf("GET / HTTP/1.1\r\nHost: x\r\nB: %s\r\n\r\n", strings.Repeat("x", 500))) == http.StatusOK
		})
	}
}
