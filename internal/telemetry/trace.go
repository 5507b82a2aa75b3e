package telemetry

import (
	"context"
	"net/url"
	"os"
	"strings"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// TraceOptions selects where spans are exported. With neither OTLPEndpoint nor
// File set, spans are created, so that the trace context is propagated, but not
// exported.
type TraceOptions struct {
	OTLPEndpoint string // URL of an OTLP/HTTP collector; the path defaults to tracesPath
	File         string // file to which spans are appended as JSON
	VM           string
	DataCentre   string
}

// Propagator propagates the W3C trace context between processes.
var Propagator propagation.TextMapPropagator = propagation.TraceContext{}

// NewTracer returns a tracer and a function that flushes and closes its exporter.
func NewTracer(ctx context.Context, o TraceOptions) (trace.Tracer, func(context.Context) error, error) {
	opts := []sdktrace.TracerProviderOption{sdktrace.WithResource(resource.NewSchemaless(
		attribute.String("service.name", "pimentoshored"),
		attribute.String("host.name", o.VM),
		attribute.String("cloud.availability_zone", o.DataCentre),
	))}
	closeFile := func() error { return nil }
	switch {
	case o.OTLPEndpoint != "":
		exp, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(collectorURL(o.OTLPEndpoint)))
		if err != nil {
			return nil, nil, errors.Annotatef(err, "OTLP exporter for %s", o.OTLPEndpoint)
		}
		opts = append(opts, sdktrace.WithBatcher(exp))
	case o.File != "":
		exp, f, err := newFileExporter(o.File, stdouttrace.New)
		if err != nil {
			return nil, nil, err
		}
		closeFile = f.Close
		opts = append(opts, sdktrace.WithBatcher(exp))
	}
	provider := sdktrace.NewTracerProvider(opts...)
	shutdown := func(ctx context.Context) error {
		err := provider.Shutdown(ctx)
		if closeErr := closeFile(); err == nil {
			err = closeErr
		}
		return errors.Trace(err)
	}
	return provider.Tracer("github.com/pimentoshore/pimentoshore"), shutdown, nil
}

// newFileExporter opens the file and returns it with the exporter that newExporter
// returns for it.
func newFileExporter(name string, newExporter func(...stdouttrace.Option) (*stdouttrace.Exporter, error)) (*stdouttrace.Exporter, *os.File, error) {
	f, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, errors.Annotate(err, "opening the trace file; check the trace.file setting")
	}
	exp, err := newExporter(stdouttrace.WithWriter(f))
	if err != nil {
		f.Close()
		return nil, nil, errors.Trace(err)
	}
	return exp, f, nil
}

// tracesPath is the default path at which collectors receive spans by OTLP over
// HTTP.
const tracesPath = "/v1/traces"

// collectorURL adds tracesPath to a URL that has no path.
func collectorURL(endpoint string) string {
	u, err := url.Parse(endpoint)
	if err != nil || strings.Trim(u.Path, "/") != "" {
		return endpoint
	}
	return u.JoinPath(tracesPath).String()
}
