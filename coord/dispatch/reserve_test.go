package dispatch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

var (
	urgent = catalog.Rank{Ranked: true, Value: 0, Distance: 0}
	middle = catalog.Rank{Ranked: true, Value: 1, Distance: 0.5}
	least  = catalog.Rank{Ranked: true, Value: 2, Distance: 1}
)

func (s *scenario) pickRank(rank catalog.Rank, draw int) (*Ticket, *Refusal) {
	return s.table.Pick(s.now, Query{Service: "llm", Model: "m", Draw: uint64(draw), Rank: rank})
}

// countPlaced returns the number of requests of a rank placed until one is refused.
func (s *scenario) countPlaced(rank catalog.Rank) int {
	for n := range 1000 {
		if _, refusal := s.pickRank(rank, n); refusal != nil {
			return n
		}
	}
	return 1000
}

// Guards against a reserve that is no reserve, or that grows beyond an eighth of the
// slots. Load: one group of 26 slots behind one node, each rank on its own.
func TestReserveGrowsWithTheDistanceOfTheRank(t *testing.T) {
	for _, running := range []int{0, 20, 24} {
		for rank, reserve := range map[catalog.Rank]int{urgent: 0, {}: 0, middle: 1, least: 3} {
			s := newScenario(1)
			s.table.SetNodes(s.now, 1, 0)
			s.now = s.now.Add(time.Second)
			s.report(vmID(0, 0), running)
			assert.Equal(t, s.countPlaced(rank), max(0, 26-reserve-running), "rank %v, %d running", rank, running)
		}
	}
}

// Guards against requests that are held back although their callers have a part of
// the answer or an endpoint has failed them. Load: a group that is full but for its
// reserve.
func TestRepeatsAndBegunStreamsAreNotHeldBack(t *testing.T) {
	for _, test := range []struct {
		name  string
		query Query
		held  bool
	}{
		{"new", Query{}, true},
		{"begun", Query{Begun: true}, false},
		{"repeat", Query{Repeat: true}, false},
		{"sent before", Query{Resent: true}, false},
	} {
		s := newScenario(1)
		s.table.SetNodes(s.now, 1, 0)
		s.now = s.now.Add(time.Second)
		s.report(vmID(0, 0), 24)
		q := test.query
		q.Service, q.Model, q.Rank = "llm", "m", least
		_, refusal := s.table.Pick(s.now, q)
		assert.Equal(t, refusal != nil, test.held, test.name)
		if test.held {
			assert.Equal(t, refusal.Reason, AllFull)
		}
	}
}

// Guards against a reserve at plain servers, which have no reports of others' load.
func TestPlainServersHaveNoReserve(t *testing.T) {
	placed := func(rank catalog.Rank) (n int) {
		s := newScenario(0)
		s.vms.ApplyRow(s.now, fleet.Row{ID: "s-1", Service: "shop", Address: "s-1", DataCentre: "dc-a", Slots: 8, State: fleet.State{Born: 1}})
		s.update()
		for ; ; n++ {
			if _, refusal := s.table.Pick(s.now, Query{Service: "shop", Rank: rank}); refusal != nil {
				return n
			}
		}
	}
	assert.Equal(t, placed(least), placed(catalog.Rank{}))
}

// Guards against odd numbers of slots, as in rows of VMs that have lost their
// configuration.
func TestReserveOfOddSlots(t *testing.T) {
	for _, slots := range []int{-1, 0, 1, 7, 1 << 62} {
		s := newScenario(1)
		s.setRow(vmID(0, 0), func(r *fleet.Row) { r.Slots = slots })
		s.update()
		s.pickRank(least, 1)
		s.now = s.now.Add(time.Hour)
		s.pickRank(least, 1)
		target := s.table.targets[vmID(0, 0)]
		reserve := reservedSlots(target.Slots, 1)
		assert.Assert(t, reserve >= 0 && reserve <= target.Slots/8, "%d of %d slots are reserved", reserve, target.Slots)
	}
}

// Guards against a change of placements where all requests have the same rank. Load:
// the same requests at two tables, ranked as the most urgent and not at all.
func TestOneRankChangesNothing(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	plain, ranked := newScenario(4), newScenario(4)
	var of, with []*Ticket
	for i := range 4000 {
		for _, s := range []*scenario{plain, ranked} {
			s.now = s.now.Add(5 * time.Millisecond)
			if i%100 == 0 {
				for g := range 4 {
					s.report(vmID(g, 0), (i/100*7+g*5)%30)
				}
			}
		}
		a, refusedA := plain.pickRank(catalog.Rank{}, i*7919)
		b, refusedB := ranked.pickRank(urgent, i*7919)
		assert.DeepEqual(t, refusedA, refusedB)
		if a != nil {
			assert.Equal(t, a.Target.ID, b.Target.ID)
			of, with = append(of, a), append(with, b)
		}
		if len(of) > 0 && rng.IntN(3) == 0 {
			k := rng.IntN(len(of))
			plain.table.Done(plain.now, of[k], Succeeded)
			ranked.table.Done(ranked.now, with[k], Succeeded)
			of, with = slices.Delete(of, k, k+1), slices.Delete(with, k, k+1)
		}
	}
}

// site is a number of nodes that send requests of two ranks to the same groups. All
// get the same reports, whose figures are old by the lag of the configuration.
type site struct {
	nodes  []*scenario
	groups int
	rng    *rand.Rand
	// heads are the requests at each group in the order of their arrival. The first
	// siteSlots of them run, and the others wait there.
	heads map[string][]siteRequest
	// past are the numbers of requests at the groups before, one for each step.
	past    []map[string]int
	waiting []siteRequest // at the nodes
	// asked is the number of requests, placed that of those that an endpoint gets, and
	// served that of those that run in time, by rank.
	asked, served, placed map[int]int
}

type siteRequest struct {
	node    *scenario
	rank    catalog.Rank
	draw    int
	until   time.Time     // how long it waits at its node
	left    time.Duration // for which it still runs
	started bool
	ticket  *Ticket
}

const (
	siteStep    = 20 * time.Millisecond
	siteLag     = 200 * time.Millisecond
	siteSlots   = 26
	siteService = 2 * time.Second // mean
	siteWait    = 200 * time.Millisecond
	// siteSlack is how much later than siteWait a request may start to run, so that
	// its caller counts as served.
	siteSlack = 300 * time.Millisecond
)

// newSite returns a site with two groups for five nodes, as in deployments with 94
// nodes in front of 171 VMs.
func newSite(nodes int) *site {
	groups := max(8, nodes*2/5)
	s := &site{groups: groups, rng: rand.New(rand.NewPCG(uint64(nodes), 7)), heads: make(map[string][]siteRequest), asked: make(map[int]int), served: make(map[int]int), placed: make(map[int]int)}
	for rank := range nodes {
		n := newScenario(groups)
		n.table.nodeCounts = nodeCounts{}
		n.table.SetNodes(n.now, nodes, rank)
		s.nodes = append(s.nodes, n)
	}
	return s
}

// capacity is the number of requests a second that all slots serve.
func (s *site) capacity() float64 { return float64(s.groups*siteSlots) / siteService.Seconds() }

// run sends requests of each rank at rates a second for d. Refused ones are tried
// again at each step while they wait; those at one node in the order of their rank.
func (s *site) run(d time.Duration, rates map[catalog.Rank]float64) {
	ranks := slices.SortedFunc(maps.Keys(rates), func(a, b catalog.Rank) int { return a.Value - b.Value })
	for range int(d / siteStep) {
		for _, n := range s.nodes {
			n.now = n.now.Add(siteStep)
		}
		now := s.nodes[0].now
		s.end(now)
		counts := make(map[string]int)
		for id, requests := range s.heads {
			counts[id] = len(requests)
		}
		if s.past = append(s.past, counts); len(s.past) > int(siteLag/siteStep)+1 {
			s.past = s.past[1:]
		}
		if now.UnixMilli()%reportInterval.Milliseconds() < siteStep.Milliseconds() {
			s.report()
		}
		for _, rank := range ranks {
			for expected := rates[rank] * siteStep.Seconds(); expected > 0; expected-- {
				if s.rng.Float64() < expected {
					s.asked[rank.Value]++
					s.waiting = append(s.waiting, siteRequest{node: s.nodes[s.rng.IntN(len(s.nodes))], rank: rank, draw: s.rng.Int(), until: now.Add(siteWait)})
				}
			}
		}
		s.place(now)
	}
}

func (s *site) place(now time.Time) {
	place := func(r siteRequest) int { // in the queue of its node, as in package waitqueue
		if r.node.table.IsOverdue(now, "llm", "m", r.rank.Value) {
			return -1
		}
		return r.rank.Value
	}
	slices.SortStableFunc(s.waiting, func(a, b siteRequest) int { return place(a) - place(b) })
	kept := s.waiting[:0]
	for _, r := range s.waiting {
		ticket, refusal := r.node.pickRank(r.rank, r.draw)
		if refusal != nil {
			if now.Before(r.until) {
				kept = append(kept, r)
			}
			continue
		}
		s.placed[r.rank.Value]++
		r.ticket, r.left = ticket, time.Duration(s.rng.ExpFloat64()*float64(siteService))
		s.heads[ticket.Target.ID] = append(s.heads[ticket.Target.ID], r)
	}
	s.waiting = kept
}

func (s *site) end(now time.Time) {
	for g := range s.groups {
		requests := s.heads[vmID(g, 0)]
		for i := range min(len(requests), siteSlots) {
			r := &requests[i]
			if !r.started && now.Before(r.until.Add(siteSlack)) {
				s.served[r.rank.Value]++
			}
			r.started = true
			r.left -= siteStep
		}
		s.heads[vmID(g, 0)] = slices.DeleteFunc(requests, func(r siteRequest) bool {
			if r.left > 0 {
				return false
			}
			r.node.table.Done(now, r.ticket, Succeeded)
			return true
		})
	}
}

func (s *site) report() {
	figures := s.past[0]
	for _, n := range s.nodes {
		for g := range s.groups {
			id := vmID(g, 0)
			vm := n.vms.Get(id)
			n.vms.ApplyReport(n.now, n.now, id, fleet.Report{State: vm.State, Load: fleet.Load{Running: min(figures[id], siteSlots), Waiting: max(0, figures[id]-siteSlots), Pace: 1}})
		}
		n.update()
	}
}

// share returns which part of the requests of a rank was served.
func (s *site) share(rank catalog.Rank) float64 {
	return float64(s.served[rank.Value]) / float64(max(1, s.asked[rank.Value]))
}

// newSizedSite returns a site and how long to run it: at most a few seconds of the
// test's time.
func newSizedSite(nodes int) (*site, time.Duration) {
	if nodes > 100 {
		return newSite(nodes), 4 * time.Second
	}
	return newSite(nodes), 12 * time.Second
}

// burst returns a site after a burst of a low rank beside a steady high one.
func burst(nodes int, high, low catalog.Rank) *site {
	s, d := newSizedSite(nodes)
	steady := 0.6 * s.capacity()
	s.run(2*time.Second, map[catalog.Rank]float64{high: steady})
	clear(s.asked)
	clear(s.served)
	s.run(d, map[catalog.Rank]float64{high: steady, low: s.capacity()})
	return s
}

// Guards against a burst of a low rank that takes the slots of a steady high one, and
// against a reserve that shuts out the low rank. Load: the high rank asks for 0.6 of
// what the groups serve, the low one for all of it, at any number of nodes.
func TestBurstOfLowRankBesideHighRank(t *testing.T) {
	for _, nodes := range []int{2, 31, 94, 300} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			same := least
			same.Distance = 0
			s, equal := burst(nodes, urgent, least), burst(nodes, urgent, same)
			t.Logf("served: high %.3f, low %.3f; without a reserve: high %.3f, low %.3f", s.share(urgent), s.share(least), equal.share(urgent), equal.share(same))
			assert.Assert(t, s.share(urgent) >= s.share(least))
			assert.Assert(t, s.share(urgent) >= equal.share(urgent), "the reserve serves the high rank worse")
			// Half of what the high rank leaves.
			assert.Assert(t, s.share(least) >= 0.2, "low %.3f", s.share(least))
		})
	}
}

// Guards against a low rank that gets nothing while higher ones fill all slots. Load:
// the high rank asks for 1.5 times of what the groups serve, the low one for half.
func TestLowRankIsNotStarved(t *testing.T) {
	for _, nodes := range []int{2, 31, 94, 300} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			s, d := newSizedSite(nodes)
			rates := map[catalog.Rank]float64{urgent: 1.5 * s.capacity(), least: 0.5 * s.capacity()}
			s.run(4*time.Second, rates) // until all slots are taken
			clear(s.asked)
			clear(s.served)
			clear(s.placed)
			s.run(d, rates)
			t.Logf("placed: high %d of %d, low %d of %d; in time: high %d, low %d", s.placed[0], s.asked[0], s.placed[2], s.asked[2], s.served[0], s.served[2])
			// overdueShare is a thirty-second of what the low rank asks for; the time
			// until one of its requests comes and finds a slot takes a part of it.
			assert.Assert(t, 100*s.placed[2] >= s.asked[2], "a hundredth of the low rank")
			assert.Assert(t, s.placed[0]*s.asked[2] >= s.placed[2]*s.asked[0], "the high rank is refused more often")
		})
	}
}
