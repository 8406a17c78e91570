package socket

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// tcpPair returns the two ends of a TCP connection.
func tcpPair(t testing.TB) (client *ClientConn, server *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	accepted, err := l.Accept()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { conn.Close(); accepted.Close() })
	return NewClientConn(conn), accepted.(*net.TCPConn)
}

// TestEndOfServersSide checks which ends of a connection the reading side reports as regular, while
// the other side writes.
func TestEndOfServersSide(t *testing.T) {
	const upload = 16 << 20
	for _, test := range []struct {
		name    string
		writes  bool // the client writes meanwhile
		end     func(conn *net.TCPConn)
		regular bool
	}{
		{"reset", false, func(conn *net.TCPConn) { _ = conn.SetLinger(0); conn.Close() }, false},
		{"reset while it is written", true, func(conn *net.TCPConn) { _ = conn.SetLinger(0); conn.Close() }, false},
		{"closed with unread bytes", true, func(conn *net.TCPConn) { conn.Close() }, false},
		{"ended", false, func(conn *net.TCPConn) { _ = conn.CloseWrite() }, true},
		{"ended while it is written, the rest not read", true, func(conn *net.TCPConn) { _ = conn.CloseWrite() }, true},
		{"ended, then reset while it is written", true, func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_ = conn.SetLinger(0)
			conn.Close()
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			for range 20 {
				client, server := tcpPair(t)
				if test.writes {
					go func() { _, _ = client.Write(make([]byte, upload)) }()
					_, err := server.Read(make([]byte, 1)) // more bytes have arrived with it
					qt.Assert(t, err, qt.IsNil)
				}
				go test.end(server)
				_, err := io.ReadAll(client)
				qt.Assert(t, err == nil, qt.Equals, test.regular, qt.Commentf("%v", err))
				if !test.regular {
					qt.Assert(t, errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
				}
			}
		})
	}
}

// TestWritesAfterClose checks that a write on a connection that was closed here does not count.
func TestWritesAfterClose(t *testing.T) {
	c := qt.New(t)
	client, _ := tcpPair(t)
	_, err := client.Write([]byte("x"))
	c.Assert(err, qt.IsNil)
	c.Assert(client.Writes(), qt.Equals, int64(1))
	client.Close()
	_, err = client.Write([]byte("x"))
	c.Assert(errors.Is(err, net.ErrClosed), qt.IsTrue)
	c.Assert(client.Writes(), qt.Equals, int64(1))
}
