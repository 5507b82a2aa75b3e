// Package coordinator runs the decisions that one entry VM takes for all: it
// is a candidate for the lease and, while it holds it, plans the groups of
// each service and sends the orders.
package coordinator

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
	"github.com/pimentoshore/pimentoshore/coord/lease"
	"github.com/pimentoshore/pimentoshore/coord/news"
	"github.com/pimentoshore/pimentoshore/coord/replica"
	"github.com/pimentoshore/pimentoshore/internal/entry"
	"github.com/pimentoshore/pimentoshore/internal/leasestore"
	"github.com/pimentoshore/pimentoshore/internal/platform"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// Orderer sends orders to endpoint VMs.
type Orderer interface {
	// Order sends an order. The error says why its outcome isn't Accepted.
	Order(ctx context.Context, o replica.Order) (replica.Outcome, error)
}

// Peers is told which entry VMs there are.
type Peers interface {
	Set(nodes []news.Node)
}

// Options set up a Coordinator.
type Options struct {
	Lease   lease.Options
	Replica replica.Options
	// OrderTimeout bounds an order from sending to answer.
	OrderTimeout time.Duration
	// ProbeEvery is the least interval between probes of a VM by the holder,
	// FastEvery that of VMs whose reports are awaited, and MemberEvery the least
	// of members of groups that serve. ProbesPerSecond bounds the probes over
	// all VMs, as far as they may be put off.
	ProbeEvery, FastEvery, MemberEvery time.Duration
	ProbesPerSecond                    int
	Log                                *slog.Logger
	Metrics                            metrics.Registry
	Now                                func() time.Time
}

// Coordinator is a candidate for the lease, and the planner while it holds it.
type Coordinator struct {
	opts   Options
	table  platform.Table
	state  *entry.State
	orders Orderer
	prober *entry.Prober
	peers  Peers

	mu       sync.Mutex
	machine  *lease.Machine
	seen     *news.Lease // told by another node since the last tick
	asked    bool        // by another node since the last tick
	term     uint64      // of the lease held, or 0
	epochs   *replica.Epochs
	planners map[string]*replica.Planner
	phases   map[uint64]replica.Phase // by epoch, as last logged
	summed   time.Time
	running  sync.WaitGroup
}

// summaryEvery is the time between two log lines that count the VMs.
const summaryEvery = 4 * time.Second

// New returns a coordinator that does nothing until it is ticked.
func New(opts Options, table platform.Table, state *entry.State, orders Orderer, prober *entry.Prober, peers Peers) *Coordinator {
	return &Coordinator{
		opts: opts, table: table, state: state, orders: orders, prober: prober, peers: peers,
		machine: lease.New(opts.Lease), phases: make(map[uint64]replica.Phase),
	}
}

// Tick lets the lease and the planners act.
func (c *Coordinator) Tick(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen != nil {
		c.step(ctx, lease.RowRelayed{Row: c.seen.Row, Revision: c.seen.Revision})
		c.seen = nil
	}
	if c.asked {
		c.step(ctx, lease.RowRequested{})
		c.asked = false
	}
	c.step(ctx, lease.Tick{})
	if c.term == 0 {
		return
	}
	c.plan(ctx)
}

// Stop gives the lease up, so that another candidate takes it at once.
func (c *Coordinator) Stop(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.step(ctx, lease.Stop{})
}

// step feeds the lease. mu is held.
func (c *Coordinator) step(ctx context.Context, ev lease.Event) {
	for _, effect := range c.machine.Step(c.opts.Now(), ev) {
		c.run(ctx, effect)
	}
}

// run carries an effect of the lease out. mu is held.
func (c *Coordinator) run(ctx context.Context, effect lease.Effect) {
	switch e := effect.(type) {
	case lease.ReadRows:
		c.async(func() { c.read(ctx, e) })
	case lease.WriteRow:
		c.async(func() { c.answer(ctx, leasestore.Write(ctx, c.table, e)) })
	case lease.RegisterCandidate:
		c.async(func() { c.logFailure("registering as a candidate", leasestore.Register(ctx, c.table, e)) })
	case lease.RemoveCandidate:
		c.async(func() { c.logFailure("removing a candidate", leasestore.Remove(ctx, c.table, e)) })
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
			c.countActivities(service, nil)
		}
		c.term, c.planners = 0, nil
		c.countGroups(0, 0)
		c.prober.SetIntervals(nil)
	}
}

func (c *Coordinator) async(f func()) {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		f()
	}()
}

func (c *Coordinator) logFailure(what string, err error) {
	if err != nil {
		c.opts.Log.Info(what+" failed", "error", err)
	}
}

func (c *Coordinator) answer(ctx context.Context, ev lease.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.step(ctx, ev)
}

func (c *Coordinator) read(ctx context.Context, e lease.ReadRows) {
	ev, err := leasestore.Read(ctx, c.table, e)
	if err != nil {
		c.logFailure("reading the lease", err)
		c.answer(ctx, lease.ReadFailed{Read: e.ID})
		return
	}
	if ev.Row != nil {
		c.know(ev.Row.Candidates)
	}
	c.answer(ctx, ev)
}

// Row returns the lease row as this node knows it, and its revision, 0 if
// there is none.
func (c *Coordinator) Row() (lease.Row, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Row()
}

// Asked notes that another node relies on what this one reads of the lease.
func (c *Coordinator) Asked() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = true
}

// Seen takes in a lease row that another node has read. Effects follow with
// the next tick.
func (c *Coordinator) Seen(l news.Lease) {
	c.know(l.Row.Candidates)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen = &l
}

// know takes in which entry VMs there are.
func (c *Coordinator) know(candidates []lease.Candidate) {
	rank := slices.IndexFunc(candidates, func(l lease.Candidate) bool { return l.VM == c.opts.Lease.VM })
	if rank < 0 {
		rank = len(candidates)
	}
	c.state.Locked(func(k entry.LockedState) { k.Targets.SetNodes(len(candidates), rank) })
	c.peers.Set(nodes(candidates))
}

func nodes(candidates []lease.Candidate) []news.Node {
	var out []news.Node
	for _, c := range candidates {
		out = append(out, news.Node{VM: c.VM, DataCentre: c.Place, Address: c.Address})
	}
	return out
}

// plan runs the planners and sends their orders. mu is held.
func (c *Coordinator) plan(ctx context.Context) {
	now := c.opts.Now()
	serving, others := 0, 0
	defer func() { c.countGroups(serving, others) }()
	if !c.machine.MayOrder(now, c.opts.OrderTimeout) {
		return
	}
	watched := make(map[string]replica.ProbePriority)
	c.state.Locked(func(k entry.LockedState) {
		if k.Catalog == nil || !k.Listed {
			return
		}
		for _, svc := range k.Catalog.Engines() {
			p := c.planner(svc.Name, k)
			p.Configure(svc.Engine, k.Evacuated)
			if c.state.Traffic() > 0 {
				p.SetTrafficStarted()
			}
			for _, o := range p.Tick(now) {
				c.async(func() { c.order(ctx, p, o) })
			}
			c.logGroups(p)
			whole, all := countServing(p.Groups())
			serving, others = serving+whole, others+all-whole
			if now.Sub(c.summed) >= summaryEvery {
				c.summed = now
				activities := p.Activities(now)
				c.countActivities(svc.Name, activities)
				c.opts.Log.Info("VMs", "service", svc.Name, "activities", activities, "domains", p.Summary(now), "use", p.SlotUse())
			}
			for _, vm := range k.VMs.All() {
				if vm.Engine && vm.Service == svc.Name && probed(now, vm) {
					watched[vm.ID] = p.ProbePriority(now, vm.ID)
				}
			}
		}
	})
	c.prober.SetIntervals(c.pace(watched))
}

// probed reports whether a VM of a service is to be probed.
func probed(now time.Time, vm *fleet.VM) bool {
	return vm.Listed || vm.FailedProbes == 0 || now.Sub(vm.ListedAt) < replica.UnlistedProbed
}

// pace returns how often each VM is to be probed: where there are many, each the
// less often, members of groups that serve least.
func (c *Coordinator) pace(watched map[string]replica.ProbePriority) map[string]time.Duration {
	regular := 0
	for _, a := range watched {
		if a == replica.Regular {
			regular++
		}
	}
	want := make(map[string]time.Duration, len(watched))
	for id, a := range watched {
		switch a {
		case replica.Urgent:
			want[id] = c.opts.FastEvery
		case replica.Regular:
			want[id] = min(c.spread(regular), probeMost)
		default:
			want[id] = min(max(c.spread(len(watched)), c.opts.MemberEvery), memberMost)
		}
	}
	return want
}

// spread returns the interval between probes of each of n VMs.
func (c *Coordinator) spread(n int) time.Duration {
	return max(entry.Interval(n, c.opts.ProbesPerSecond), c.opts.ProbeEvery)
}

// probeMost is less than the age of a report up to which a planner lets a VM
// join a group.
const probeMost = 1200 * time.Millisecond

// memberMost bounds the interval between probes of a member of a group that
// serves, and with it the time until the loss of one is seen at whose group
// there are no requests.
const memberMost = 3 * time.Second

// countServing returns how many groups serve, of how many.
func countServing(groups []*replica.Group) (serving, all int) {
	for _, g := range groups {
		if g.Phase == replica.Serving {
			serving++
		}
	}
	return serving, len(groups)
}

func (c *Coordinator) countGroups(serving, others int) {
	telemetry.Gauge(c.opts.Metrics, "whole_groups").Update(int64(serving))
	telemetry.Gauge(c.opts.Metrics, "broken_groups").Update(int64(others))
}

// countActivities publishes how many VMs of a service do what.
func (c *Coordinator) countActivities(service string, by map[replica.Activity]int) {
	for _, a := range replica.AllActivities {
		telemetry.Gauge(c.opts.Metrics, "endpoint_vms_number", "service", service, "activity", string(a)).Update(int64(by[a]))
	}
}

func (c *Coordinator) planner(service string, k entry.LockedState) *replica.Planner {
	p := c.planners[service]
	if p == nil {
		opts := c.opts.Replica
		opts.Service, opts.Epochs = service, c.epochs
		p = replica.New(opts, k.VMs)
		c.planners[service] = p
	}
	return p
}

// order sends one order and tells its planner the outcome.
func (c *Coordinator) order(ctx context.Context, p *replica.Planner, o replica.Order) {
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

// logGroups logs each change of a group's phase. mu is held.
func (c *Coordinator) logGroups(p *replica.Planner) {
	seen := make(map[uint64]bool)
	for _, g := range p.Groups() {
		seen[g.Epoch] = true
		if c.phases[g.Epoch] == g.Phase {
			continue
		}
		c.phases[g.Epoch] = g.Phase
		c.opts.Log.Info("group "+string(g.Phase), "group", g.Name, "epoch", g.Epoch, "model", g.Model,
			"members", g.Members, "reason", string(g.Reason), "lost", g.Lost, "for", g.For)
	}
	for epoch := range c.phases {
		if !seen[epoch] {
			delete(c.phases, epoch)
			c.opts.Log.Info("group gone", "epoch", epoch)
		}
	}
}
