package instance

import (
	"sync"

	"papayaquay/io/otlp"

	"go.opentelemetry.io/otel/trace"
)

// spanMap holds the open spans of attempts by attempt id.
type spanMap struct {
	mu   sync.Mutex
	open map[string]trace.Span
}

// add stores the span of an attempt.
func (m *spanMap) add(id string, span trace.Span) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open[id] = span
}

// end ends the span of an attempt and removes it. Further calls do nothing.
func (m *spanMap) end(id string, err error) {
	m.mu.Lock()
	span := m.open[id]
	delete(m.open, id)
	m.mu.Unlock()
	if span != nil {
		otlp.End(span, err)
	}
}
