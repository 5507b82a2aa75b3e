package budget

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// site is a ledger with nodes whose messages all arrive at once.
type site struct {
	ledger *Ledger
	nodes  map[string]*Shares
	order  []string
}

func newSite(opts LedgerOptions, nodes ...Node) *site {
	opts.Source = "dc"
	s := &site{ledger: NewLedger(opts), nodes: map[string]*Shares{}}
	for _, n := range nodes {
		s.nodes[n.Name] = NewShares(n.Name, n.Name+".1")
		s.order = append(s.order, n.Name)
	}
	s.deliver(s.ledger.SetNodes(start, nodes))
	return s
}

func (s *site) deliver(e Effects) {
	for _, a := range e.Announcements {
		if n, ok := s.nodes[a.Node]; ok && n.ApplyAnnouncement(a) {
			s.report(a.Node, true)
		}
	}
	for _, g := range e.Grants {
		if n, ok := s.nodes[g.Node]; ok {
			n.ApplyGrant(start, g)
			s.report(g.Node, false)
		}
	}
}

func (s *site) report(node string, full bool) {
	s.deliver(s.ledger.ApplyUsage(start, s.nodes[node].Report("dc", full)))
}

// limits returns the nodes' limits in the order of creation.
func (s *site) limits() []int {
	var limits []int
	for _, name := range s.order {
		limits = append(limits, s.nodes[name].State("e").Limit)
	}
	return limits
}

func live(names ...string) []Node {
	var nodes []Node
	for _, name := range names {
		nodes = append(nodes, Node{Name: name, Live: true})
	}
	return nodes
}

var endpoint = Endpoint{Name: "e", Incarnation: "e.1", ColdInFlight: 2, MaxInFlight: 10}

func TestWarmupFollowsCompletions(t *testing.T) {
	s := newSite(LedgerOptions{Term: 1}, live("a", "b")...)
	s.deliver(s.ledger.SetEndpoint(start, endpoint))
	assert.DeepEqual(t, s.limits(), []int{1, 1})
	s.deliver(s.ledger.Tick(start.Add(1000 * pastIgnored)))
	assert.DeepEqual(t, s.limits(), []int{1, 1})
	s.deliver(s.ledger.Observe(start, "e", "e.1", 4*DefaultWarmup))
	assert.DeepEqual(t, s.limits(), []int{3, 3})
	s.deliver(s.ledger.Observe(start, "e", "e.1", 1000))
	assert.DeepEqual(t, s.limits(), []int{5, 5})
	s.deliver(s.ledger.Observe(start, "e", "e.2", 0))
	assert.DeepEqual(t, s.limits(), []int{1, 1})
}

func TestLimitStaysColdUntilWarm(t *testing.T) {
	s := newSite(LedgerOptions{Term: 1}, live("a", "b")...)
	e := endpoint
	e.WarmAfter = 8
	s.deliver(s.ledger.SetEndpoint(start, e))
	s.deliver(s.ledger.Observe(start, "e", "e.1", 7))
	assert.DeepEqual(t, s.limits(), []int{1, 1})
	s.deliver(s.ledger.Observe(start, "e", "e.1", 8+DefaultWarmup))
	assert.DeepEqual(t, s.limits(), []int{2, 1})
	s.deliver(s.ledger.Observe(start, "e", "e.2", 0))
	assert.DeepEqual(t, s.limits(), []int{1, 1})
}

func TestGuestOnlyBesideSingleNode(t *testing.T) {
	guest := Node{Name: "g", Live: true, Guest: true}
	s := newSite(LedgerOptions{Term: 1, Warmup: Warmup{Off: true}}, append(live("a", "b"), guest)...)
	s.deliver(s.ledger.SetEndpoint(start, endpoint))
	assert.DeepEqual(t, s.limits(), []int{5, 5, 0})

	s = newSite(LedgerOptions{Term: 1, Warmup: Warmup{Off: true}}, append(live("a"), guest)...)
	s.deliver(s.ledger.SetEndpoint(start, endpoint))
	assert.DeepEqual(t, s.limits(), []int{5, 5})
}

// TestCutOffSingleNodeServesItsPart restarts the only node of a data centre
// without memory while its guest cannot be heard.
func TestCutOffSingleNodeServesItsPart(t *testing.T) {
	nodes := append(live("a"), Node{Name: "g", Live: true, Guest: true})
	s := newSite(LedgerOptions{Term: 1, Warmup: Warmup{Off: true}}, nodes...)
	s.deliver(s.ledger.SetEndpoint(start, endpoint))
	guest := s.nodes["g"]
	delete(s.nodes, "g")

	s.nodes["a"] = NewShares("a", "a.2")
	s.ledger = NewLedger(LedgerOptions{Source: "dc", Term: 2, Warmup: Warmup{Off: true}})
	s.deliver(s.ledger.SetNodes(start, nodes))
	s.deliver(s.ledger.SetEndpoint(start, endpoint))
	assert.Equal(t, s.nodes["a"].State("e").Limit, 5)
	assert.Equal(t, guest.State("e").Limit, 5)
}

func TestSharesOutliveCoordinator(t *testing.T) {
	s := newSite(LedgerOptions{Term: 1, Warmup: Warmup{Off: true}}, live("a", "b")...)
	s.deliver(s.ledger.SetEndpoint(start, endpoint))

	// A later ledger that hears of one node only leaves both shares as they
	// are, and grants the rest once the other is known to be gone.
	next := NewLedger(LedgerOptions{Source: "dc", Term: 2, Warmup: Warmup{Off: true}})
	s.ledger = next
	announces := next.SetNodes(start, live("a", "b")).Announcements
	s.deliver(next.SetEndpoint(start, endpoint))
	s.deliver(Effects{Announcements: announces[:1]})
	assert.DeepEqual(t, s.limits(), []int{5, 5})
	s.deliver(next.NodeGone(start, "b"))
	assert.DeepEqual(t, s.limits(), []int{5, 5})
	s.deliver(next.SetNodes(start, live("a")))
	s.deliver(next.NodeGone(start, "b"))
	assert.Equal(t, s.nodes["a"].State("e").Limit, 10)
}

// TestLateUsageOfDeadProcessFreesNothing delivers a usage of a process that
// has ended after its successor was granted a share.
func TestLateUsageOfDeadProcessFreesNothing(t *testing.T) {
	run := func(without mechanisms) int {
		s := newSite(LedgerOptions{Term: 1, Homes: 1, Warmup: Warmup{Off: true}}, live("a")...)
		s.ledger.without = without
		late := s.nodes["a"].Report("dc", true)
		s.nodes["a"] = NewShares("a", "a.2")
		s.report("a", true)
		s.deliver(s.ledger.SetEndpoint(start, endpoint))
		late.Sequence += 100
		s.deliver(s.ledger.SetNodes(start, live("a")))
		held := s.nodes["a"].State("e").Limit
		delete(s.nodes, "a") // cut off
		s.nodes["b"] = NewShares("b", "b.1")
		s.deliver(s.ledger.SetNodes(start, live("b")))
		s.deliver(s.ledger.ApplyUsage(start, late))
		return held + s.nodes["b"].State("e").Limit
	}
	assert.Equal(t, run(mechanisms{}), endpoint.MaxInFlight)
	assert.Assert(t, run(mechanisms{challenges: true}) > endpoint.MaxInFlight)
}

func TestDemandMovesIdleShares(t *testing.T) {
	s := newSite(LedgerOptions{Term: 1, Division: ByDemand}, live("a", "b", "c")...)
	account := Endpoint{Name: "e", Incarnation: "limit", ColdInFlight: 12, MaxInFlight: 12}
	s.deliver(s.ledger.SetEndpoint(start, account))
	assert.DeepEqual(t, s.limits(), []int{4, 4, 4})
	s.nodes["a"].SetWaitingAtSource("dc", "e", 10)
	s.report("a", false)
	assert.DeepEqual(t, s.limits(), []int{10, 1, 1})
	s.nodes["b"].SetWaitingAtSource("dc", "e", 10)
	s.report("b", false)
	assert.DeepEqual(t, s.limits(), []int{6, 6, 0})
	assert.Assert(t, s.nodes["b"].State("e").Scarce)
}

func TestCutOffNodeKeepsLastShare(t *testing.T) {
	s := newSite(LedgerOptions{Term: 1, Division: ByDemand}, live("a", "b")...)
	account := Endpoint{Name: "e", Incarnation: "limit", ColdInFlight: 10, MaxInFlight: 10}
	s.deliver(s.ledger.SetEndpoint(start, account))
	cut := s.nodes["b"]
	delete(s.nodes, "b")
	s.nodes["a"].SetWaitingAtSource("dc", "e", 10)
	s.report("a", false)
	assert.Equal(t, cut.State("e").Limit, 5)
	assert.Equal(t, s.nodes["a"].State("e").Limit, 5, "grows only when the other's release is known")
	s.nodes["b"] = cut
	s.deliver(s.ledger.Tick(start))
	assert.DeepEqual(t, s.limits(), []int{10, 0})
}

// TestUsageCostFollowsChanges bounds the work for one changed entry, whatever
// the number of endpoints and nodes.
func TestUsageCostFollowsChanges(t *testing.T) {
	allocs := func(endpoints, nodes int) float64 {
		var names []string
		for i := range nodes {
			names = append(names, fmt.Sprint("n", i))
		}
		s := newSite(LedgerOptions{Term: 1}, live(names...)...)
		for i := range endpoints {
			e := endpoint
			e.Name = fmt.Sprint("e", i)
			s.deliver(s.ledger.SetEndpoint(start, e))
		}
		home := Homes("e0", names, 1)[0]
		usage := s.nodes[home].Report("dc", false)
		entry := s.nodes[home].table["e0"].entry()
		return testing.AllocsPerRun(100, func() {
			usage.Sequence++
			entry.Completed += DefaultWarmup
			usage.Entries = append(usage.Entries[:0], entry)
			s.ledger.ApplyUsage(start, usage)
			s.ledger.Tick(start)
		})
	}
	few, many := allocs(10, 4), allocs(1000, 32)
	t.Logf("%.0f allocations with 10 endpoints, %.0f with 1000", few, many)
	assert.Assert(t, many <= few+1)
}

func TestHomesProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 32).Draw(rt, "nodes")
		var nodes []string
		for i := range n {
			nodes = append(nodes, fmt.Sprintf("n%d", i))
		}
		name := rapid.String().Draw(rt, "endpoint")
		homes := Homes(name, nodes, 2)
		assert.Equal(rt, len(homes), min(2, n))
		shuffled := rapid.Permutation(nodes).Draw(rt, "order")
		assert.DeepEqual(rt, Homes(name, shuffled, 2), homes)

		// Removing a node that is no home changes nothing.
		removed := rapid.IntRange(0, n-1).Draw(rt, "removed")
		var left []string
		for i, node := range nodes {
			if i != removed {
				left = append(left, node)
			}
		}
		if nodes[removed] != homes[0] && nodes[removed] != homes[min(1, n-1)] {
			assert.DeepEqual(rt, Homes(name, left, 2), homes)
		}
	})
}

func TestSplitAddsUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		total := rapid.IntRange(0, 1000).Draw(rt, "total")
		n := rapid.IntRange(1, 32).Draw(rt, "n")
		sum := 0
		for rank := range n {
			sum += split(total, n, rank)
			assert.Assert(rt, split(total+1, n, rank) >= split(total, n, rank))
		}
		assert.Equal(rt, sum, total)
	})
}

// TestNodeThatComesLaterHoldsAPart lets a second node appear while the first
// one holds the whole limit. It gets a part without asking, with which it
// serves while no ledger can grant anything.
func TestNodeThatComesLaterHoldsAPart(t *testing.T) {
	nodes := live("a", "b")
	nodes[1].Live = false
	s := newSite(LedgerOptions{Term: 1, Division: ByDemand, Warmup: Warmup{Off: true}}, nodes...)
	e := endpoint
	e.ColdInFlight, e.MaxInFlight = 16, 16
	s.deliver(s.ledger.SetEndpoint(start, e))
	assert.DeepEqual(t, s.limits(), []int{16, 0})
	s.deliver(s.ledger.SetNodes(start, live("a", "b")))
	s.deliver(s.ledger.Tick(start))
	assert.DeepEqual(t, s.limits(), []int{8, 8})
}

// TestNodeNotHeardOfKeepsItsShare lets a ledger lose sight of a node that it
// can still reach. The node must not be left without a share.
func TestNodeNotHeardOfKeepsItsShare(t *testing.T) {
	s := newSite(LedgerOptions{Term: 1, Division: ByDemand, Warmup: Warmup{Off: true}}, live("a", "b")...)
	e := endpoint
	e.ColdInFlight, e.MaxInFlight = 16, 16
	s.deliver(s.ledger.SetEndpoint(start, e))
	assert.DeepEqual(t, s.limits(), []int{8, 8})
	nodes := live("a", "b")
	nodes[1].Live = false
	s.deliver(s.ledger.SetNodes(start, nodes))
	s.deliver(s.ledger.Tick(start))
	assert.DeepEqual(t, s.limits(), []int{8, 8})
	// Once it is known to be gone, its share goes to who asks for it.
	s.deliver(s.ledger.NodeGone(start, "b"))
	s.nodes["a"].SetWaiting("e", 12)
	s.report("a", true)
	assert.Equal(t, s.limits()[0], 16)
}
