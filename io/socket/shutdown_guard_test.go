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

// TestGuardedConn checks when a connection closes for each order of closes and
// requests.
func TestGuardedConn(t *testing.T) {
	for _, test := range []struct {
		name   string
		steps  []string
		begun  bool // the last call of begin succeeded
		closed bool // the connection is closed after all steps
	}{
		{"close while idle, then request", []string{"close", "begin"}, false, true},
		{"request, then close", []string{"begin", "close"}, true, false},
		{"request, close, response, close", []string{"begin", "close", "end", "close"}, true, true},
		{"request, response, close", []string{"begin", "end", "close"}, true, true},
		{"two requests", []string{"begin", "end", "begin", "close", "end", "close"}, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			local, remote := net.Pipe()
			defer remote.Close()
			go func() { _, _ = io.Copy(io.Discard, remote) }()
			guard := NewShutdownGuard()
			conn := &guardedConn{Conn: local, guard: guard}
			begun := false
			for _, step := range test.steps {
				switch step {
				case "begin":
					begun = conn.begin()
				case "end":
					conn.end()
				case "close":
					c.Assert(conn.Close(), qt.IsNil)
				}
			}
			c.Assert(begun, qt.Equals, test.begun)
			_, err := local.Write(nil)
			c.Assert(err != nil, qt.Equals, test.closed)
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			guard.Wait(ctx)
			c.Assert(ctx.Err() == nil, qt.Equals, test.closed)
		})
	}
}

// shutdownUnderLoad runs a server that gets requests on keep-alive connections,
// shuts it down as an instance does, and returns the paths of the requests that
// ran but got no response.
func shutdownUnderLoad(c *qt.C, clients int) (unanswered []string) {
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
	guard := NewShutdownGuard()
	guard.Install(server)
	go func() { _ = server.Serve(guard.Listener(listener)) }()
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
	guard.Wait(ctx)
	close(stop)
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	for path := range ran {
		if !answered[path] {
			unanswered = append(unanswered, path)
		}
	}
	return unanswered
}

// TestShutdownAnswersAllRequests checks that a server answers every request that
// it runs while it shuts down and its clients send on keep-alive connections.
func TestShutdownAnswersAllRequests(t *testing.T) {
	for _, test := range []struct {
		name    string
		clients int
		rounds  int
	}{
		{"few clients", 4, 30},
		{"many clients", 60, 30},
	} {
		t.Run(test.name, func(t *testing.T) {
			for range test.rounds {
				unanswered := shutdownUnderLoad(qt.New(t), test.clients)
				qt.Assert(t, unanswered, qt.HasLen, 0)
			}
		})
	}
}
