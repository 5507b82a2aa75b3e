package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/budget"
)

// defaultSamples is the number of candidates that a decision compares.
const defaultSamples = 3

// Options configure a Table. The switches turn one mechanism off each; they
// exist for comparison.
type Options struct {
	Seed uint64
	// Samples is the number of candidates compared; 0 means 3.
	Samples int
	// RoundRobin chooses in turn, regardless of load.
	RoundRobin bool
	// IgnoreOwn judges load by lagging reports only.
	IgnoreOwn bool
	// IgnoreLatency treats stragglers like their peers.
	IgnoreLatency bool
	// IgnorePrefix makes no use of cached prefixes.
	IgnorePrefix bool
	// NoRamp sends full load to a data centre that has just returned.
	NoRamp bool
}

// Table holds every place to which this node can send requests.
type Table struct {
	opts    Options
	rng     *rand.Rand
	shares  *budget.Shares
	targets map[string]*target
	local   map[string]*candidate
	peers   map[string][]*candidate
	remotes map[string][]*candidate
	hints   hints
	turn    uint64
	steps   uint64

	avoided       avoidance
	avoidSequence uint64
}

// NewTable returns an empty table that dispatches within the shares. It
// registers itself as their watcher.
func NewTable(opts Options, shares *budget.Shares) *Table {
	if opts.Samples == 0 {
		opts.Samples = defaultSamples
	}
	t := &Table{
		opts:    opts,
		rng:     rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		shares:  shares,
		targets: map[string]*target{},
		local:   map[string]*candidate{},
		peers:   map[string][]*candidate{},
		remotes: map[string][]*candidate{},
	}
	shares.Watch(t.shareChanged)
	return t
}

// Free estimates how many more requests for the target can be placed now.
func (t *Table) Free(targetName string) int {
	if tg, ok := t.targets[targetName]; ok {
		return tg.free
	}
	return 0
}

// Known reports whether anything serves, or has lately served, the target.
func (t *Table) Known(targetName string) bool {
	tg, ok := t.targets[targetName]
	return ok && tg.known > 0
}

// Steps counts the candidates examined by all decisions so far.
func (t *Table) Steps() uint64 { return t.steps }

// Step takes in an event.
func (t *Table) Step(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case EndpointUpdated:
		t.updateEndpoint(now, ev.Endpoint)
	case EndpointRemoved:
		t.removeEndpoint(ev.Name)
	case LoadReported:
		t.loadReported(now, ev)
	case PeerReported:
		t.peerReported(ev)
	case PeerRemoved:
		t.removeAll(t.peers, ev.Node)
	case RemoteReported:
		t.remoteReported(ev)
	case RemoteRemoved:
		t.removeAll(t.remotes, ev.DataCentre)
	case FirstToken:
		t.firstToken(now, ev)
	case Completed:
		t.completed(now, ev)
	case Failed:
		t.failed(now, ev)
	case CacheEvent:
		t.cacheChanged(now, ev)
	case Tick:
		t.readmit(now)
	}
}

func (t *Table) target(name string) *target {
	tg, ok := t.targets[name]
	if !ok {
		tg = &target{name: name}
		t.targets[name] = tg
	}
	return tg
}

func (t *Table) add(c *candidate, targetName string) *candidate {
	c.target = t.target(targetName)
	c.target.known++
	c.position = notPooled
	return c
}

func (t *Table) remove(c *candidate) {
	c.serving = false
	c.setAvoided(false)
	c.refresh()
	c.target.known--
}

func (t *Table) removeAll(from map[string][]*candidate, name string) {
	for _, c := range from[name] {
		t.remove(c)
	}
	delete(from, name)
}

func (t *Table) updateEndpoint(now time.Time, e Endpoint) {
	c, ok := t.local[e.Name]
	if ok && (c.target.name != e.Target || c.tier != e.tier()) {
		t.removeEndpoint(e.Name)
		ok = false
	}
	if !ok {
		c = t.add(&candidate{tier: e.tier(), name: e.Name}, e.Target)
		t.local[e.Name] = c
	}
	c.generation = e.Generation
	c.serving = e.Serving
	t.seen(now, c, e.Incarnation)
	t.shareChanged(e.Name)
}

func (t *Table) removeEndpoint(name string) {
	if c, ok := t.local[name]; ok {
		t.remove(c)
		delete(t.local, name)
	}
}

// seen takes in the incarnation named in a report or an answer.
func (t *Table) seen(now time.Time, c *candidate, incarnation string) {
	if incarnation == "" {
		return
	}
	t.shares.Observe(now, c.name, incarnation)
	if c.incarnation == "" {
		c.incarnation = incarnation
	}
}

// shareChanged follows the node's share of an endpoint.
func (t *Table) shareChanged(endpoint string) {
	c, ok := t.local[endpoint]
	if !ok {
		return
	}
	s := t.shares.State(endpoint)
	if s.Incarnation != "" && s.Incarnation != c.incarnation {
		c.incarnation = s.Incarnation
		c.others = 0
		c.bears = 0
		c.latency = latency{}
		c.failures = 0
		c.setAvoided(false)
	}
	c.limit = s.Limit
	c.own = s.InFlight
	c.refresh()
}

func (t *Table) loadReported(now time.Time, r LoadReported) {
	c, ok := t.local[r.Endpoint]
	if !ok {
		return
	}
	t.seen(now, c, r.Incarnation)
	if r.Incarnation != c.incarnation {
		return
	}
	c.bears = r.Limit
	c.report(r.InFlight, t.opts.IgnoreOwn)
	c.refresh()
}

func (t *Table) peerReported(r PeerReported) {
	c := find(t.peers[r.Node], r.Target)
	if c == nil {
		c = t.add(&candidate{tier: peer, name: r.Node, node: r.Node}, r.Target)
		t.peers[r.Node] = append(t.peers[r.Node], c)
	}
	c.serving = true
	c.limit = r.Limit
	c.report(r.InFlight, t.opts.IgnoreOwn)
	c.refresh()
}

func (t *Table) remoteReported(r RemoteReported) {
	c := find(t.remotes[r.DataCentre], r.Target)
	if c == nil {
		c = t.add(&candidate{tier: remote, name: r.DataCentre}, r.Target)
		c.ramp.restart(t.opts.NoRamp)
		t.remotes[r.DataCentre] = append(t.remotes[r.DataCentre], c)
	}
	c.serving = true
	c.node = r.Node
	c.limit = r.Limit
	c.report(r.InFlight, t.opts.IgnoreOwn)
	c.refresh()
}

// find returns the candidate of a node or data centre for a target.
func find(of []*candidate, targetName string) *candidate {
	i := slices.IndexFunc(of, func(c *candidate) bool { return c.target.name == targetName })
	if i < 0 {
		return nil
	}
	return of[i]
}

func (t *Table) cacheChanged(now time.Time, ev CacheEvent) {
	c, ok := t.local[ev.Endpoint]
	if !ok || ev.Incarnation != c.incarnation {
		return
	}
	if ev.Cleared {
		c.cleared = now
	}
	for _, block := range ev.Removed {
		t.hints.drop(block, c)
	}
	for _, block := range ev.Stored {
		t.hints.store(now, block, c)
	}
}
