package fleet

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"papayaquay/core/cluster"
	"papayaquay/core/directory"
	"papayaquay/core/entry"
	"papayaquay/core/member"
	"papayaquay/core/runner"
	"papayaquay/core/tick"
	"papayaquay/core/usage"
	"papayaquay/io/forward"

	qt "github.com/frankban/quicktest"
)

// panickingWriter is the connection of a caller on which one function panics.
type panickingWriter struct {
	http.ResponseWriter
	onHeader bool
}

// WriteHeader sends a status.
func (w panickingWriter) WriteHeader(status int) {
	if w.onHeader {
		panic(fmt.Sprint("status ", status))
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of a body.
func (w panickingWriter) Write([]byte) (int, error) { panic("write") }

// TestPanicFreesPlace guards against a panic in the handler of a request that keeps the place on the
// server and the row of the request (review/7, LOST).
func TestPanicFreesPlace(t *testing.T) {
	for _, test := range []struct {
		name     string
		onHeader bool
	}{
		{"before the header", true},
		{"inside the body", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }))
			defer server.Close()
			address := strings.TrimPrefix(server.URL, "http://")
			d := directory.New(1)
			d.Announce(time.Now(), member.NewBackend("b", address, "z", member.ProtocolEngine, 8, 1, 1, member.WithServices("s")))
			snapshot := cluster.NewSnapshot(nil, d.Servers(time.Now()), cluster.Loads{})
			spans, err := newSpans("e", "", "")
			c.Assert(err, qt.IsNil)
			codec := forward.NewCodec(func(http.Header, forward.Metadata) {}, func(string, int, http.Header) forward.ResponseHeader {
				return forward.NewResponseHeader(true, false, entry.LoadReport{})
			})
			p := &Process{logger: slog.New(slog.DiscardHandler), spans: spans, forward: forward.New(codec), traffic: tick.NewInbox[entry.Input]()}
			p.snapshot.Store(snapshot)
			var report usage.Report
			world := entry.New("z", p.snapshot.Load, entry.WithReport(func(r usage.Report) { report = r }))
			ctx, cancel := context.WithCancel(context.Background())
			handled := make(chan any, 1)
			go func() {
				defer func() { handled <- recover() }()
				request := entry.NewRequest("r", "s", true, false, 1, time.Now(), time.Now().Add(time.Minute))
				outgoing := forward.NewRequest("r", http.MethodPost, "/x", "h", http.Header{}, nil, time.Now().Add(time.Minute))
				p.ServeOnline(ctx, panickingWriter{httptest.NewRecorder(), test.onHeader}, NewOnlineRequest(request, outgoing, false))
			}()
			running := 0
			for cause := any(nil); cause == nil; {
				select {
				case cause = <-handled:
					c.Check(cause, qt.Equals, any(http.ErrAbortHandler))
				default:
				}
				received, stop := context.WithTimeout(ctx, 10*time.Millisecond)
				inputs := p.traffic.Receive(received)
				stop()
				world.Step(time.Now(), inputs)
				running = max(running, report.Running()["b"])
			}
			cancel()
			c.Check(running, qt.Equals, 1)
			c.Check(report.Running()["b"], qt.Equals, 0)
			c.Check(world.Len(), qt.Equals, 0)
		})
	}
}

// TestPanicInItem guards against a panic in an attempt of an item that ends the process: the attempt
// ends, and the item can run again.
func TestPanicInItem(t *testing.T) {
	c := qt.New(t)
	p := &Process{logger: slog.New(slog.DiscardHandler), inbox: tick.NewInbox[cluster.Input](), itemAttempts: itemAttempts{cancels: make(map[uint64]context.CancelFunc)}}
	p.startItemAttempt(runner.Attempt{}) // without spans
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c.Assert(p.inbox.Receive(ctx), qt.HasLen, 1)
}
