package socket

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestHeldConn checks in which order a close and a handler may meet.
func TestHeldConn(t *testing.T) {
	for _, test := range []struct {
		name   string
		steps  []string
		taken  bool // the last take worked
		closed bool // the connection is closed in the end
	}{
		{"close while idle, then a request", []string{"close", "take"}, false, true},
		{"request, then close", []string{"take", "close"}, true, false},
		{"request, close, answer, close", []string{"take", "close", "release", "close"}, true, true},
		{"request, answer, close", []string{"take", "release", "close"}, true, true},
		{"two requests", []string{"take", "release", "take", "close", "release", "close"}, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			near, far := net.Pipe()
			defer far.Close()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			h := NewShutdownGuard()
			conn := &heldConn{Conn: near, held: h}
			taken := false
			for _, step := range test.steps {
				switch step {
				case "take":
					taken = conn.take()
				case "release":
					conn.release()
				case "close":
					c.Assert(conn.Close(), qt.IsNil)
				}
			}
			c.Assert(taken, qt.Equals, test.taken)
			_, err := near.Write(nil)
			c.Assert(err != nil, qt.Equals, test.closed)
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			h.Wait(ctx)
			c.Assert(ctx.Err() == nil, qt.Equals, test.closed)
		})
	}
}

// stopRound runs a server under requests on kept connections, stops it as an
// instance does and returns the requests that ran and got no answer.
func stopRound(c *qt.C, clients int) (lost []string) {
	var mu sync.Mutex
	ran := make(map[string]bool)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		ran[r.URL.Path] = true
		mu.Unlock()
		_, _ = io.WriteString(w, "answer")
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := "http://" + listener.Addr().String()
	held := NewShutdownGuard()
	held.Install(server)
	go func() { _ = server.Serve(held.Listener(listener)) }()
	answered := make(map[string]bool)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for n := range clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				path := fmt.Sprintf("/%d-%d", n, i)
				r, err := client.Post(address+path, "text/plain", io.NopCloser(http.NoBody))
				if err != nil {
					return
				}
				body, err := io.ReadAll(r.Body)
				r.Body.Close()
				if err == nil && string(body) == "answer" {
					mu.Lock()
					answered[path] = true
					mu.Unlock()
				}
			}
		}()
	}
	time.Sleep(20 * time.Millisecond)
	server.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c.Assert(server.Shutdown(ctx), qt.IsNil)
	held.Wait(ctx)
	close(stop)
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	for path := range ran {
		if !answered[path] {
			lost = append(lost, path)
		}
	}
	return lost
}

// TestStop checks that a server that stops answers every request that it runs,
// though its callers send on kept connections until these are closed.
func TestStop(t *testing.T) {
	for _, test := range []struct {
		name    string
		clients int
		rounds  int
	}{
		{"few callers", 4, 30},
		{"many callers", 60, 30},
	} {
		t.Run(test.name, func(t *testing.T) {
			for range test.rounds {
				lost := stopRound(qt.New(t), test.clients)
				qt.Assert(t, lost, qt.HasLen, 0)
			}
		})
	}
}
