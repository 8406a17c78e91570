package client

import (
	"context"
	"expvar"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"papayaquay/core/budget"
	"papayaquay/core/event"
)

// lines writes at most one line of each event per logInterval, so that a crowd of clients cannot fill
// the log.
type lines struct {
	logger  *slog.Logger
	mu      sync.Mutex
	written map[int]time.Time // by the number of the event
	skipped map[int]int
}

// newLines returns lines that were not written yet.
func newLines(logger *slog.Logger) *lines {
	return &lines{logger: logger, written: make(map[int]time.Time), skipped: make(map[int]int)}
}

// log writes a line, or counts it for the next one.
func (l *lines) log(e event.Event, attributes ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.written[e.Number()]) >= logInterval {
		e.Log(l.logger, append(attributes, "skipped", l.skipped[e.Number()])...)
		l.written[e.Number()], l.skipped[e.Number()] = now, 0
		return
	}
	l.skipped[e.Number()]++
}

// errorHandler is the log of an HTTP server.
type errorHandler struct {
	lines *lines
}

// Enabled reports that each line is written.
func (errorHandler) Enabled(context.Context, slog.Level) bool { return true }

// Handle writes a line of the HTTP server.
func (h errorHandler) Handle(_ context.Context, r slog.Record) error {
	h.lines.log(event.HTTPServerFailed, "message", r.Message)
	return nil
}

// WithAttrs returns the handler: the lines have no attributes.
func (h errorHandler) WithAttrs([]slog.Attr) slog.Handler { return h }

// WithGroup returns the handler.
func (h errorHandler) WithGroup(string) slog.Handler { return h }

// published is the budget whose usage the metrics show: expvar names are global.
var published atomic.Pointer[budget.Budget]

// publish shows the usage of a budget in the metrics.
func publish(b *budget.Budget) {
	if published.Swap(b) != nil {
		return
	}
	for name, value := range map[string]func(budget.Usage) any{
		"clients_bytes":       func(u budget.Usage) any { return u.Bytes() },
		"clients_room_bytes":  func(u budget.Usage) any { return u.Room() },
		"clients_connections": func(u budget.Usage) any { return u.Connections() },
		"clients_waiting":     func(u budget.Usage) any { return u.Waiting() },
		"clients_rejected":    func(u budget.Usage) any { return u.Rejected() },
		"clients_gave_way":    func(u budget.Usage) any { return u.GaveWay() },
	} {
		expvar.Publish(name, expvar.Func(func() any { return value(published.Load().Usage()) }))
	}
}
