package otlp

import (
	"context"
	"strings"
	"unicode/utf8"

	"go.opentelemetry.io/otel/attribute"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// readableText replaces what is no UTF-8 in the texts of a span. The exporter encodes spans together as
// protobuf, which has no other texts: one such span would cost all that are exported with it.
type readableText struct{}

// OnStart replaces the attributes that the span starts with.
func (readableText) OnStart(_ context.Context, span sdktrace.ReadWriteSpan) {
	for _, a := range span.Attributes() {
		if text := a.Value.AsString(); a.Value.Type() == attribute.STRING && !utf8.ValidString(text) {
			span.SetAttributes(a.Key.String(toReadable(text)))
		}
	}
}

// OnEnd does nothing.
func (readableText) OnEnd(sdktrace.ReadOnlySpan) {}

// Shutdown does nothing.
func (readableText) Shutdown(context.Context) error { return nil }

// ForceFlush does nothing.
func (readableText) ForceFlush(context.Context) error { return nil }

// toReadable replaces what is no UTF-8 in a text.
func toReadable(text string) string { return strings.ToValidUTF8(text, "\ufffd") }
