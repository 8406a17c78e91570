// Package client takes what clients of all kinds send, within one budget: it accepts their connections
// and reads their requests. All listeners of a process share one gate.
package client

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"time"

	"papayaquay/core/budget"
	"papayaquay/core/event"
	"papayaquay/core/tick"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// memoryShare of a process's memory is for what clients send. The rest is for its state, for what
	// it sends itself, and for garbage.
	memoryShare = 0.25
	// descriptorShare of the descriptors is for accepted connections. The rest is for connections to
	// others and for files.
	descriptorShare = 2

	exhaustedPause = 50 * time.Millisecond // until the next attempt to accept a connection
	logInterval    = time.Second           // between lines about the same trouble
)

// Gate takes what clients send.
type Gate struct {
	budget *budget.Budget
	inbox  *tick.Inbox[struct{}]
	logger *slog.Logger
	lines  *lines
}

// NewGate returns the gate of a process with the given memory in bytes. It may open as many
// descriptors as given, and not more than the limit of the operating system; 0 means only the latter.
func NewGate(memoryBytes int64, descriptors int, logger *slog.Logger) *Gate {
	g := &Gate{inbox: tick.NewInbox[struct{}](), logger: logger, lines: newLines(logger)}
	g.budget = budget.New(int64(float64(memoryBytes)*memoryShare), func() int { return descriptorLimit(descriptors) / descriptorShare },
		budget.WithClock(time.Now), budget.WithWake(func() { g.inbox.Post(struct{}{}) }),
		budget.WithReleased(func(r budget.Released) {
			g.lines.log(event.ClientGaveWay, "connection", r.Resource() == budget.ResourceConnections, "bytes", r.Bytes(), "idle_ms", r.Idle().Milliseconds())
		}))
	publish(g.budget)
	return g
}

// descriptorLimit returns how many descriptors the process may open.
func descriptorLimit(configured int) int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || configured > 0 && uint64(configured) < limit.Cur {
		return configured
	}
	return int(min(limit.Cur, 1<<20))
}

// Outgoing returns what the process sends to other instances holds.
func (g *Gate) Outgoing() *budget.Hold { return g.budget.Open(budget.Inside) }

// Run runs the ticks of the budget until the context ends.
func (g *Gate) Run(ctx context.Context) {
	tick.New(g.inbox, func(now time.Time, _ []struct{}) { g.budget.Step(now) }, g.budget.Next).Run(ctx)
}

// Listener returns a listener whose connections are part of the budget. Without room it closes new
// connections. It goes on when the process has no descriptors left.
func (g *Gate) Listener(l net.Listener, class budget.Class) net.Listener {
	return &listener{Listener: l, gate: g, class: class}
}

// listener accepts connections within the budget.
type listener struct {
	net.Listener
	gate  *Gate
	class budget.Class
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if isExhausted(err) {
			l.gate.lines.log(event.DescriptorsExhausted, "address", l.Addr().String(), "error", err)
			l.gate.makeRoom(l.class)
			time.Sleep(exhaustedPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted}
		if c.hold, err = l.gate.budget.Connect(l.class, func(budget.Resource) { accepted.Close() }); err != nil {
			l.gate.lines.log(event.ClientRejected, "address", l.Addr().String(), "remote", accepted.RemoteAddr().String(), "error", err)
			accepted.Close()
			continue
		}
		return c, nil
	}
}

// makeRoom ends connections that make no progress if there are more than the limit allows, which may have been
// lowered.
func (g *Gate) makeRoom(class budget.Class) {
	if hold, err := g.budget.Connect(class, func(budget.Resource) {}); err == nil {
		hold.Close()
	}
}

// isExhausted reports whether there were no descriptors or no memory for a connection.
func isExhausted(err error) bool {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// Hold returns what an accepted connection holds, or nil for one that no gate accepted. From then on
// its reader reserves what it reads.
func Hold(c net.Conn) *budget.Hold {
	own := unwrap(c)
	if own == nil {
		return nil
	}
	own.mu.Lock()
	defer own.mu.Unlock()
	own.requests++
	return own.hold
}

// connKey is the context key of a request's connection, holdKey that of what the request holds.
type (
	connKey struct{}
	holdKey struct{}
)

// Install makes each request of the server part of the budget. If there is no room, reject answers it;
// it has not run.
func (g *Gate) Install(s *http.Server, reject func(w http.ResponseWriter, r *http.Request, err error)) {
	inner := s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if inner != nil {
			ctx = inner(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, unwrap(c))
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if own := unwrap(c); own != nil && state == http.StateIdle {
			own.rest()
		}
	}
	s.ErrorLog = slog.NewLogLogger(errorHandler{g.lines}, slog.LevelWarn)
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c == nil {
			handler.ServeHTTP(w, r)
			return
		}
		c.begin()
		defer c.end(r.ProtoMajor == 1)
		hold, err := c.hold.Begin(headerBytes(r.Header), func(budget.Resource) { _ = http.NewResponseController(w).SetReadDeadline(past) })
		if err != nil {
			g.lines.log(event.ClientRejected, "path", r.URL.Path, "remote", r.RemoteAddr, "error", err)
			reject(w, r, err)
			return
		}
		defer hold.Close()
		if r.ContentLength == 0 {
			_ = hold.Serving() // it holds too little to have to give way
		}
		handler.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), holdKey{}, hold)))
	})
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// holdOf returns what a request holds, nil if it is no part of a budget.
func holdOf(ctx context.Context) *budget.Hold {
	hold, _ := ctx.Value(holdKey{}).(*budget.Hold)
	return hold
}

// Reserve reserves memory for a request, until Release or the end of the request.
func Reserve(ctx context.Context, bytes int64) error {
	if hold := holdOf(ctx); hold != nil {
		return hold.Grow(bytes)
	}
	return nil
}

// TryReserve reserves memory for what a request holds already, until the request ends. It does not wait.
func TryReserve(ctx context.Context, bytes int64) error {
	if hold := holdOf(ctx); hold != nil {
		return hold.TryGrow(bytes)
	}
	return nil
}

// Release gives back memory that was reserved for a request.
func Release(ctx context.Context, bytes int64) {
	if hold := holdOf(ctx); hold != nil {
		hold.Shrink(bytes)
	}
}

// Arrived records that all of a request that is needed has arrived: it does not have to give way from now on.
func Arrived(ctx context.Context) error {
	if hold := holdOf(ctx); hold != nil {
		return hold.Serving()
	}
	return nil
}
