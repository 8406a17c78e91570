// Package otlp exports spans to a file and over OTLP/HTTP.
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

// Exporter provides a tracer whose spans it exports.
type Exporter struct {
	provider trace.TracerProvider
	stop     func(context.Context) error
}

// New returns an exporter for the named instance. If neither file nor endpoint is
// given, it drops all spans.
func New(ctx context.Context, instance, file, endpoint string) (*Exporter, error) {
	if file == "" && endpoint == "" {
		return &Exporter{provider: noop.NewTracerProvider(), stop: func(context.Context) error { return nil }}, nil
	}
	options := []sdktrace.TracerProviderOption{sdktrace.WithSpanProcessor(readableText{}), sdktrace.WithResource(resource.NewSchemaless(
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
	return &Exporter{provider: provider, stop: provider.Shutdown}, nil
}

// Tracer returns the tracer of the program.
func (e *Exporter) Tracer() trace.Tracer { return e.provider.Tracer("papayaquay") }

// Stop exports the remaining spans and stops the exporter.
func (e *Exporter) Stop(ctx context.Context) error { return errors.Wrap(e.stop(ctx), "flush spans") }

// End ends a span. If err is not nil, it sets the span's status to that error.
func End(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, toReadable(err.Error()))
	}
	span.End()
}
