// Package daemon runs one entry VM: it feeds the state machines of coord with
// what the node observes and carries out their effects.
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
	"github.com/pimentoshore/pimentoshore/internal/endpoint"
	"github.com/pimentoshore/pimentoshore/internal/peers"
	"github.com/pimentoshore/pimentoshore/internal/platform"
	"github.com/pimentoshore/pimentoshore/internal/settings"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
	"github.com/pimentoshore/pimentoshore/internal/tlsconf"
	"github.com/pimentoshore/pimentoshore/internal/transport"
)

const (
	// fanout is the number of nodes of the own data centre, and remoteFanout
	// of nodes elsewhere, that each exchange pulls from.
	fanout       = 2
	remoteFanout = 1
	// expiryIntervals is the number of exchanges without news of a node
	// after which it no longer counts as live.
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

	// wrap, if set, stands between the node and its connections.
	wrap func(http.RoundTripper) http.RoundTripper
}

// transport applies wrap to a client.
func (o *Options) transport(c *transport.Client) *transport.Client {
	if o.wrap != nil {
		c.Transport = o.wrap(c.Transport)
	}
	return c
}

// Node is one entry VM's process.
type Node struct {
	set         settings.Settings
	incarnation string
	log         *slog.Logger
	registry    metrics.Registry
	tracer      trace.Tracer
	platform    platform.Table
	endpoints   *endpoint.Client
	forwards    *endpoint.Client
	control     *transport.Client // peers' control messages
	probes      *transport.Client // reports and orders
	prober      *endpoint.Client
	peers       *peers.Client
	tls         *tlsconf.Store // nil means plain TCP
	requests    *requestRing
	stopAsked   chan struct{} // closed once an operator asks for a shutdown
	askStop     func()

	ctx context.Context
	wg  sync.WaitGroup

	// mu guards everything below. It is never held during I/O.
	mu     sync.Mutex
	config *config.State
	index  index
	gossip *gossip.Table
	groups groupView
	shares *budget.Shares
	coordination
	sightings
	admissions
	keyedCalls
	started  time.Time
	stopping bool
	// platformSeen is when the platform last answered.
	platformSeen time.Time
	digests      map[string]config.Digest
}

// New returns a node that does nothing until Run.
func New(o Options) *Node {
	set := o.Settings
	incarnation := strconv.FormatUint(rand.Uint64(), 36)
	seed := rand.Uint64()
	control := o.transport(newControlTransport(o.TLS))
	probes := o.transport(transport.New(nil))
	n := &Node{
		set: set, incarnation: incarnation,
		log: o.Logger, registry: o.Registry, tracer: o.Tracer, platform: o.Platform,
		endpoints: endpoint.NewClient(o.transport(transport.New(nil))),
		forwards:  endpoint.NewClient(o.transport(newPeerTransport(o.TLS))),
		tls:       o.TLS,
		control:   control,
		probes:    probes,
		prober:    endpoint.NewClient(probes),
		peers:     peers.NewClient(set.VM, set.DataCentre, control),
		config:    config.New(config.Options{VM: set.VM, Seed: seed, PollInterval: set.Intervals.ConfigPoll}),
		gossip: gossip.New(gossip.Options{
			VM: set.VM, DataCentre: set.DataCentre, Address: set.Listen.Peers, Incarnation: incarnation,
			Seed: seed, Fanout: fanout, Remote: remoteFanout, Expiry: expiryIntervals * set.Intervals.Exchange,
		}),
		shares:       budget.NewShares(set.VM, incarnation),
		coordination: newCoordination(set),
		sightings:    newSightings(set, incarnation),
		keyedCalls:   newKeyedCalls(set.VM, incarnation),
		started:      time.Now(),
		digests:      map[string]config.Digest{},
	}
	n.initOperate()
	n.lease = n.newCandidacy(set.DataCentre, seed)
	n.lease.won, n.lease.lost = n.becomeCoordinator, n.stopCoordinating
	n.accounts = n.newCandidacy(accountsLease, seed)
	n.accounts.won, n.accounts.lost = n.divideAccounts, n.stopDividingAccounts
	n.admissions = newAdmissions(n.shares, seed)
	for _, p := range set.Peers {
		n.gossip.Seed(p.VM, p.DataCentre, p.Address)
	}
	return n
}

// expiry is how long a node stays live without news of it.
func (n *Node) expiry() time.Duration { return expiryIntervals * n.set.Intervals.Exchange }

// orderTimeout bounds an order to an endpoint.
func orderTimeout(set settings.Settings) time.Duration {
	return set.Intervals.Lease / 4
}

// spawn runs I/O apart from the state machines until the node stops.
func (n *Node) spawn(f func(ctx context.Context)) {
	n.wg.Go(func() { f(n.ctx) })
}

// locked runs f with the lock held and the current time.
func (n *Node) locked(f func(now time.Time)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(time.Now())
}

// every calls f at an interval until the node stops.
func (n *Node) every(interval time.Duration, f func(ctx context.Context)) {
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

// start begins the node's periodic work. The context ends it.
func (n *Node) start(ctx context.Context) {
	n.ctx = ctx
	n.every(n.set.Intervals.Tick, func(context.Context) { n.locked(n.tick) })
	n.every(n.set.Intervals.Exchange, n.exchange)
	n.every(n.set.Intervals.Probe, func(context.Context) { n.locked(n.probe) })
	n.every(vmListInterval, n.readVMList)
	n.every(sweepInterval, n.sweep)
	n.every(metricsInterval, func(context.Context) { n.locked(n.recordState) })
}

// tick runs the timers of every state machine.
func (n *Node) tick(now time.Time) {
	n.stepConfig(now, config.Tick{})
	n.stepLease(now, n.lease, lease.Tick{})
	if n.accountsCandidate {
		n.stepLease(now, n.accounts, lease.Tick{})
	}
	if _, held := n.lease.Held(now); held {
		n.stepManager(now, group.Tick{})
	}
	n.tickLedgers(now)
	n.refreshEndpoints(now)
	n.routes.Step(now, route.Tick{})
	n.settle(now, n.admission.Tick(now))
	n.stepClaims(now, claim.Tick{})
	n.recordControl()
}

// recordControl publishes what control traffic has cost so far.
func (n *Node) recordControl() {
	telemetry.Gauge(n.registry, "control_peer_bytes").Update(n.control.Bytes())
	telemetry.Gauge(n.registry, "control_endpoint_bytes").Update(n.probes.Bytes())
	telemetry.Gauge(n.registry, "configuration_number").Update(int64(n.config.Number()))
}
