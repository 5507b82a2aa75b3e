// Package daemon runs one entry VM: it passes events to the state machines of
// coord and carries out their effects.
package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"

	"github.com/pimentoshore/pimentoshore/coord/budget"
	"github.com/pimentoshore/pimentoshore/coord/claim"
	"github.com/pimentoshore/pimentoshore/coord/config"
	"github.com/pimentoshore/pimentoshore/coord/gossip"
	"github.com/pimentoshore/pimentoshore/coord/group"
	"github.com/pimentoshore/pimentoshore/coord/lease"
	"github.com/pimentoshore/pimentoshore/coord/route"
	"github.com/pimentoshore/pimentoshore/internal/bodylimit"
	"github.com/pimentoshore/pimentoshore/internal/endpoint"
	"github.com/pimentoshore/pimentoshore/internal/ingress"
	"github.com/pimentoshore/pimentoshore/internal/peers"
	"github.com/pimentoshore/pimentoshore/internal/platform"
	"github.com/pimentoshore/pimentoshore/internal/settings"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
	"github.com/pimentoshore/pimentoshore/internal/tlsconf"
	"github.com/pimentoshore/pimentoshore/internal/transport"
)

const (
	// fanout is the number of nodes in this node's own data centre, and
	// remoteFanout the number in others, that each gossip exchange pulls from.
	fanout       = 2
	remoteFanout = 1
	// expiryIntervals is the number of exchange intervals without an update
	// from a node after which it no longer counts as live.
	expiryIntervals = 6
)

// Options configures a Node.
type Options struct {
	Settings settings.Settings
	Logger   *slog.Logger
	Registry metrics.Registry
	Tracer   trace.Tracer
	Platform platform.Table
	// TLS secures the peers' and operators' interfaces; nil means plain TCP.
	TLS *tlsconf.Store

	// wrapTransport, if set, wraps the transport of each of the node's HTTP
	// clients.
	wrapTransport func(http.RoundTripper) http.RoundTripper
}

// wrapClient applies wrapTransport to a client.
func (o *Options) wrapClient(c *transport.Client) *transport.Client {
	if o.wrapTransport != nil {
		c.Transport = o.wrapTransport(c.Transport)
	}
	return c
}

// Node is the daemon of one entry VM.
type Node struct {
	settings    settings.Settings
	incarnation string
	log         *slog.Logger
	registry    metrics.Registry
	tracer      trace.Tracer
	platform    platform.Table
	endpoints   *endpoint.Client
	forwards    *endpoint.Client
	control     *transport.Client // control messages to peers
	probes      *transport.Client // reports
	prober      *endpoint.Client
	orderCalls  *transport.Client // orders, apart from reports: see endpoint.Client.Order
	orders      *endpoint.Client
	peers       *peers.Client
	tls         *tlsconf.Store // nil means plain TCP
	requests    *requestRing
	// callers are the callers' connections, and requestMemory is the memory of request
	// bodies and headers. Both are set before start.
	callers       *ingress.Connections
	requestMemory *bodylimit.HolderBudget
	stopRequested chan struct{} // closed when an operator requests a shutdown
	requestStop   func()

	ctx context.Context
	wg  sync.WaitGroup

	// mu protects the fields below. It is never held during I/O.
	mu     sync.Mutex
	config *config.State
	index  index
	gossip *gossip.Table
	groups groupView
	shares *budget.Shares
	coordination
	observations
	admissionState
	keyedCalls
	started  time.Time
	stopping bool
	// platformAnsweredAt is the time of the platform's last answer to any call.
	platformAnsweredAt time.Time
	digests            map[string]config.Digest
}

// Limits of what other processes answer, in bytes: of all answers of endpoints that are
// read whole, of one message between entry VMs and of all that are being read, and of
// the reports of VMs.
const (
	maxAnswers        = 64 << 20
	maxControlAnswer  = 16 << 20
	maxControlAnswers = 32 << 20
	maxReport         = 64 << 10
	maxReports        = 16 << 20
)

// New returns a node that is idle until Run is called.
func New(o Options) *Node {
	set := o.Settings
	incarnation := strconv.FormatUint(rand.Uint64(), 36)
	seed := rand.Uint64()
	control := o.wrapClient(newControlTransport(o.TLS).LimitBodies(maxControlAnswer, maxControlAnswers))
	probes := o.wrapClient(transport.New(nil).LimitBodies(maxReport, maxReports))
	orderCalls := o.wrapClient(transport.New(nil).LimitBodies(maxReport, maxReports))
	n := &Node{
		settings: set, incarnation: incarnation,
		log: o.Logger, registry: o.Registry, tracer: o.Tracer,
		endpoints: endpoint.NewClient(o.wrapClient(transport.New(nil))),
		forwards:  endpoint.NewClient(o.wrapClient(newPeerTransport(o.TLS))),
		tls:       o.TLS,
		control:   control,
		probes:    probes, orderCalls: orderCalls,
		prober: endpoint.NewClient(probes),
		orders: endpoint.NewClient(orderCalls),
		peers:  peers.NewClient(set.VM, set.DataCentre, control),
		config: config.New(config.Options{VM: set.VM, Seed: seed, PollInterval: set.Intervals.ConfigPoll}),
		gossip: gossip.New(gossip.Options{
			VM: set.VM, DataCentre: set.DataCentre, Address: set.Listen.Peers, Incarnation: incarnation,
			Seed: seed, Fanout: fanout, Remote: remoteFanout, Expiry: expiryIntervals * set.Intervals.Exchange,
		}),
		shares:       budget.NewShares(set.VM, incarnation),
		coordination: newCoordination(set),
		observations: newObservations(set, incarnation),
		keyedCalls:   newKeyedCalls(set.VM, incarnation),
		started:      time.Now(),
		digests:      map[string]config.Digest{},
	}
	n.platform = answeredTable{o.Platform, func() { n.locked(func(now time.Time) { n.platformAnsweredAt = now }) }}
	n.initOperatorInterface()
	n.lease = n.newCandidacy(set.DataCentre, seed)
	n.lease.onGained, n.lease.onLost = n.becomeCoordinator, n.stopCoordinating
	n.accounts = n.newCandidacy(accountsLease, seed)
	n.accounts.onGained, n.accounts.onLost = n.startAccountLedger, n.stopAccountLedger
	n.admissionState = newAdmissionState(n.shares, seed)
	for _, p := range set.Peers {
		n.gossip.Seed(p.VM, p.DataCentre, p.Address)
	}
	return n
}

// expiry returns how long a node counts as live without an update from it.
func (n *Node) expiry() time.Duration { return expiryIntervals * n.settings.Intervals.Exchange }

// orderTimeout bounds an order to an endpoint.
func orderTimeout(set settings.Settings) time.Duration {
	return set.Intervals.Lease / 4
}

// spawn runs f, which may do I/O, in a goroutine whose context ends when the
// node stops.
func (n *Node) spawn(f func(ctx context.Context)) {
	n.wg.Go(func() { f(n.ctx) })
}

// locked calls f with the current time while holding n.mu.
func (n *Node) locked(f func(now time.Time)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(time.Now())
}

// runEvery calls f immediately and then at each interval until the node stops.
func (n *Node) runEvery(interval time.Duration, f func(ctx context.Context)) {
	n.spawn(func(ctx context.Context) {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			f(ctx)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
}

// start starts the node's periodic work, which runs until the context ends.
func (n *Node) start(ctx context.Context) {
	n.ctx = ctx
	n.spawn(n.callers.Run)
	n.runEvery(n.settings.Intervals.Tick, func(context.Context) { n.locked(n.tick) })
	n.runEvery(n.settings.Intervals.Exchange, n.exchangeGossip)
	n.runEvery(n.settings.Intervals.Probe, func(context.Context) { n.locked(n.probeVMs) })
	n.runEvery(vmListInterval, n.readVMList)
	n.runEvery(sweepInterval, n.sweepClaims)
	n.runEvery(metricsInterval, func(context.Context) { n.locked(n.recordStateMetrics) })
}

// tick runs the timers of all state machines. n.mu must be held.
func (n *Node) tick(now time.Time) {
	n.stepConfig(now, config.Tick{})
	n.stepLease(now, n.lease, lease.Tick{})
	if n.isAccountsCandidate {
		n.stepLease(now, n.accounts, lease.Tick{})
	}
	if _, held := n.lease.Held(now); held {
		n.stepManager(now, group.Tick{})
	}
	n.tickLedgers(now)
	n.updateRoutes(now)
	n.routes.Step(now, route.Tick{})
	n.applyAdmissionEffects(now, n.admission.Tick(now))
	n.stepClaims(now, claim.Tick{})
	n.recordTickMetrics()
}

// recordTickMetrics updates the metrics of control traffic, of the memory of requests
// and of the configuration's number.
func (n *Node) recordTickMetrics() {
	telemetry.Gauge(n.registry, "control_peer_bytes").Update(n.control.Bytes())
	telemetry.Gauge(n.registry, "control_endpoint_bytes").Update(n.probes.Bytes() + n.orderCalls.Bytes())
	telemetry.Gauge(n.registry, "request_memory_bytes").Update(n.requestMemory.Used())
	telemetry.Gauge(n.registry, "configuration_number").Update(int64(n.config.Number()))
}
