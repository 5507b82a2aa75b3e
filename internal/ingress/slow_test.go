package ingress

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// Guards against cutting off a caller that reads a large response slowly but steadily,
// and against keeping one that reads nothing: the kernel reports room in the send buffer
// only once a third of it is free.
func TestOnlyCallersThatReadNothingAreCutOffOverTCP(t *testing.T) {
	const stalled = time.Second
	registry := metrics.NewRegistry()
	conns := New(Options{Max: 10, StalledWrite: stalled, Log: slog.New(slog.DiscardHandler), Metrics: registry})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(bytes.Repeat([]byte("x"), 1<<20))
	})}
	conns.Configure(server)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(conns.Listen(l)) }()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go conns.Run(ctx)
	defer server.Close()
	var callers []net.Conn
	for range 2 {
		nc, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer nc.Close()
		assert.NilError(t, nc.(*net.TCPConn).SetReadBuffer(8<<10))
		_, err = io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		callers = append(callers, nc)
	}
	buf := make([]byte, 2<<10)
	for end := time.Now().Add(6 * stalled); time.Now().Before(end); time.Sleep(50 * time.Millisecond) { // 40 KB/s: 85 KB take 2 s
		_, err := io.ReadFull(callers[0], buf)
		assert.NilError(t, err)
	}
	assert.Equal(t, telemetry.Counter(registry, "caller_connections_closed_total", "reason", string(StalledWrite)).Count(), int64(1))
	assert.Equal(t, conns.Len(), 1)
}
