package engine

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"papayaquay/core/config"
	"papayaquay/core/traffic"

	qt "github.com/frankban/quicktest"
)

// TestEndlessAnswer guards against answers of an engine without end that hold an attempt.
func TestEndlessAnswer(t *testing.T) {
	const endTimeout = 10 * time.Second
	for _, test := range []struct {
		name     string
		header   string // of the answer, empty for the usual one
		repeated string
	}{
		{"header line", "HTTP/1.1 200 OK\r\nA: ", "x"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"event line", "", "x"},
		{"other lines", "", ": x\n"},
		{"empty lines", "", "\n"},
		{"events of another attempt", "", "data: {\"id\":\"other\",\"text\":\"x\"}\n\n"},
		{"events without end", "", "data: {\"id\":\"1\",\"text\":\"x\",\"tokens\":1}\n\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			closed := make(chan struct{}, 1)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				var out io.Writer = w
				if test.header != "" {
					conn, _, err := http.NewResponseController(w).Hijack()
					qt.Check(t, err, qt.IsNil)
					defer conn.Close()
					_, _ = io.WriteString(conn, test.header)
					out = net.Conn(conn)
				}
				block := bytes.Repeat([]byte(test.repeated), max(1, 16<<10/len(test.repeated)))
				for {
					if _, err := out.Write(block); err != nil {
						closed <- struct{}{}
						return
					}
				}
			}))
			defer server.Close()
			defer server.CloseClientConnections()
			ended := make(chan traffic.Input, 1<<16)
			a := traffic.NewAttempt(context.Background(), 1, server.URL, config.ProtocolEngine, "prompt", 10, time.Now().Add(time.Hour))
			New("o", NewTransport()).Begin("1", a, func(in traffic.Input) {
				select {
				case ended <- in:
				default: // only the end matters, and text comes without end
				}
			})
			select {
			case <-closed:
			case <-time.After(endTimeout):
				t.Error("the connection is still open")
			}
		})
	}
}
