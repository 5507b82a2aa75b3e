package telemetry

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"gotest.tools/v3/assert"
)

func exportSpan(t *testing.T, o TraceOptions) {
	t.Helper()
	ctx := context.Background()
	tracer, shutdown, err := NewTracer(ctx, o)
	assert.NilError(t, err)
	_, span := tracer.Start(ctx, "hop")
	span.End()
	assert.NilError(t, shutdown(ctx))
}

func TestSpansGoToCollector(t *testing.T) {
	var path atomic.Value
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { path.Store(r.URL.Path) }))
	defer srv.Close()
	for _, url := range []string{srv.URL, srv.URL + "/v1/traces"} {
		path.Store("")
		exportSpan(t, TraceOptions{OTLPEndpoint: url})
		assert.Equal(t, path.Load(), "/v1/traces", url)
	}
}

func TestSpansGoToFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "spans.json")
	exportSpan(t, TraceOptions{File: file})
	raw, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(raw), `"hop"`), string(raw))
}

// isOpen reports whether this process has the file open.
func isOpen(t *testing.T, file string) bool {
	t.Helper()
	links, err := filepath.Glob("/proc/self/fd/*")
	assert.NilError(t, err)
	for _, link := range links {
		if target, err := os.Readlink(link); err == nil && target == file {
			return true
		}
	}
	return false
}

func TestTraceFileIsClosedWithoutExporter(t *testing.T) {
	file := filepath.Join(t.TempDir(), "spans.json")
	_, _, err := newFileExporter(file, func(...stdouttrace.Option) (*stdouttrace.Exporter, error) { return nil, errors.New("no exporter") })
	assert.ErrorContains(t, err, "no exporter")
	assert.Assert(t, !isOpen(t, file))
}

// A shutdown that has no time left to write the last spans still closes the file.
func TestTraceFileIsClosedAfterLateShutdown(t *testing.T) {
	file := filepath.Join(t.TempDir(), "spans.json")
	tracer, shutdown, err := NewTracer(t.Context(), TraceOptions{File: file})
	assert.NilError(t, err)
	_, span := tracer.Start(t.Context(), "hop")
	span.End()
	assert.Assert(t, isOpen(t, file))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, shutdown(ended), context.Canceled)
	assert.Assert(t, !isOpen(t, file))
}

func TestWriteMetrics(t *testing.T) {
	r := metrics.NewRegistry()
	Counter(r, "requests_total", "outcome", "ok").Inc(2)
	Gauge(r, "live_nodes").Update(3)
	Timer(r, "request_seconds").Update(1500 * time.Millisecond)
	var out bytes.Buffer
	WriteMetrics(&out, r)
	for _, want := range []string{
		"pimentoshore_requests_total{outcome=\"ok\"} 2\n",
		"pimentoshore_live_nodes 3\n",
		"pimentoshore_request_seconds_count 1\n",
		"pimentoshore_request_seconds{quantile=\"0.95\"} 1.5\n",
	} {
		assert.Assert(t, strings.Contains(out.String(), want), out.String())
	}
}

func TestLoggerRefusesUnknownLevel(t *testing.T) {
	_, err := NewLogger(&bytes.Buffer{}, FormatJSON, "loud", "e1", "praha")
	assert.ErrorContains(t, err, "use debug, info, warn or error")
}
