package engine

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

// serveInTurn answers the requests of all connections with the given texts in turn.
func serveInTurn(t *testing.T, answers ...string) (url string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- a
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(conn, <-next)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// TestLateRefusal guards against a refusal of an earlier attempt, which an engine writes once more
// on a kept connection, that counts as the answer of the next attempt: the engine may be running it.
func TestLateRefusal(t *testing.T) {
	const (
		answer     = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 30\r\n\r\ndata: {\"id\":\"1\",\"done\":true}\n\n"
		ofFirst    = "HTTP/1.1 503 Busy\r\nContent-Length: 23\r\n\r\n{\"id\":\"1\",\"error\":\"no\"}"
		ofSecond   = "HTTP/1.1 503 Busy\r\nContent-Length: 23\r\n\r\n{\"id\":\"2\",\"error\":\"no\"}"
		unnamed    = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
		noStatus   = "HTTP/1.1 000 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 30\r\n\r\ndata: {\"id\":\"1\",\"done\":true}\n\n"
		impossible = "HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n"
	)
	for _, test := range []struct {
		name    string
		answers []string // the last one is to the checked attempt
		want    traffic.Failure
	}{
		{"names this attempt", []string{answer, ofSecond}, traffic.FailureBusy},
		{"names the earlier attempt", []string{ofFirst, ofFirst}, traffic.FailureConnectionLost},
		{"names none, on a kept connection", []string{answer, unnamed}, traffic.FailureConnectionLost},
		{"rejection that names none, on a kept connection", []string{answer, impossible}, traffic.FailureConnectionLost},
		{"names none, on a new connection", []string{unnamed}, traffic.FailureBusy},
		{"status of no answer", []string{noStatus}, traffic.FailureConnectionLost},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			url := serveInTurn(t, test.answers...)
			client := New("o", NewTransport())
			var got traffic.Input
			for n := range test.answers {
				id := []string{"1", "2"}[n]
				inputs := make(chan traffic.Input, 10)
				a := traffic.NewAttempt(context.Background(), uint64(n+1), url, config.ProtocolEngine, "prompt", 10, time.Now().Add(time.Hour))
				client.Begin(id, a, func(in traffic.Input) { inputs <- in })
				got = <-inputs
				time.Sleep(20 * time.Millisecond) // the connection returns to the pool
			}
			c.Assert(got.Failure(), qt.Equals, test.want)
		})
	}
}
