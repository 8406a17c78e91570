// Package otlp exports spans, to a file and by OTLP over HTTP.
package otlp

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
)

// fileMode is the mode of the span file.
const fileMode = 0o600

// Exporter is a source of tracers with its way to flush.
type Exporter struct {
	provider trace.TracerProvider
	shutdown func(context.Context) error
}

// New returns an exporter for the named instance. Without file and endpoint
// spans are dropped.
func New(ctx context.Context, instance, file, endpoint string) (*Exporter, error) {
	if file == "" && endpoint == "" {
		return &Exporter{provider: noop.NewTracerProvider(), shutdown: func(context.Context) error { return nil }}, nil
	}
	options := []sdktrace.TracerProviderOption{sdktrace.WithResource(resource.NewSchemaless(
		attribute.String("service.name", "papayaquay"), attribute.String("service.instance.id", instance)))}
	if file != "" {
		f, err := os.OpenFile(file, os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
		if err != nil {
			return nil, errors.Wrap(err, "open span file")
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
		if err != nil {
			return nil, errors.Wrap(err, "start span file")
		}
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	if endpoint != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
		if err != nil {
			return nil, errors.Wrap(err, "start OTLP export")
		}
		options = append(options, sdktrace.WithBatcher(exporter))
	}
	provider := sdktrace.NewTracerProvider(options...)
	return &Exporter{provider: provider, shutdown: provider.Shutdown}, nil
}

// Tracer returns the tracer of the system.
func (e *Exporter) Tracer() trace.Tracer { return e.provider.Tracer("papayaquay") }

// Stop flushes the spans.
func (e *Exporter) Stop(ctx context.Context) error {
	return errors.Wrap(e.shutdown(ctx), "flush spans")
}

// End ends a span with its error, if there is one.
func End(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}
