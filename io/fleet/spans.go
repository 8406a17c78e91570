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

// flushTimeout bounds the time to hand out the last spans of a stopped instance.
const flushTimeout = time.Second

// spans starts a span for each hop of a request, an item and a call of a front
// end. Without a file or an address in the settings they cost next to nothing.
type spans struct {
	exporter *otlp.Exporter
	tracer   trace.Tracer
}

// newSpans opens what the settings name.
func newSpans(instance, file, endpoint string) (*spans, error) {
	exporter, err := otlp.New(context.Background(), instance, file, endpoint)
	if err != nil {
		return nil, err
	}
	return &spans{exporter: exporter, tracer: exporter.Tracer()}, nil
}

// close hands out the last spans.
func (s *spans) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	return s.exporter.Stop(ctx)
}

// request opens the span of an online request.
func (s *spans) request(ctx context.Context, r entry.Request) (context.Context, trace.Span) {
	return s.tracer.Start(ctx, "request", trace.WithAttributes(
		attribute.String("request", r.ID()), attribute.String("service", r.Service())))
}

// currentAttempt opens the span of one attempt of an online request.
func (s *spans) attempt(ctx context.Context, d entry.Decision) (context.Context, trace.Span) {
	return s.tracer.Start(ctx, "attempt", trace.WithAttributes(
		attribute.String("backend", d.Backend().ID()), attribute.Bool("reserve", d.Reserve())))
}

// item opens the span of one attempt of a batch item.
func (s *spans) item(ctx context.Context, a runner.Attempt) (context.Context, trace.Span) {
	return s.tracer.Start(ctx, "item", trace.WithAttributes(attribute.String("job", a.Job()),
		attribute.String("item", a.Item().ID()), attribute.String("backend", a.Backend().ID())))
}

// call opens the span of a call to the leader of a ledger.
func (s *spans) call(kind string) trace.Span {
	_, span := s.tracer.Start(context.Background(), "call", trace.WithAttributes(attribute.String("kind", kind)))
	return span
}

// unsuccessfulStatus is the error that a span shows for an end other than the good one.
type unsuccessfulStatus string

// Error names the end.
func (e unsuccessfulStatus) Error() string { return string(e) }

// spanError returns the error that a span shows for an end, none for the good one.
func spanError(status, success string) error {
	if status == success {
		return nil
	}
	return unsuccessfulStatus(status)
}
