package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/pimentoshore/pimentoshore/coord/lease"
	"github.com/pimentoshore/pimentoshore/internal/platform"
	"github.com/pimentoshore/pimentoshore/internal/settings"
	"github.com/pimentoshore/pimentoshore/internal/standin/memtable"
	"github.com/pimentoshore/pimentoshore/internal/upstream"
)

// newIdleNode returns a node that isn't run.
func newIdleNode(t *testing.T, b settings.EntryBounds, table platform.Table) *Node {
	t.Helper()
	cfg := settings.Entry{VM: "e-1", DataCentre: "dc", Bounds: b}
	n, err := New(cfg, slog.New(slog.DiscardHandler), metrics.NewRegistry(), upstream.New(nil), Backends{Table: table})
	assert.NilError(t, err)
	return n
}

// pipeListener accepts the connections of Dial.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Dial returns a new connection, or an error after Close.
func (l *pipeListener) Dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	case l.conns <- server:
		return client, nil
	}
}

// The others count the node as one that sends requests for as long as it does.
func TestStoppingNodeStaysListedUntilItsRequestsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memtable.New(memtable.Options{})
		n := newIdleNode(t, settings.EntryBounds{StopGrace: 8 * time.Second}, table)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for ctx.Err() == nil {
				n.coord.Tick(ctx)
				time.Sleep(tickInterval)
			}
		}()
		isListed := func() bool {
			rows, err := table.Get(t.Context(), lease.CandidateKey("all", "e-1"))
			assert.NilError(t, err)
			return len(rows) == 1 && rows[0].Revision > 0
		}
		time.Sleep(2 * time.Second)
		assert.Assert(t, isListed())

		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(5 * time.Second) })}
		go func() { _ = server.Serve(l) }() // ends with the test
		client := &http.Client{Transport: &http.Transport{DialContext: l.Dial, DisableKeepAlives: true}}
		answered := make(chan error, 1)
		go func() {
			resp, err := client.Get("http://node/")
			if err == nil {
				err = resp.Body.Close()
			}
			answered <- err
		}()
		time.Sleep(time.Second)
		stopped := make(chan struct{})
		go func() { n.shutDown(ctx, server); close(stopped) }()
		time.Sleep(3500 * time.Millisecond)
		assert.Check(t, isListed(), "its request still runs")
		assert.NilError(t, <-answered)
		<-stopped
		assert.Check(t, !isListed(), "it has stopped")
		cancel()
		n.coord.Wait()
		time.Sleep(time.Second) // ends the ticks
	})
}

// However short the grace period, all requests that a stopping node accepts are
// completed within it, if they take no more than a tenth of it.
func TestStopCompletesAcceptedRequestsWithinGrace(t *testing.T) {
	for _, grace := range []time.Duration{200 * time.Millisecond, 700 * time.Millisecond, time.Second, 3 * time.Second, 3700 * time.Millisecond, 4 * time.Second, 8 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { stopUnderLoad(t, grace) })
		})
	}
}

// stopUnderLoad stops a server that gets a request every hundredth of the grace
// period.
func stopUnderLoad(t *testing.T, grace time.Duration) {
	n := newIdleNode(t, settings.EntryBounds{StopGrace: grace}, memtable.New(memtable.Options{}))
	var accepted, completed atomic.Int32
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		accepted.Add(1)
		time.Sleep(grace / 10)
	})}
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	client := &http.Client{Transport: &http.Transport{DialContext: l.Dial, DisableKeepAlives: true}}
	stopped := make(chan time.Duration)
	began := time.Now()
	go func() {
		n.shutDown(t.Context(), server)
		server.Close()
		stopped <- time.Since(began)
	}()
	for {
		select {
		case took := <-stopped:
			time.Sleep(grace) // ends the requests
			assert.Check(t, errors.Is(<-served, http.ErrServerClosed))
			assert.Check(t, took <= grace, "took %s", took)
			assert.Check(t, accepted.Load() > 10, "accepted %d requests", accepted.Load())
			assert.Check(t, is.Equal(completed.Load(), accepted.Load()))
			return
		case <-time.After(grace / 100):
		}
		go func() {
			resp, err := client.Get("http://node/")
			if err != nil {
				return
			}
			resp.Body.Close()
			completed.Add(1)
		}()
	}
}
