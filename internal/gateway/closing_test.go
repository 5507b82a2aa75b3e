package gateway

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/ingress"
)

// writerFunc is a function that gets all that is written.
type writerFunc func(p []byte) (int, error)

// Write implements io.Writer.
func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// Guards against calls that run though their connection was chosen to be closed while
// the last bytes of their body, already received, waited for memory.
func TestCallIsNotSentIfItsConnectionIsBeingClosed(t *testing.T) {
	var runs atomic.Int32
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	t.Cleanup(target.Close)
	memory := newMemory()
	s := newBoundedServer(&fakeBackend{targets: []Target{{Endpoint: "s1", Address: strings.TrimPrefix(target.URL, "http://")}}}, memory)
	others := memory.Requests.Hold("others", memory.Requests.Used()+1<<20)
	assert.NilError(t, others.Grow(1<<20))
	release := sync.OnceFunc(others.Release)
	log := writerFunc(func(p []byte) (int, error) {
		if strings.Contains(string(p), "stalled body") {
			release() // there is memory as soon as the connection has been chosen
		}
		return len(p), nil
	})
	s.connections = ingress.New(ingress.Options{Max: 10, Memory: memory.Requests, Log: slog.New(slog.NewTextHandler(log, nil)), Metrics: metrics.NewRegistry()})
	srv := httptest.NewUnstartedServer(s.CallerHandler())
	srv.Listener = s.connections.Listen(srv.Listener)
	var ended atomic.Int32
	srv.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer ended.Add(1)
		s.CallerHandler().ServeHTTP(w, r)
	})
	s.connections.Configure(srv.Config)
	srv.Start()
	t.Cleanup(srv.Close)

	c := dialCaller(t, strings.TrimPrefix(srv.URL, "http://"))
	// The buffer is full 4 bytes later, and needs memory beyond the free 16 KB then.
	c.send("/services/shop/orders", "4006\r\n"+strings.Repeat("x", 16380), "Transfer-Encoding: chunked")
	time.Sleep(1200 * time.Millisecond) // longer than a body may make no progress
	_, err := io.WriteString(c, strings.Repeat("x", 10)+"\r\n0\r\n\r\n")
	assert.NilError(t, err)
	eventually(t, "end of the request", func() bool { return ended.Load() == 1 })
	assert.Equal(t, runs.Load(), int32(0), "runs of a call without an answer")
	eventually(t, "release of all memory", func() bool { return memory.Used() == 0 })
}
