// Package node assembles the parts of an entry VM and runs them from start to
// graceful shutdown.
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
	"github.com/pimentoshore/pimentoshore/internal/bodylimit"
	"github.com/pimentoshore/pimentoshore/internal/boottime"
	"github.com/pimentoshore/pimentoshore/internal/coordinator"
	"github.com/pimentoshore/pimentoshore/internal/entry"
	"github.com/pimentoshore/pimentoshore/internal/ingress"
	"github.com/pimentoshore/pimentoshore/internal/platform"
	"github.com/pimentoshore/pimentoshore/internal/relay"
	"github.com/pimentoshore/pimentoshore/internal/settings"
	"github.com/pimentoshore/pimentoshore/internal/upstream"
	"github.com/pimentoshore/pimentoshore/internal/watch"
)

// Backends are the platform interfaces that a node uses.
type Backends struct {
	Table   platform.Table
	Source  watch.Source
	Engines entry.Engines
	// Quarantine keeps the quarantined parts of prompts.
	Quarantine entry.QuarantineStore
	Orders     coordinator.Orderer
	Protocol   entry.Protocol
	// ReadyPath is the path of the readiness check: the platform sends callers
	// only to VMs that are ready.
	ReadyPath string
}

// Node is the process of an entry VM.
type Node struct {
	cfg      settings.Entry
	log      *slog.Logger
	registry metrics.Registry
	state    *entry.State
	client   *upstream.Client
	prober   *entry.Prober
	coord    *coordinator.Coordinator
	follower *relay.Follower
	backends Backends
	callers  *entry.Server // nil until callerServer, as are memory and connections
	memory   *bodylimit.Memory
	// connections are the callers' connections.
	connections *ingress.Connections
	stopping    chan struct{}
	// process identifies this start of the process.
	process        string
	activeRequests atomic.Int64
}

// New returns a node. client must be the one that the backends use.
func New(cfg settings.Entry, log *slog.Logger, registry metrics.Registry, client *upstream.Client, b Backends) (*Node, error) {
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, log: log, registry: registry, client: client, backends: b, stopping: make(chan struct{}), process: incarnation}
	n.state = entry.NewState(log, boottime.Now, dispatch.Options{
		DataCentre: cfg.DataCentre, ColdOverage: cfg.Bounds.ColdOverage, ColdSlack: cfg.Bounds.ColdSlack,
		RepeatRatio: cfg.Bounds.RepeatRatio, RepeatSlack: cfg.Bounds.RepeatSlack, RepeatWindow: cfg.Bounds.RepeatWindow,
		StartedAt: boottime.Now(),
	})
	n.prober = entry.NewProber(entry.ProbeOptions{
		HeadEvery: headProbeInterval, RelayedHeadEvery: relayedHeadProbeInterval, FastEvery: fastProbeInterval, VerifyEvery: verifyInterval, VerifyPerSecond: maxVerifyProbesPerSecond, Timeout: probeTimeout,
		StalledAfter: groupStallTimeout, StalledFirst: firstEventStallTimeout, SilentAfter: requestStallTimeout, FirstAfter: firstEventTimeout, Metrics: registry,
	}, n.state, b.Engines)
	n.follower = relay.NewFollower(relay.Options{
		VM: cfg.VM, DataCentre: cfg.DataCentre, Address: cfg.Listen.Peers, Every: peerPollInterval, Timeout: peerPollTimeout, MaxAge: peerMaxAge, SpreadReads: cfg.Outage.SpreadReads, ReadsPlatform: n.state.ReadsPlatform, Log: log, Metrics: registry,
	}, (*peerListener)(n))
	n.coord = coordinator.New(coordinator.Options{
		Lease: lease.Options{
			DataCentre: "all", VM: cfg.VM, Incarnation: incarnation, WithoutPromises: true,
			Address: cfg.Listen.Peers, Place: cfg.DataCentre,
			Duration: leaseDuration, RenewEvery: renewInterval, PollEvery: leasePollInterval, PollersPerInterval: leasePollersPerInterval, RetryEvery: leaseRetryInterval,
			OrderTimeout: orderTimeout, Margin: leaseRetryInterval,
		},
		Replica:      replica.Options{Stall: cfg.Bounds.GroupStall, SpareShare: spareShare, LoadWindow: cfg.Bounds.LoadWindow},
		FollowDemand: coordinator.FollowsDemand(cfg.Planning.FollowDemand),
		OrderTimeout: orderTimeout, ProbeInterval: probeInterval, FastProbeInterval: fastProbeInterval, MemberProbeInterval: memberProbeInterval, ProbesPerSecond: maxProbesPerSecond,
		Spread: n.follower.Spread,
		Log:    log, Metrics: registry, Now: boottime.Now,
	}, b.Table, n.state, b.Orders, n.prober, n.follower)
	return n, nil
}

// newIncarnation returns a random ID for this start of the process.
func newIncarnation() (string, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", errors.Trace(err)
	}
	return hex.EncodeToString(b[:]), nil
}

// Reload applies new settings, except for the node's name, data centre, addresses,
// limits of callers and planning, which need a restart. If err isn't nil, the settings could not be
// read and the current ones remain in force.
func (n *Node) Reload(cfg settings.Entry, err error) {
	if err != nil {
		n.log.Error("settings not reloaded; the current settings remain in force", "error", err)
		return
	}
	restart := cfg.VM != n.cfg.VM || cfg.DataCentre != n.cfg.DataCentre || cfg.Listen != n.cfg.Listen || cfg.Store != n.cfg.Store || cfg.Limits != n.cfg.Limits || cfg.Planning != n.cfg.Planning || cfg.Outage != n.cfg.Outage
	limitMemory(cfg.Memory)
	n.log.Info("settings reloaded", "restart_needed", restart, "memory_mb", cfg.Memory.LimitMB)
}

// initialMemoryLimit is the Go runtime's memory limit at the start of the process.
var initialMemoryLimit = debug.SetMemoryLimit(-1)

// limitMemory sets the Go runtime's memory limit to three quarters of the
// process's limit, to keep the heap well below it. Without a limit it restores the
// initial one.
func limitMemory(m settings.EntryMemory) {
	if m.LimitMB <= 0 {
		debug.SetMemoryLimit(initialMemoryLimit)
		return
	}
	debug.SetMemoryLimit(m.LimitMB << 20 * 3 / 4)
}

// Run serves until the context ends, and then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	limitMemory(n.cfg.Memory)
	n.log.Info("start", "callers", n.cfg.Listen.Callers, "store", n.cfg.Store)
	callers, err := net.Listen("tcp", n.cfg.Listen.Callers)
	if err != nil {
		return errors.Annotate(err, "listening for callers; free the address or set another")
	}
	ready, err := net.Listen("tcp", n.cfg.Listen.Ready)
	if err != nil {
		return errors.Annotate(err, "listening for readiness; free the address or set another")
	}
	// runCtx stays valid during the graceful shutdown, after ctx has ended.
	runCtx, stopAll := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAll()
	g, runCtx := errgroup.WithContext(runCtx)
	server := n.callerServer()
	readiness := n.readyServer()
	g.Go(func() error { return ignoreServerClosed(server.Serve(n.connections.Listen(callers))) })
	g.Go(func() error { n.connections.Run(runCtx); return nil })
	g.Go(func() error { return ignoreServerClosed(readiness.Serve(ready)) })
	if n.cfg.Listen.Peers != "" {
		if err := n.servePeers(runCtx, g); err != nil {
			return err
		}
	}
	if n.cfg.Listen.Metrics != "" {
		g.Go(func() error { return n.serveMetrics(runCtx) })
	}
	g.Go(func() error {
		opts := watch.Options{OperatorWait: operatorReadWait, VMInterval: min(vmReadInterval, n.cfg.Bounds.DrainWithin/5), VMStartupInterval: vmStartupReadInterval, VMStartupPeriod: vmStartupPeriod, RetryPause: readRetryPause, FollowerRetryPause: followerReadRetryPause, IsReader: n.follower.IsReader, FollowerFactor: followerReadFactor, QuarantineWait: quarantineReadWait, QuarantineRetryPause: quarantineRetryPause, Spread: n.follower.Spread}
		return watch.Run(runCtx, n.backends.Source, n.state, opts)
	})
	g.Go(func() error { n.tick(runCtx); return nil })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			n.shutDown(runCtx, server)
		case <-runCtx.Done():
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

// servePeers serves this node's state to its peers, and polls theirs.
func (n *Node) servePeers(ctx context.Context, g *errgroup.Group) error {
	listener, err := net.Listen("tcp", n.cfg.Listen.Peers)
	if err != nil {
		return errors.Annotate(err, "listening for other entry VMs; free the address or set another")
	}
	server := &http.Server{Handler: relay.Handler((*peerServer)(n)), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	g.Go(func() error { return ignoreServerClosed(server.Serve(listener)) })
	g.Go(func() error {
		n.follower.Run(ctx)
		return server.Close()
	})
	return nil
}

// ignoreServerClosed returns nil for the error of a server that was closed.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Trace(err)
}

// tick runs the periodic tasks until the context ends, and waits for the
// coordinator's calls.
func (n *Node) tick(ctx context.Context) {
	defer n.coord.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	keeper := entry.NewQuarantineKeeper(n.state, n.backends.Quarantine)
	lastSweep := time.Now()
	spreadOut := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.logSpread(&spreadOut)
		isReader := n.follower.IsReader()
		n.state.SetTriesQuarantined(isReader)
		n.prober.Tick(ctx, n.state.Tick())
		if isReader {
			keeper.Tick(ctx)
		}
		n.coord.Tick(ctx)
		if time.Since(lastSweep) >= sweepInterval {
			lastSweep = time.Now()
			n.client.Sweep()
		}
	}
}

// logSpread logs when reads of the platform begin or cease to be spread out. before is
// whether they were at the last call.
func (n *Node) logSpread(before *bool) {
	s := n.follower.Spread()
	spreadOut := s.IsActive() && !s.Fresh
	if spreadOut == *before {
		return
	}
	*before = spreadOut
	n.log.Info("reads spread out", "on", spreadOut, "nodes", s.Nodes, "data_centres", s.DataCentres, "role", s.Role.String(),
		"peers_answer", s.Answering, "peers_fresh", s.Fresh, "mean_pause", s.Pause(followerReadRetryPause), "reads_itself", n.state.ReadsPlatform())
}

// shutDown reports the node as not ready, releases the lease, waits for running
// requests to complete within the grace period, and leaves the list of nodes.
func (n *Node) shutDown(ctx context.Context, server *http.Server) {
	started := time.Now()
	n.log.Info("stopping", "grace", n.cfg.Bounds.StopGrace)
	close(n.stopping)
	n.coord.Stop(ctx)
	notice, total := stopPeriods(n.cfg.Bounds.StopGrace)
	time.Sleep(notice)
	ctx, cancel := context.WithTimeout(ctx, total-time.Since(started))
	defer cancel()
	if n.callers != nil {
		lastAnswers := time.AfterFunc(total-time.Since(started)-min(lastAnswersPeriod, total/lastAnswersDivisor), n.callers.EndRequests)
		defer lastAnswers.Stop()
	}
	if err := server.Shutdown(ctx); err != nil {
		n.log.Warn("requests were aborted by the shutdown", "left", n.activeRequests.Load(), "error", err)
	}
	n.leave(context.WithoutCancel(ctx), min(leaveTimeout, (n.cfg.Bounds.StopGrace-time.Since(started))/2))
}

// leave removes the node from the list of those that serve, or gives up after
// the timeout.
func (n *Node) leave(ctx context.Context, timeout time.Duration) {
	n.coord.Leave(ctx)
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(tickInterval) {
		if n.coord.HasLeft() {
			return
		}
	}
	n.log.Warn("still registered at the end of the shutdown; other nodes keep a share of the limits for this one", "retry", "at the next start")
}

// stopPeriods returns how long a node still accepts connections after the beginning
// of a shutdown, and how long the shutdown may take in all. With a short grace
// period, both are shortened so that the last requests still have time to complete.
func stopPeriods(grace time.Duration) (notice, total time.Duration) {
	total = grace - min(stopMargin, grace/stopMarginDivisor)
	return min(stopNoticePeriod, total-total/lastRequestsDivisor), total
}

// callerServer returns the server for callers.
func (n *Node) callerServer() *http.Server {
	memoryLimit := n.cfg.Memory.LimitMB << 20
	n.memory = bodylimit.NewMemory(bodylimit.SizesFor(memoryLimit))
	maxConnections := n.cfg.Limits.Connections
	if maxConnections == 0 {
		maxConnections = ingress.DefaultConnections(ingress.OpenFiles(n.cfg.Limits.OpenFiles), memoryLimit)
	}
	n.connections = ingress.New(ingress.Options{
		Max: maxConnections, Limits: n.connectionLimits, StalledWrite: n.cfg.Limits.StalledWrite, Memory: n.memory.Requests, Log: n.log, Metrics: n.registry,
	})
	n.callers = entry.NewServer(entry.Options{
		KeysValidFor: n.cfg.Bounds.KeysValid - keyValidityMargin, UnknownAfter: unknownRouteAge, Memory: n.memory, Connections: n.connections,
		Log: n.log, Metrics: n.registry, Now: boottime.Now,
	}, n.backends.Protocol, n.state, n.client, n.stopping)
	counted := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.activeRequests.Add(1)
		defer n.activeRequests.Add(-1)
		defer n.logPanic(r)
		n.callers.ServeHTTP(w, r)
	})
	n.log.Info("limits of callers", "connections", maxConnections, "memory_mb", n.cfg.Memory.LimitMB)
	server := &http.Server{Handler: counted, ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)}
	n.connections.Configure(server)
	return server
}

// connectionLimits returns the limits of callers' connections of the configuration in
// force.
func (n *Node) connectionLimits() ingress.Limits {
	view := n.state.View()
	if view == nil {
		return ingress.Limits{}
	}
	limits := view.Catalog.Limits
	return ingress.Limits{IdleTimeout: limits.IdleTimeout, HeaderTimeout: limits.HeaderTimeout, HeaderBytes: limits.MaxHeaderBytes}
}

// logPanic logs a panic of a request's handler, which ends the connection without
// an answer. http.ErrAbortHandler is logged by the handler itself.
func (n *Node) logPanic(r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
		n.log.Error("request's handler failed", "request", r.Header.Get(n.backends.Protocol.RequestID), "cause", cause, "stack", string(debug.Stack()))
	}
	panic(cause)
}
