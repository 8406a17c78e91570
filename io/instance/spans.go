package instance

import (
	"sync"

	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
)

// spanMap holds the open spans of attempts by attempt id.
type spanMap struct {
	mu   sync.Mutex
	open map[string]trace.Span
}

// put remembers the span of an attempt.
func (m *spanMap) put(id string, span trace.Span) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open[id] = span
}

// end ends the span of an attempt, once.
func (m *spanMap) end(id string, err error) {
	m.mu.Lock()
	span := m.open[id]
	delete(m.open, id)
	m.mu.Unlock()
	if span != nil {
		endSpan(span, err)
	}
}

// endSpan ends a span with its error.
func endSpan(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}
