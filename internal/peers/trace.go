package peers

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// injectTrace adds the trace context of ctx, if there is one, to the headers of a
// twirp call. Periodic messages have none, which saves its bytes.
func injectTrace(ctx context.Context) context.Context {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ctx
	}
	header := http.Header{}
	telemetry.Propagator.Inject(ctx, propagation.HeaderCarrier(header))
	traced, err := twirp.WithHTTPRequestHeaders(ctx, header)
	if err != nil {
		return ctx
	}
	return traced
}

// Traced wraps a handler so that each request with a trace context runs in a span
// of this node that is a child of the caller's span.
func Traced(h http.Handler, tracer trace.Tracer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := telemetry.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		if !trace.SpanContextFromContext(ctx).IsValid() {
			h.ServeHTTP(w, r)
			return
		}
		ctx, span := tracer.Start(ctx, "peer "+r.URL.Path, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		h.ServeHTTP(w, r.WithContext(ctx))
	})
}
