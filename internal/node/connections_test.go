package node

import (
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/updates"
	"github.com/pimentoshore/pimentoshore/internal/boottime"
	"github.com/pimentoshore/pimentoshore/internal/ingress"
	"github.com/pimentoshore/pimentoshore/internal/settings"
	"github.com/pimentoshore/pimentoshore/internal/upstream"
)

// newConnectionNode returns a node that isn't run, with a configuration and a limit of
// callers' connections.
func newConnectionNode(t *testing.T, limits settings.EntryLimits) *Node {
	t.Helper()
	cfg := settings.Entry{VM: "e-1", DataCentre: "dc", Bounds: settings.EntryBounds{KeysValid: time.Hour}, Limits: limits}
	n, err := New(cfg, slog.New(slog.DiscardHandler), metrics.NewRegistry(), upstream.New(nil), Backends{})
	assert.NilError(t, err)
	n.callerServer()
	return n
}

// configure puts a configuration with limits in force.
func (n *Node) configure(version int64, l catalog.Limits) {
	n.state.Operators(boottime.Now(), updates.Operators{Version: uint64(version), Whole: true, Catalog: catalog.New(version, nil, nil, catalog.Accounts{}, l)})
}

// Guards against limits of callers that remain those of an earlier configuration.
func TestConnectionLimitsAreThoseInForce(t *testing.T) {
	n := newConnectionNode(t, settings.EntryLimits{})
	assert.Equal(t, n.connectionLimits(), ingress.Limits{})
	n.configure(1, catalog.Limits{IdleTimeout: 15 * time.Second, HeaderTimeout: 3 * time.Second, MaxHeaderBytes: 16384})
	assert.Equal(t, n.connectionLimits(), ingress.Limits{IdleTimeout: 15 * time.Second, HeaderTimeout: 3 * time.Second, HeaderBytes: 16384})
	n.configure(2, catalog.Limits{IdleTimeout: 5 * time.Second})
	assert.Equal(t, n.connectionLimits(), ingress.Limits{IdleTimeout: 5 * time.Second})
}

// Guards against callers that are sent to a node without room for their connections.
func TestNodeWithoutRoomIsNotReady(t *testing.T) {
	n := newConnectionNode(t, settings.EntryLimits{Connections: 1})
	n.configure(1, catalog.Limits{})
	n.state.VMs(boottime.Now(), updates.VMs{Version: 1, Whole: true})
	assert.Equal(t, n.notReadyReason(), "")
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	accepted := make(chan net.Conn)
	go func() {
		for wrapped := n.connections.Listen(l); ; {
			c, err := wrapped.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	first, err := l.Dial(t.Context(), "", "")
	assert.NilError(t, err)
	served := (<-accepted).(*ingress.Conn)
	assert.Assert(t, served.BeginRequest(1))
	second, err := l.Dial(t.Context(), "", "")
	assert.NilError(t, err)
	_, err = second.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "the connection was closed")
	assert.Equal(t, n.notReadyReason(), "no room for more connections")
	assert.NilError(t, served.Close())
	assert.NilError(t, first.Close())
	assert.NilError(t, l.Close())
}
