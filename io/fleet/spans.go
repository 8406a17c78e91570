package fleet

import (
	"context"
	"time"

	"papayaquay/core/entry"
	"papayaquay/core/runner"
	"papayaquay/io/otlp"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// flushTimeout is the time limit for the export of the last spans when the
// instance stops.
const flushTimeout = time.Second

// spans starts a span for each hop of a request, of an item and of a call of a
// front end. Without a trace file or endpoint in the settings, spans are not
// exported and cost almost nothing.
type spans struct {
	exporter *otlp.Exporter
	tracer   trace.Tracer
}

// newSpans returns spans that are exported to a file and to an OTLP endpoint.
// Either may be empty.
func newSpans(instance, file, endpoint string) (*spans, error) {
	exporter, err := otlp.New(context.Background(), instance, file, endpoint)
	if err != nil {
		return nil, err
	}
	return &spans{exporter: exporter, tracer: exporter.Tracer()}, nil
}

// close exports the last spans.
func (s *spans) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	return s.exporter.Stop(ctx)
}

// request starts the span of an online request.
func (s *spans) request(ctx context.Context, r entry.Request) (context.Context, trace.Span) {
	return s.tracer.Start(ctx, "request", trace.WithAttributes(
		attribute.String("request", r.ID()), attribute.String("service", r.Service())))
}

// attempt starts the span of an attempt of an online request.
func (s *spans) attempt(ctx context.Context, d entry.Decision) (context.Context, trace.Span) {
	return s.tracer.Start(ctx, "attempt", trace.WithAttributes(
		attribute.String("backend", d.Backend().ID()), attribute.Bool("reserve", d.Reserve())))
}

// item starts the span of an attempt of a batch item.
func (s *spans) item(ctx context.Context, a runner.Attempt) (context.Context, trace.Span) {
	return s.tracer.Start(ctx, "item", trace.WithAttributes(attribute.String("job", a.Job()),
		attribute.String("item", a.Item().ID()), attribute.String("backend", a.Backend().ID())))
}

// call starts the span of a call to the leader of a ledger.
func (s *spans) call(kind string) trace.Span {
	_, span := s.tracer.Start(context.Background(), "call", trace.WithAttributes(attribute.String("kind", kind)))
	return span
}

// unsuccessfulStatus is the error that a span records for any status other than
// success.
type unsuccessfulStatus string

// Error returns the status.
func (e unsuccessfulStatus) Error() string { return string(e) }

// spanError returns the error that a span records for a status, or nil for
// success.
func spanError(status, success string) error {
	if status == success {
		return nil
	}
	return unsuccessfulStatus(status)
}
