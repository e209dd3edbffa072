package telemetry

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// tracerName is the instrumentation name of the spans.
const tracerName = "crocusramp.dev/crocusramp"

// TraceConfig configures the export of spans.
type TraceConfig struct {
	// Endpoint is the URL of an OTLP collector over HTTP. If it is empty, tracing is disabled.
	Endpoint string
	// SamplePercent is the percentage of new traces that is recorded. Traces that the caller sampled
	// are always recorded.
	SamplePercent float64
	// VM is the ID of the VM, an attribute of every span.
	VM string
}

// NewTracer returns a tracer and the function that shuts it down and flushes its spans. Without an
// endpoint it returns a no-op tracer, which costs nothing.
func NewTracer(ctx context.Context, cfg TraceConfig) (trace.Tracer, func(context.Context) error, error) {
	if cfg.Endpoint == "" {
		return noop.NewTracerProvider().Tracer(tracerName), func(context.Context) error { return nil }, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(cfg.Endpoint))
	if err != nil {
		return nil, nil, fmt.Errorf("trace exporter for %s: %w", cfg.Endpoint, err)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(cfg.SamplePercent/100))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "crocusrampd"),
			attribute.String("vm", cfg.VM),
		)),
	)
	return provider.Tracer(tracerName), provider.Shutdown, nil
}
