// Package node puts an entry VM's parts together and runs them from start to
// graceful stop.
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/pimentoshore/pimentoshore/coord/dispatch"
	"github.com/pimentoshore/pimentoshore/coord/lease"
	"github.com/pimentoshore/pimentoshore/coord/replica"
	"github.com/pimentoshore/pimentoshore/internal/boottime"
	"github.com/pimentoshore/pimentoshore/internal/coordinator"
	"github.com/pimentoshore/pimentoshore/internal/entry"
	"github.com/pimentoshore/pimentoshore/internal/platform"
	"github.com/pimentoshore/pimentoshore/internal/relay"
	"github.com/pimentoshore/pimentoshore/internal/settings"
	"github.com/pimentoshore/pimentoshore/internal/upstream"
	"github.com/pimentoshore/pimentoshore/internal/watch"
)

const (
	tickEvery     = 50 * time.Millisecond
	sweepEvery    = time.Second
	leaseDuration = 2 * time.Second
	renewEvery    = 700 * time.Millisecond
	leasePoll     = 700 * time.Millisecond
	leasePollers  = 8
	leaseRetry    = 300 * time.Millisecond
	orderTimeout  = 500 * time.Millisecond
	operatorWait  = 350 * time.Millisecond
	vmPause       = 350 * time.Millisecond
	ownFactor     = 2
	vmStartPause  = 250 * time.Millisecond
	vmStart       = 3 * time.Second
	watchRetry    = 350 * time.Millisecond
	ownRetry      = 1200 * time.Millisecond
	probeTimeout  = 200 * time.Millisecond
	probeEvery    = 450 * time.Millisecond
	memberEvery   = 1500 * time.Millisecond
	// probesPerSecond bounds the holder's probes where there are many VMs.
	probesPerSecond = 280
	headProbeEvery  = 800 * time.Millisecond
	toldProbeEvery  = 1600 * time.Millisecond
	askEvery        = 200 * time.Millisecond
	askTimeout      = 250 * time.Millisecond
	// askMaxAge is a little more than twice a read's longest wait and way.
	askMaxAge      = time.Second
	fastProbeEvery = 80 * time.Millisecond
	verifyEvery    = 300 * time.Millisecond
	// verifyPerSecond is the VMs of about three groups within verifyEvery.
	verifyPerSecond = 150
	stalledAfter    = 500 * time.Millisecond
	stalledFirst    = time.Second
	silentAfter     = 1200 * time.Millisecond
	firstAfter      = 2500 * time.Millisecond
	// keysMargin is kept from the time for which keys may be trusted, for a
	// request's way to its endpoint.
	keysMargin = 500 * time.Millisecond
	// unknownAfter is the age of the catalog from which an unknown route or
	// key may be in force.
	unknownAfter = 2500 * time.Millisecond
	// spareShare is the part of model VMs that is kept to replace members.
	spareShare = 1.0 / 12
	// gcPercent trades processor time for memory.
	gcPercent = 50
	// stopNotice is how long a stopping node still takes new connections,
	// until callers are no longer sent here.
	stopNotice = 3 * time.Second
	// stopMargin is kept from the stop's grace.
	stopMargin = 700 * time.Millisecond
	maxHeaders = 64 << 10
	// bodiesPart is the part of the memory for answers that are read whole.
	bodiesPart = 4
	// idleTimeout is longer than callers keep a connection.
	idleTimeout = 2 * time.Minute
)

// Backends are the platform's sides that a node talks to.
type Backends struct {
	Table    platform.Table
	Source   watch.Source
	Engines  entry.Engines
	Orders   coordinator.Orderer
	Protocol entry.Protocol
	// ReadyPath is where the platform asks whether callers may be sent here.
	ReadyPath string
}

// Node is an entry VM's process.
type Node struct {
	set      settings.Entry
	log      *slog.Logger
	registry metrics.Registry
	state    *entry.State
	client   *upstream.Client
	prober   *entry.Prober
	coord    *coordinator.Coordinator
	follower *relay.Follower
	backends Backends
	stopping chan struct{}
	active   atomic.Int64
}

// New returns a node. client is the one that the backends use too.
func New(set settings.Entry, log *slog.Logger, registry metrics.Registry, client *upstream.Client, b Backends) (*Node, error) {
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	n := &Node{set: set, log: log, registry: registry, client: client, backends: b, stopping: make(chan struct{})}
	n.state = entry.NewState(log, boottime.Now, dispatch.Options{
		DataCentre: set.DataCentre, ColdOverage: set.Bounds.ColdOverage, ColdSlack: set.Bounds.ColdSlack,
		RepeatRatio: set.Bounds.RepeatRatio, RepeatSlack: set.Bounds.RepeatSlack, RepeatWindow: set.Bounds.RepeatWindow,
	})
	n.prober = entry.NewProber(entry.ProbeOptions{
		HeadEvery: headProbeEvery, RelayedHeadEvery: toldProbeEvery, FastEvery: fastProbeEvery, VerifyEvery: verifyEvery, VerifyPerSecond: verifyPerSecond, Timeout: probeTimeout,
		StalledAfter: stalledAfter, StalledFirst: stalledFirst, SilentAfter: silentAfter, FirstAfter: firstAfter, Metrics: registry,
	}, n.state, b.Engines)
	n.follower = relay.NewFollower(relay.Options{
		VM: set.VM, DataCentre: set.DataCentre, Address: set.Listen.Peers, Every: askEvery, Timeout: askTimeout, MaxAge: askMaxAge, Log: log, Metrics: registry,
	}, (*listener)(n))
	n.coord = coordinator.New(coordinator.Options{
		Lease: lease.Options{
			DataCentre: "all", VM: set.VM, Incarnation: incarnation, WithoutPromises: true,
			Address: set.Listen.Peers, Place: set.DataCentre,
			Duration: leaseDuration, RenewEvery: renewEvery, PollEvery: leasePoll, PollersPerInterval: leasePollers, RetryEvery: leaseRetry,
			OrderTimeout: orderTimeout, Margin: leaseRetry,
		},
		Replica:      replica.Options{Stall: set.Bounds.GroupStall, SpareShare: spareShare, LoadWindow: set.Bounds.LoadWindow},
		OrderTimeout: orderTimeout, ProbeEvery: probeEvery, FastEvery: fastProbeEvery, MemberEvery: memberEvery, ProbesPerSecond: probesPerSecond,
		Log: log, Metrics: registry, Now: boottime.Now,
	}, b.Table, n.state, b.Orders, n.prober, n.follower)
	return n, nil
}

func newIncarnation() (string, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", errors.Trace(err)
	}
	return hex.EncodeToString(b[:]), nil
}

// Reload takes over new settings, but for the addresses and the node's place,
// which need a restart. err is why they could not be read.
func (n *Node) Reload(set settings.Entry, err error) {
	if err != nil {
		n.log.Error("settings were not reloaded; those in force stay", "error", err)
		return
	}
	restart := set.VM != n.set.VM || set.DataCentre != n.set.DataCentre || set.Listen != n.set.Listen || set.Store != n.set.Store
	limitMemory(set.Memory)
	n.log.Info("settings reloaded", "restart_needed", restart, "memory_mb", set.Memory.LimitMB)
}

// limitMemory keeps the heap a good way below the process's limit.
func limitMemory(m settings.EntryMemory) {
	if m.LimitMB > 0 {
		debug.SetMemoryLimit(m.LimitMB << 20 * 3 / 4)
	}
}

// Run serves until the context ends, and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	limitMemory(n.set.Memory)
	n.log.Info("start", "callers", n.set.Listen.Callers, "store", n.set.Store)
	callers, err := net.Listen("tcp", n.set.Listen.Callers)
	if err != nil {
		return errors.Annotate(err, "listening for callers; free the address or set another")
	}
	ready, err := net.Listen("tcp", n.set.Listen.Ready)
	if err != nil {
		return errors.Annotate(err, "listening for readiness; free the address or set another")
	}
	// What runs until the end outlives the signal to stop.
	running, stopAll := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAll()
	g, running := errgroup.WithContext(running)
	server := n.callerServer()
	readiness := n.readyServer()
	g.Go(func() error { return serving(server.Serve(callers)) })
	g.Go(func() error { return serving(readiness.Serve(ready)) })
	if n.set.Listen.Peers != "" {
		if err := n.servePeers(running, g); err != nil {
			return err
		}
	}
	if n.set.Listen.Metrics != "" {
		g.Go(func() error { return n.serveMetrics(running) })
	}
	g.Go(func() error {
		opts := watch.Options{OperatorWait: operatorWait, VMPause: min(vmPause, n.set.Bounds.DrainWithin/5), VMStartPause: vmStartPause, VMStart: vmStart, RetryPause: watchRetry, OwnRetryPause: ownRetry, First: n.follower.IsReader, OwnFactor: ownFactor}
		return watch.Run(running, n.backends.Source, n.state, opts)
	})
	g.Go(func() error { n.tick(running); return nil })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			n.stop(running, server)
		case <-running.Done():
		}
		stopAll()
		readiness.Close()
		server.Close()
		return nil
	})
	err = g.Wait()
	n.log.Info("stop", "error", err)
	return err
}

// servePeers tells other nodes what this one knows, and asks them.
func (n *Node) servePeers(ctx context.Context, g *errgroup.Group) error {
	listener, err := net.Listen("tcp", n.set.Listen.Peers)
	if err != nil {
		return errors.Annotate(err, "listening for other entry VMs; free the address or set another")
	}
	server := &http.Server{Handler: relay.Handler((*teller)(n)), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	g.Go(func() error { return serving(server.Serve(listener)) })
	g.Go(func() error {
		n.follower.Run(ctx)
		return server.Close()
	})
	return nil
}

func serving(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Trace(err)
}

// tick runs everything that acts by time.
func (n *Node) tick(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	swept := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.prober.Tick(ctx, n.state.Tick())
		n.coord.Tick(ctx)
		if time.Since(swept) >= sweepEvery {
			swept = time.Now()
			n.client.Sweep()
		}
	}
}

// stop lets callers go elsewhere, gives the lease up and ends what runs.
func (n *Node) stop(ctx context.Context, server *http.Server) {
	started := time.Now()
	n.log.Info("stopping", "grace", n.set.Bounds.StopGrace)
	close(n.stopping)
	n.coord.Stop(ctx)
	time.Sleep(stopNotice)
	left := n.set.Bounds.StopGrace - stopMargin - time.Since(started)
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		n.log.Warn("requests were cut by the stop", "left", n.active.Load(), "error", err)
	}
}

// callerServer serves callers.
func (n *Node) callerServer() *http.Server {
	handler := entry.NewServer(entry.Options{
		KeysValidFor: n.set.Bounds.KeysValid - keysMargin, UnknownAfter: unknownAfter, BodyBytes: n.set.Memory.LimitMB << 20 / bodiesPart,
		Log: n.log, Metrics: n.registry, Now: boottime.Now,
	}, n.backends.Protocol, n.state, n.client, n.stopping)
	counted := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.active.Add(1)
		defer n.active.Add(-1)
		handler.ServeHTTP(w, r)
	})
	return &http.Server{
		Handler: counted, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaders,
		ReadHeaderTimeout: readHeaderTimeout, ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
}

// readHeaderTimeout bounds the reading of a request's header.
const readHeaderTimeout = 10 * time.Second
