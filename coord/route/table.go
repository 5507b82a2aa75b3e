package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/budget"
)

// defaultSamples is the number of candidates that a decision compares.
const defaultSamples = 3

// Options configures a Table. Each switch turns one mechanism off; the switches
// exist for comparison.
type Options struct {
	Seed uint64
	// Samples is the number of candidates compared; 0 means 3.
	Samples int
	// RoundRobin chooses in turn, regardless of load.
	RoundRobin bool
	// IgnoreOwn estimates load from delayed reports only.
	IgnoreOwn bool
	// IgnoreLatency treats stragglers like other endpoints.
	IgnoreLatency bool
	// IgnorePrefix does not prefer endpoints with a cached prefix.
	IgnorePrefix bool
	// NoRamp does not limit the load on a data centre that has just returned.
	NoRamp bool
}

// Table holds the endpoints, nodes and data centres to which this node can send
// requests.
type Table struct {
	opts      Options
	rng       *rand.Rand
	shares    *budget.Shares
	targets   map[string]*target
	endpoints map[string]*candidate   // by name
	peers     map[string][]*candidate // by node
	remotes   map[string][]*candidate // by data centre
	hints     hints
	turn      uint64 // position in round-robin order
	steps     uint64 // number of candidates examined

	avoided       avoidQueue
	avoidSequence uint64
}

// NewTable returns an empty table that dispatches within the given shares. The
// table registers itself as their watcher.
func NewTable(opts Options, shares *budget.Shares) *Table {
	if opts.Samples == 0 {
		opts.Samples = defaultSamples
	}
	t := &Table{
		opts:      opts,
		rng:       rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		shares:    shares,
		targets:   map[string]*target{},
		endpoints: map[string]*candidate{},
		peers:     map[string][]*candidate{},
		remotes:   map[string][]*candidate{},
	}
	shares.Watch(t.updateShare)
	return t
}

// Free estimates how many more requests for the target can be placed now.
func (t *Table) Free(targetName string) int {
	if tg, ok := t.targets[targetName]; ok {
		return tg.free
	}
	return 0
}

// Steps counts the candidates examined by all decisions so far.
func (t *Table) Steps() uint64 { return t.steps }

// Step applies an event to the table.
func (t *Table) Step(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case EndpointUpdated:
		t.updateEndpoint(now, ev.Endpoint)
	case EndpointRemoved:
		t.removeEndpoint(ev.Name)
	case LoadReported:
		t.handleLoadReport(now, ev)
	case PeerReported:
		t.handlePeerReport(ev)
	case PeerRemoved:
		t.removeAll(t.peers, ev.Node)
	case RemoteReported:
		t.handleRemoteReport(ev)
	case RemoteRemoved:
		t.removeAll(t.remotes, ev.DataCentre)
	case FirstToken:
		t.handleFirstToken(now, ev)
	case Completed:
		t.handleCompleted(now, ev)
	case Failed:
		t.handleFailed(now, ev)
	case CacheEvent:
		t.handleCacheEvent(now, ev)
	case Tick:
		t.readmit(now)
	}
}

// target returns the named target and creates it if it is new.
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
	c.target.total++
	c.poolIndex = notPooled
	return c
}

func (t *Table) remove(c *candidate) {
	c.serving = false
	c.setAvoided(false)
	c.refresh()
	c.target.total--
}

func (t *Table) removeAll(from map[string][]*candidate, name string) {
	for _, c := range from[name] {
		t.remove(c)
	}
	delete(from, name)
}

func (t *Table) updateEndpoint(now time.Time, e Endpoint) {
	c, ok := t.endpoints[e.Name]
	if ok && (c.target.name != e.Target || c.tier != e.tier()) {
		t.removeEndpoint(e.Name)
		ok = false
	}
	if !ok {
		c = t.add(&candidate{tier: e.tier(), name: e.Name}, e.Target)
		t.endpoints[e.Name] = c
	}
	c.generation = e.Generation
	c.serving = e.Serving
	t.observeIncarnation(now, c, e.Incarnation)
	t.updateShare(e.Name)
}

func (t *Table) removeEndpoint(name string) {
	if c, ok := t.endpoints[name]; ok {
		t.remove(c)
		delete(t.endpoints, name)
	}
}

// observeIncarnation records the incarnation named in a report or an answer.
func (t *Table) observeIncarnation(now time.Time, c *candidate, incarnation string) {
	if incarnation == "" {
		return
	}
	t.shares.Observe(now, c.name, incarnation)
	if c.incarnation == "" {
		c.incarnation = incarnation
	}
}

// updateShare applies a change of this node's share of an endpoint. If the
// incarnation has changed, state of the earlier one is reset.
func (t *Table) updateShare(endpoint string) {
	c, ok := t.endpoints[endpoint]
	if !ok {
		return
	}
	s := t.shares.State(endpoint)
	if s.Incarnation != "" && s.Incarnation != c.incarnation {
		c.incarnation = s.Incarnation
		c.othersInFlight = 0
		c.capacity = 0
		c.latency = latency{}
		c.tokenLatency = 0
		c.failures = 0
		c.setAvoided(false)
	}
	c.limit = s.Limit
	c.ownInFlight = s.InFlight
	c.refresh()
}

func (t *Table) handleLoadReport(now time.Time, r LoadReported) {
	c, ok := t.endpoints[r.Endpoint]
	if !ok {
		return
	}
	t.observeIncarnation(now, c, r.Incarnation)
	if r.Incarnation != c.incarnation {
		return
	}
	c.capacity = r.Limit
	if c.tokenLatency = r.StepLatency; c.tokenLatency > 0 {
		c.target.tokenLatency.add(c.tokenLatency)
	}
	c.setInFlight(r.InFlight, t.opts.IgnoreOwn)
	c.refresh()
}

func (t *Table) handlePeerReport(r PeerReported) {
	c := findTarget(t.peers[r.Node], r.Target)
	if c == nil {
		c = t.add(&candidate{tier: peer, name: r.Node, node: r.Node}, r.Target)
		t.peers[r.Node] = append(t.peers[r.Node], c)
	}
	c.serving = true
	c.limit = r.Limit
	c.setInFlight(r.InFlight, t.opts.IgnoreOwn)
	c.refresh()
}

func (t *Table) handleRemoteReport(r RemoteReported) {
	c := findTarget(t.remotes[r.DataCentre], r.Target)
	if c == nil {
		c = t.add(&candidate{tier: remote, name: r.DataCentre}, r.Target)
		c.ramp.reset(t.opts.NoRamp)
		t.remotes[r.DataCentre] = append(t.remotes[r.DataCentre], c)
	}
	c.serving = true
	c.node = r.Node
	c.limit = r.Limit
	c.setInFlight(r.InFlight, t.opts.IgnoreOwn)
	c.refresh()
}

// findTarget returns the candidate for a target among those of a node or data
// centre, or nil.
func findTarget(candidates []*candidate, targetName string) *candidate {
	i := slices.IndexFunc(candidates, func(c *candidate) bool { return c.target.name == targetName })
	if i < 0 {
		return nil
	}
	return candidates[i]
}

func (t *Table) handleCacheEvent(now time.Time, ev CacheEvent) {
	c, ok := t.endpoints[ev.Endpoint]
	if !ok || ev.Incarnation != c.incarnation {
		return
	}
	if ev.Cleared {
		c.clearedAt = now
	}
	for _, block := range ev.Removed {
		t.hints.remove(block, c)
	}
	for _, block := range ev.Stored {
		t.hints.store(now, block, c)
	}
}
