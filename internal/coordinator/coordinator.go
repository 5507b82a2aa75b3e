// Package coordinator makes the decisions that one entry VM makes for all entry
// VMs. Each one is a candidate for the lease; the lease holder plans the groups
// of each service and sends orders to endpoint VMs.
package coordinator

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
	"github.com/pimentoshore/pimentoshore/coord/lease"
	"github.com/pimentoshore/pimentoshore/coord/replica"
	"github.com/pimentoshore/pimentoshore/coord/updates"
	"github.com/pimentoshore/pimentoshore/internal/entry"
	"github.com/pimentoshore/pimentoshore/internal/leasestore"
	"github.com/pimentoshore/pimentoshore/internal/platform"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// Orderer sends orders to endpoint VMs.
type Orderer interface {
	// Order sends an order and returns its outcome, with an error if the order
	// was refused or its outcome is unknown.
	Order(ctx context.Context, o replica.Order) (replica.Outcome, error)
}

// Peers receives the list of entry VMs.
type Peers interface {
	Set(nodes []updates.Node)
}

// Options configure a Coordinator.
type Options struct {
	Lease   lease.Options
	Replica replica.Options
	// FollowDemand returns whether the planning of a service follows the demand.
	// nil means never.
	FollowDemand func(c *catalog.Catalog, service string) bool
	// OrderTimeout limits the time from sending an order to its response.
	OrderTimeout time.Duration
	// ProbeInterval is the minimum interval between the lease holder's probes
	// of a VM, MemberProbeInterval the minimum for members of serving groups,
	// and FastProbeInterval the interval for VMs with urgent probes.
	// ProbesPerSecond limits the probes of all VMs, as far as they can be
	// delayed.
	ProbeInterval, FastProbeInterval, MemberProbeInterval time.Duration
	ProbesPerSecond                                       int
	// Spread returns whether other nodes answer, and this node's role among them. If
	// it is nil, none do.
	Spread  func() updates.Spread
	Log     *slog.Logger
	Metrics metrics.Registry
	Now     func() time.Time
}

// Coordinator is a candidate for the lease, and plans groups while it holds it.
type Coordinator struct {
	opts   Options
	table  platform.Table
	state  *entry.State
	orders Orderer
	prober *entry.Prober
	peers  Peers

	mu           sync.Mutex
	leaseMachine *lease.Machine
	peerRow      *updates.Lease // received from a peer since the last tick, or nil
	rowRequested bool           // by a peer since the last tick
	term         uint64         // of the held lease, or 0
	epochs       *replica.Epochs
	planners     map[string]*replica.Planner
	loggedPhases map[uint64]replica.Phase // last logged phases by epoch
	lastSummary  time.Time
	tasks        sync.WaitGroup
}

// summaryInterval is the interval between log lines with the numbers of VMs.
const summaryInterval = 4 * time.Second

// New returns a coordinator that is idle until Tick is called.
func New(opts Options, table platform.Table, state *entry.State, orders Orderer, prober *entry.Prober, peers Peers) *Coordinator {
	return &Coordinator{
		opts: opts, table: table, state: state, orders: orders, prober: prober, peers: peers,
		leaseMachine: lease.New(opts.Lease), loggedPhases: make(map[uint64]replica.Phase),
	}
}

// Tick advances the lease and, if it is held, the planners.
func (c *Coordinator) Tick(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.opts.Spread != nil {
		if s := c.opts.Spread(); s.IsActive() {
			c.step(ctx, lease.PeersAnswer{Reader: s.Role == updates.RoleReader || !s.Fresh && c.state.ReadsPlatform()})
		}
	}
	if c.peerRow != nil {
		c.step(ctx, lease.RowRelayed{Era: c.peerRow.Era, Row: c.peerRow.Row, Revision: c.peerRow.Revision})
		c.peerRow = nil
	}
	if c.rowRequested {
		c.step(ctx, lease.RowRequested{})
		c.rowRequested = false
	}
	c.step(ctx, lease.Tick{})
	if c.term == 0 {
		return
	}
	c.plan(ctx)
}

// Stop releases the lease, so that another candidate can acquire it at once. This
// node stays registered until Leave.
func (c *Coordinator) Stop(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.step(ctx, lease.Stop{KeepRegistered: true})
}

// Leave begins to remove this node from the registered ones, once it no longer
// serves. Later calls of Tick complete it.
func (c *Coordinator) Leave(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.step(ctx, lease.Stop{})
}

// HasLeft reports whether this node has released the lease and is no longer
// registered.
func (c *Coordinator) HasLeft() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaseMachine.HasHandedOver()
}

// Wait waits until the calls to the table and to endpoint VMs have ended. It must
// be called after the last Tick; the calls end soon after the context of Tick does.
func (c *Coordinator) Wait() { c.tasks.Wait() }

// step passes an event to the lease state machine and executes its effects. c.mu
// must be held.
func (c *Coordinator) step(ctx context.Context, ev lease.Event) {
	for _, effect := range c.leaseMachine.Step(c.opts.Now(), ev) {
		c.execute(ctx, effect)
	}
}

// execute executes an effect of the lease state machine. c.mu must be held.
func (c *Coordinator) execute(ctx context.Context, effect lease.Effect) {
	switch e := effect.(type) {
	case lease.ReadRows:
		c.runAsync(func() { c.readLease(ctx, e) })
	case lease.WriteRow:
		c.runAsync(func() { c.handleEvent(ctx, leasestore.Write(ctx, c.table, e)) })
	case lease.RegisterCandidate:
		c.runAsync(func() { c.logFailure("registering as a candidate", leasestore.Register(ctx, c.table, e)) })
	case lease.RemoveCandidate:
		c.runAsync(func() { c.logFailure("removing a candidate", leasestore.Remove(ctx, c.table, e)) })
	case lease.BecameHolder:
		c.opts.Log.Info("lease won", "term", e.Grant.Term)
		c.term = e.Grant.Term
		c.planners = make(map[string]*replica.Planner)
		if c.epochs == nil || c.epochs.Term() != c.term {
			c.epochs = replica.NewEpochs(c.term)
		}
	case lease.LostLease:
		c.opts.Log.Warn("lease lost", "term", e.Term, "reason", string(e.Reason))
		for service := range c.planners {
			c.setActivityGauges(service, nil)
			c.clearShareGauges(service, c.planners[service])
		}
		c.term, c.planners = 0, nil
		c.setGroupGauges(0, 0)
		c.prober.SetIntervals(nil)
	}
}

// runAsync runs f in a goroutine.
func (c *Coordinator) runAsync(f func()) {
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		f()
	}()
}

// logFailure logs err unless it is nil.
func (c *Coordinator) logFailure(what string, err error) {
	if err != nil {
		c.opts.Log.Info(what+" failed", "error", err)
	}
}

// handleEvent locks c.mu and passes an event to the lease state machine.
func (c *Coordinator) handleEvent(ctx context.Context, ev lease.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.step(ctx, ev)
}

// readLease reads the lease rows and passes the result to the lease state
// machine.
func (c *Coordinator) readLease(ctx context.Context, e lease.ReadRows) {
	ev, err := leasestore.Read(ctx, c.table, e, func(key string, err error) {
		c.opts.Log.Warn("registration skipped", "key", key, "error", err)
	})
	if err != nil {
		c.logFailure("reading the lease", err)
		c.handleEvent(ctx, lease.ReadFailed{Read: e.ID})
		return
	}
	if ev.Row != nil {
		c.updateNodes(ev.Row.Candidates)
	}
	c.handleEvent(ctx, ev)
}

// Row returns the latest lease row that this node has, and its revision, whose
// version is 0 if there is no row.
func (c *Coordinator) Row() (lease.Row, updates.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	row, version := c.leaseMachine.Row()
	return row, updates.Revision{Era: c.leaseMachine.Era(), Version: version}
}

// MarkRowRequested records that a peer requested the lease row and so relies on
// this node's reads of it.
func (c *Coordinator) MarkRowRequested() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rowRequested = true
}

// ObserveRow records a lease row that a peer has read. The lease state machine
// processes it at the next tick.
func (c *Coordinator) ObserveRow(l updates.Lease) {
	c.updateNodes(l.Row.Candidates)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerRow = &l
}

// updateNodes updates the list of entry VMs and this node's rank among them.
func (c *Coordinator) updateNodes(candidates []lease.Candidate) {
	rank := slices.IndexFunc(candidates, func(l lease.Candidate) bool { return l.VM == c.opts.Lease.VM })
	if rank < 0 {
		rank = len(candidates)
	}
	c.state.Locked(func(k entry.LockedState) {
		nodes := max(1, len(candidates)) // this one counts also while it isn't listed
		if before := k.Targets.SetNodes(k.Now, nodes, rank); before != nodes {
			c.opts.Log.Info("entry VMs counted", "nodes", nodes, "before", before, "rank", rank)
		}
	})
	c.peers.Set(candidateNodes(candidates))
}

// candidateNodes returns the nodes of the lease candidates.
func candidateNodes(candidates []lease.Candidate) []updates.Node {
	var out []updates.Node
	for _, c := range candidates {
		out = append(out, updates.Node{VM: c.VM, DataCentre: c.Place, Address: c.Address})
	}
	return out
}

// plan runs the planners, sends their orders and requests probes. c.mu must be
// held.
func (c *Coordinator) plan(ctx context.Context) {
	now := c.opts.Now()
	if !c.leaseMachine.MayOrder(now, c.opts.OrderTimeout) {
		return
	}
	priorities := make(map[string]replica.ProbePriority)
	c.state.Locked(func(k entry.LockedState) {
		if k.Catalog == nil || !k.Listed {
			return
		}
		summaryDue := now.Sub(c.lastSummary) >= summaryInterval
		if summaryDue {
			c.lastSummary = now
		}
		var groups []*replica.Group
		for _, svc := range k.Catalog.Engines() {
			p := c.plannerFor(svc.Name, k)
			p.Configure(svc.Engine, k.Evacuated)
			c.followDemand(p, svc, k)
			if c.state.Traffic() > 0 {
				p.SetTrafficStarted()
			}
			for _, o := range p.Tick(now) {
				c.runAsync(func() { c.sendOrder(ctx, p, o) })
			}
			c.reportShares(now, svc.Name, p)
			groups = append(groups, p.Groups()...)
			if summaryDue {
				c.summarise(now, svc.Name, p)
			}
			for _, vm := range k.VMs.All() {
				if vm.Engine && vm.Service == svc.Name && shouldProbe(now, vm) {
					priorities[vm.ID] = p.ProbePriority(now, vm.ID)
				}
			}
		}
		c.logGroups(groups)
		serving := countServingGroups(groups)
		c.setGroupGauges(serving, len(groups)-serving)
	})
	c.prober.SetIntervals(c.probeIntervals(priorities))
}

// shouldProbe reports whether a VM is probed. A VM that is no longer listed and
// doesn't respond is only probed for replica.UnlistedProbed.
func shouldProbe(now time.Time, vm *fleet.VM) bool {
	return vm.Listed || vm.FailedProbes == 0 || now.Sub(vm.ListedAt) < replica.UnlistedProbed
}

// probeIntervals returns the probe interval of each VM. Except for urgent probes,
// intervals grow with the number of VMs, and are longest for members of serving
// groups.
func (c *Coordinator) probeIntervals(priorities map[string]replica.ProbePriority) map[string]time.Duration {
	regular := 0
	for _, priority := range priorities {
		if priority == replica.Regular {
			regular++
		}
	}
	intervals := make(map[string]time.Duration, len(priorities))
	for id, priority := range priorities {
		switch priority {
		case replica.Urgent:
			intervals[id] = c.opts.FastProbeInterval
		case replica.Regular:
			intervals[id] = min(c.intervalFor(regular), maxProbeInterval)
		default:
			intervals[id] = min(max(c.intervalFor(len(priorities)), c.opts.MemberProbeInterval), maxMemberProbeInterval)
		}
	}
	return intervals
}

// intervalFor returns the interval at which each of n VMs can be probed within
// ProbesPerSecond, and at least ProbeInterval.
func (c *Coordinator) intervalFor(n int) time.Duration {
	return max(entry.Interval(n, c.opts.ProbesPerSecond), c.opts.ProbeInterval)
}

// maxProbeInterval must be less than the maximum age of a report at which a
// planner lets a VM join a group.
const maxProbeInterval = 1200 * time.Millisecond

// maxMemberProbeInterval limits the interval between probes of a member of a
// serving group, and so the time until the loss of a member is detected in a
// group without requests.
const maxMemberProbeInterval = 3 * time.Second

// plannerFor returns the planner of a service, and creates it if needed.
func (c *Coordinator) plannerFor(service string, k entry.LockedState) *replica.Planner {
	p := c.planners[service]
	if p == nil {
		opts := c.opts.Replica
		opts.Service, opts.Epochs = service, c.epochs
		p = replica.New(opts, k.VMs)
		c.planners[service] = p
	}
	return p
}

// sendOrder sends an order and passes the outcome to its planner.
func (c *Coordinator) sendOrder(ctx context.Context, p *replica.Planner, o replica.Order) {
	orderCtx, cancel := context.WithTimeout(ctx, c.opts.OrderTimeout)
	defer cancel()
	outcome, err := c.orders.Order(orderCtx, o)
	level := slog.LevelInfo
	if err != nil {
		level = slog.LevelWarn
	}
	c.opts.Log.Log(ctx, level, "order", "action", string(o.Action), "endpoint", o.VM, "group", o.Group, "epoch", o.Epoch,
		"model", o.Model, "expected", o.Expected, "outcome", outcome.String(), "error", err)
	telemetry.Counter(c.opts.Metrics, "orders_total", "action", string(o.Action), "outcome", outcome.String()).Inc(1)
	var paused *fleet.PausedError
	errors.As(err, &paused)
	c.state.Locked(func(k entry.LockedState) {
		p.RecordOutcome(k.Now, o.ID, o.VM, outcome)
		if paused != nil {
			p.PauseOrders(k.Now, o.VM, paused.For)
		}
	})
}
