package plain

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"papayaquay/core/config"
	"papayaquay/core/traffic"

	qt "github.com/frankban/quicktest"
)

// TestLateRefusal guards against a refusal of an earlier call, which a service writes once more on a
// kept connection, that counts as the answer of the next call: the service may be running it.
func TestLateRefusal(t *testing.T) {
	const (
		answer   = "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\n{\"id\":\"1\",\"output\":\"x\"}"
		unnamed  = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
		ofSecond = "HTTP/1.1 503 Busy\r\nContent-Length: 10\r\n\r\n{\"id\":\"2\"}"
	)
	for _, test := range []struct {
		name    string
		answers []string // the last one is to the checked call
		want    traffic.Failure
	}{
		{"names this call", []string{answer, ofSecond}, traffic.FailureBusy},
		{"names none, on a kept connection", []string{answer, unnamed}, traffic.FailureConnectionLost},
		{"names none, on a new connection", []string{unnamed}, traffic.FailureBusy},
		{"status of no answer", []string{"HTTP/1.1 000 OK\r\nContent-Length: 23\r\n\r\n{\"id\":\"1\",\"output\":\"x\"}"}, traffic.FailureConnectionLost},
		{"answer of the earlier call", []string{answer, answer}, traffic.FailureConnectionLost},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for _, text := range test.answers {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(conn, text)
				}
				_, _ = reader.ReadByte() // until the client closes the connection
			}()
			client := New(&http.Transport{})
			failure := traffic.Failure(0)
			for n := range test.answers {
				a := traffic.NewAttempt(context.Background(), uint64(n+1), "http://"+l.Addr().String(), config.ProtocolPlain, "x", 0, time.Now().Add(time.Hour))
				inputs := make(chan traffic.Input, 2)
				client.Begin([]string{"1", "2"}[n], a, func(in traffic.Input) { inputs <- in })
				for ended := false; !ended; {
					in := <-inputs
					ended, _ = in.AttemptEnded()
					failure = in.Failure()
				}
				time.Sleep(20 * time.Millisecond) // the connection returns to the pool
			}
			qt.Assert(t, failure, qt.Equals, test.want)
		})
	}
}
