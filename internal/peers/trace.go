package peers

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// withTrace passes the span of the context on with a twirp call, if there is
// one. Periodic messages have none and cost no bytes for it.
func withTrace(ctx context.Context) context.Context {
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

// Traced returns the handler with the span of the calling node in the context
// of each request, under a span of this node's.
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
