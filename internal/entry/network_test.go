package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// network connects callers, the entry VM and endpoints.
type network interface {
	listen(t *testing.T) net.Listener
	// dial implements upstream.DialFunc.
	dial(ctx context.Context, address string) (net.Conn, error)
}

// serve starts a server at an address of its own, which ends with the test.
func serve(t *testing.T, n network, handler http.Handler) *httptest.Server {
	server := &httptest.Server{Listener: n.listen(t), Config: &http.Server{Handler: handler}}
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// loopback is TCP on loopback. It dials without a timeout, so that a busy machine
// doesn't turn a request into one that wasn't sent.
type loopback struct{}

func (loopback) listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

func (loopback) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}
