package daemon

import (
	"context"
	"net"
	"net/http"

	"github.com/pimentoshore/pimentoshore/internal/bodylimit"
	"github.com/pimentoshore/pimentoshore/internal/gateway"
	"github.com/pimentoshore/pimentoshore/internal/ingress"
	"github.com/pimentoshore/pimentoshore/internal/settings"
)

const (
	// maxStreamsPerConn limits the open HTTP/2 streams of one caller's connection.
	// RFC 9113 recommends at least 100.
	maxStreamsPerConn = 100
	// connReceiveBuffer and streamReceiveBuffer limit what is received and not yet
	// read of one HTTP/2 connection and of one stream, in bytes. The default of
	// net/http is 1 MB each, 20 times what a connection counts for.
	connReceiveBuffer   = 128 << 10
	streamReceiveBuffer = 64 << 10
)

// requestMemory returns the memory for request bodies in bytes: the setting or, if that
// is more, what the largest body needs. While its buffer grows, the old and the new one
// count, and one client account gets half of the memory.
func requestMemory(l settings.Limits) int64 { return max(l.RequestMemoryMB<<20, 2*l.MaxBodyBytes) }

// maxConnections returns the maximum number of callers' connections.
func (n *Node) maxConnections() int {
	l := n.settings.Limits
	if l.Connections > 0 {
		return l.Connections
	}
	return ingress.DefaultConnections(ingress.OpenFiles(int64(l.OpenFiles)), 0)
}

// newCallers returns the callers' connections with the limits of the settings.
func (n *Node) newCallers(memory *bodylimit.Memory) *ingress.Connections {
	l := n.settings.Limits
	limits := ingress.Limits{IdleTimeout: l.IdleTimeout, HeaderTimeout: l.HeaderTimeout, HeaderBytes: l.MaxHeaderBytes}
	return ingress.New(ingress.Options{
		Max: n.maxConnections(), Limits: func() ingress.Limits { return limits }, StalledWrite: l.StalledWrite,
		Memory: memory.Requests, Log: n.log, Metrics: n.registry,
	})
}

// callersServer returns the server of the callers' listener.
func (n *Node) callersServer(h http.Handler) *http.Server {
	srv := n.server(h)
	n.callers.Configure(srv)
	srv.MaxHeaderBytes = n.settings.Limits.MaxHeaderBytes // does not change while the daemon runs
	srv.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams:          maxStreamsPerConn,
		MaxReceiveBufferPerConnection: connReceiveBuffer,
		MaxReceiveBufferPerStream:     streamReceiveBuffer,
	}
	connContext := srv.ConnContext
	srv.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return gateway.ConnContext(connContext(ctx, nc))
	}
	return srv
}
