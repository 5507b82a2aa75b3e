package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/ingress"
)

// network connects callers, the entry VM and endpoints.
type network interface {
	listen(t testing.TB) net.Listener
	// dial implements upstream.DialFunc.
	dial(ctx context.Context, address string) (net.Conn, error)
}

// serve starts a server at an address of its own, which ends with the test.
func serve(t testing.TB, n network, handler http.Handler) *httptest.Server {
	server := &httptest.Server{Listener: n.listen(t), Config: &http.Server{Handler: handler}}
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// serveCallers starts a server whose connections are limited.
func serveCallers(t testing.TB, n network, conns *ingress.Connections, handler http.Handler) *httptest.Server {
	server := &httptest.Server{Listener: conns.Listen(n.listen(t)), Config: &http.Server{Handler: handler}}
	conns.Configure(server.Config)
	server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	var sweeps sync.WaitGroup
	sweeps.Go(func() { conns.Run(ctx) })
	t.Cleanup(func() { server.Close(); cancel(); sweeps.Wait() })
	return server
}

// loopback is TCP on loopback. It dials without a timeout, so that a busy machine
// doesn't turn a request into one that wasn't sent.
type loopback struct{}

func (loopback) listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

func (loopback) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// inBubble runs a test in a bubble of package synctest. The ticker that go-metrics
// starts with the first meter never ends, so it is started outside.
func inBubble(t *testing.T, test func(t *testing.T)) {
	metrics.NewMeter().Stop()
	synctest.Test(t, test)
}

// pipes is a network in memory. In a bubble of package synctest the clock goes on
// only while nothing moves on it, so that no timeout depends on the machine's load.
type pipes struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

func newPipes() *pipes { return &pipes{listeners: make(map[string]*pipeListener)} }

func (n *pipes) listen(testing.TB) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	address := &net.TCPAddr{IP: net.IPv4(192, 0, 2, 1), Port: 1 + len(n.listeners)}
	l := &pipeListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address.String()] = l
	return l
}

func (n *pipes) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	return l.dial(ctx)
}

// pipeListener accepts the connections of dial.
type pipeListener struct {
	address *net.TCPAddr
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return l.address }

func (l *pipeListener) dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
