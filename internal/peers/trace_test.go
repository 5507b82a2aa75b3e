package peers

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.opentelemetry.io/otel/trace"
	"gotest.tools/v3/assert"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"github.com/pimentoshore/pimentoshore/coord/config"
	"github.com/pimentoshore/pimentoshore/internal/peers/peerspb"
	"github.com/pimentoshore/pimentoshore/internal/transport"
)

// spanHandler notes the span under which it is told something.
type spanHandler struct {
	Handler
	span trace.SpanContext
}

func (h *spanHandler) Tell(ctx context.Context, _ string, m Message) (Message, error) {
	h.span = trace.SpanContextFromContext(ctx)
	return m, nil
}

func (h *spanHandler) ConfigurationSince(uint64) ([]config.Change, *config.Snapshot) { return nil, nil }

func TestTellCarriesTheTrace(t *testing.T) {
	tracer := sdktrace.NewTracerProvider().Tracer("")
	h := &spanHandler{}
	twirp := peerspb.NewPeersServer(NewServer(h))
	srv := httptest.NewServer(Traced(http.Handler(twirp), tracer))
	defer srv.Close()
	c := NewClient("a", "praha", transport.New(nil))
	address := strings.TrimPrefix(srv.URL, "http://")

	ctx, span := tracer.Start(context.Background(), "request")
	defer span.End()
	_, err := c.Tell(ctx, address, Message{Kind: "k"})
	assert.NilError(t, err)
	assert.Equal(t, h.span.TraceID(), span.SpanContext().TraceID())

	_, err = c.Tell(context.Background(), address, Message{Kind: "k"})
	assert.NilError(t, err)
	assert.Assert(t, !h.span.IsValid())
}
