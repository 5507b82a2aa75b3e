package route

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/budget"
	"github.com/pimentoshore/pimentoshore/coord/member"
	"github.com/pimentoshore/pimentoshore/coord/problem"
)

var start = time.Unix(1000, 0)

// fixture is a table whose node holds a share of each added endpoint.
type fixture struct {
	*Table
	shares   *budget.Shares
	sequence uint64
}

func newFixture(opts Options) *fixture {
	opts.Seed = 1
	shares := budget.NewShares("a", "a.1")
	return &fixture{Table: NewTable(opts, shares), shares: shares}
}

// add adds the endpoint to the table and grants the node a share of it.
func (f *fixture) add(name string, share int) {
	f.Step(start, EndpointUpdated{Endpoint{Name: name, Target: "m", Incarnation: name + ".1", Serving: true}})
	f.grant(name, share)
}

func (f *fixture) grant(name string, share int) {
	f.sequence++
	f.shares.ApplyGrant(start, budget.Grant{
		Source: "dc", Fence: member.Fence{Term: 1, Sequence: f.sequence},
		Node: "a", NodeIncarnation: "a.1", Endpoint: name, Incarnation: name + ".1",
		Limit: share, Cold: 1,
	})
}

func (f *fixture) pick(t *testing.T, now time.Time, r Request) Choice {
	t.Helper()
	r.Target = "m"
	choice, p := f.Pick(now, r)
	assert.Assert(t, p == nil, "%v", p)
	return choice
}

func TestNearestTierFirst(t *testing.T) {
	f := newFixture(Options{})
	f.add("g1", 1)
	f.Step(start, PeerReported{Node: "b", Target: "m", Limit: 1})
	f.Step(start, RemoteReported{DataCentre: "brno", Target: "m", Limit: 4, Node: "z"})
	assert.Equal(t, f.Free("m"), 3)

	assert.Equal(t, f.pick(t, start, Request{}).Action, Dispatch)
	_, p := f.Pick(start, Request{Target: "m", LocalOnly: true})
	assert.Equal(t, p.Kind, problem.Overloaded)
	assert.Equal(t, p.Ran, problem.RanNo)
	_, p = f.Pick(start, Request{Target: "m", Refusals: MaxRefusals})
	assert.Equal(t, p.Kind, problem.Overloaded)
	assert.Equal(t, f.pick(t, start, Request{}).Action, Forward)
	_, p = f.Pick(start, Request{Target: "m", DataCentreOnly: true})
	assert.Equal(t, p.Kind, problem.Overloaded)
	spill := f.pick(t, start, Request{})
	assert.Equal(t, spill.Action, Spill)
	assert.Equal(t, spill.DataCentre, "brno")
	assert.Equal(t, spill.Node, "z")
	assert.Equal(t, f.Free("m"), 0)
}

func TestEndpointsNotServingAreNeverChosen(t *testing.T) {
	tests := []struct {
		name string
		stop func(f *fixture)
	}{
		{"not whole, leaving or out", func(f *fixture) {
			f.Step(start, EndpointUpdated{Endpoint{Name: "g1", Target: "m", Incarnation: "g1.1"}})
		}},
		{"removed", func(f *fixture) { f.Step(start, EndpointRemoved{"g1"}) }},
		{"share gone", func(f *fixture) { f.grant("g1", 0) }},
		{"node stopping", func(f *fixture) { f.shares.Stop() }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(Options{})
			f.add("g1", 8)
			first := f.pick(t, start, Request{})
			tc.stop(f)
			_, p := f.Pick(start, Request{Target: "m"})
			assert.Assert(t, p != nil)
			assert.Assert(t, p.RetryAfter > 0 && p.Remedy != "")
			// The end of the request in flight must not make capacity available again.
			f.Step(start, Completed{Choice: first})
			assert.Equal(t, f.Free("m"), 0)
		})
	}
}

func TestRemovedNodesAndDataCentresAreNeverChosen(t *testing.T) {
	f := newFixture(Options{})
	f.Step(start, PeerReported{Node: "b", Target: "m", Limit: 4})
	f.Step(start, RemoteReported{DataCentre: "brno", Target: "m", Limit: 4, Node: "z"})
	f.Step(start, PeerRemoved{"b"})
	assert.Equal(t, f.pick(t, start, Request{}).Action, Spill)
	f.Step(start, RemoteRemoved{"brno"})
	_, p := f.Pick(start, Request{Target: "m"})
	assert.Equal(t, p.Kind, problem.NoEndpoint)
}

// TestOwnRequestsCountBetweenReports checks that a burst between two reports is
// spread over the endpoints although the reported loads don't change.
func TestOwnRequestsCountBetweenReports(t *testing.T) {
	largestLoad := func(opts Options) int {
		f := newFixture(opts)
		for i := range 8 {
			f.add(fmt.Sprint("g", i), 32)
			f.Step(start, LoadReported{Endpoint: fmt.Sprint("g", i), Incarnation: fmt.Sprintf("g%d.1", i), InFlight: i, Limit: 32})
		}
		inFlight := map[string]int{}
		largest := 0
		for range 64 {
			c := f.pick(t, start, Request{})
			inFlight[c.Endpoint]++
			largest = max(largest, inFlight[c.Endpoint])
		}
		return largest
	}
	assert.Assert(t, largestLoad(Options{}) <= 64/8+8, "%d", largestLoad(Options{}))
	assert.Assert(t, largestLoad(Options{IgnoreOwn: true}) > 64/8+8, "%d", largestLoad(Options{IgnoreOwn: true}))
}

func TestStragglerGetsFewerRequests(t *testing.T) {
	countSlow := func(opts Options) int {
		f := newFixture(opts)
		for i := range 4 {
			f.add(fmt.Sprint("g", i), 64)
		}
		now := start
		slow := 0
		for range 400 {
			now = now.Add(10 * time.Millisecond)
			c := f.pick(t, now, Request{})
			took := 100 * time.Millisecond
			if c.Endpoint == "g0" {
				took = time.Second
				slow++
			}
			f.Step(now, Completed{Choice: c, Took: took})
		}
		return slow
	}
	assert.Assert(t, countSlow(Options{}) <= 400/4/4, "%d", countSlow(Options{}))
	assert.Assert(t, countSlow(Options{}) > 0, "the straggler is never tried again")
	assert.Assert(t, countSlow(Options{IgnoreLatency: true}) > 400/4/4)
}

// TestSlowTokensReduceRequests checks that an endpoint gets fewer requests if its
// reported time per token is three times that of its peers.
func TestSlowTokensReduceRequests(t *testing.T) {
	countSlow := func(opts Options) int {
		f := newFixture(opts)
		for i := range 4 {
			f.add(fmt.Sprint("g", i), 64)
		}
		for range 10 {
			for i := range 4 {
				r := LoadReported{Endpoint: fmt.Sprint("g", i), Incarnation: fmt.Sprintf("g%d.1", i), Limit: 64}
				r.StepLatency = 20 * time.Millisecond
				if i == 0 {
					r.StepLatency *= 3
				}
				f.Step(start, r)
			}
		}
		slow := 0
		for range 100 {
			if f.pick(t, start, Request{}).Endpoint == "g0" {
				slow++
			}
		}
		return slow
	}
	assert.Assert(t, countSlow(Options{}) <= 100/4/2, "%d", countSlow(Options{}))
	assert.Assert(t, countSlow(Options{IgnoreLatency: true}) > 100/4/2)
}

// TestStalledEndpointGetsFewerRequests checks that a lightly loaded endpoint that
// stops answering gets fewer requests before those pending there make it look busy.
func TestStalledEndpointGetsFewerRequests(t *testing.T) {
	const interval = 20 * time.Millisecond
	const median = 50 * time.Millisecond
	countStalled := func(opts Options) int {
		f := newFixture(opts)
		f.add("g0", 64)
		f.add("g1", 64)
		f.Step(start, LoadReported{Endpoint: "g1", Incarnation: "g1.1", InFlight: 20, Limit: 64})
		now := start
		waiting := 0
		for i := range 200 {
			now = now.Add(interval)
			c := f.pick(t, now, Request{})
			if i >= 100 && c.Endpoint == "g0" {
				waiting++
				continue
			}
			f.Step(now, Completed{Choice: c, Took: median})
		}
		return waiting
	}
	const bound = int(4 * median / interval)
	assert.Assert(t, countStalled(Options{}) <= bound, "%d", countStalled(Options{}))
	assert.Assert(t, countStalled(Options{IgnoreLatency: true}) > bound)
}

func TestCachedPrefixIsPreferredWithinBounds(t *testing.T) {
	prefix := Request{Prefix: []uint64{11, 12, 13}}
	f := newFixture(Options{})
	for i := range 8 {
		f.add(fmt.Sprint("g", i), 8)
	}
	event := CacheEvent{Endpoint: "g5", Incarnation: "g5.1", Stored: []uint64{11, 12}}
	f.Step(start, event)
	c := f.pick(t, start, prefix)
	assert.Equal(t, c.Endpoint, "g5")
	assert.Assert(t, c.PrefixHit)

	// The endpoint is no longer preferred once its cost exceeds the best other
	// one by localityMargin.
	hits := 1
	for range 16 {
		if f.pick(t, start, prefix).Endpoint == "g5" {
			hits++
		}
	}
	assert.Assert(t, hits <= 5, "%d of 17", hits)
}

func TestOutdatedPrefixHintsAreIgnored(t *testing.T) {
	tests := []struct {
		name string
		age  time.Duration
		ev   Event
	}{
		{"removed", 0, CacheEvent{Endpoint: "g5", Incarnation: "g5.1", Removed: []uint64{11}}},
		{"cleared", 0, CacheEvent{Endpoint: "g5", Incarnation: "g5.1", Cleared: true}},
		{"restarted", 0, LoadReported{Endpoint: "g5", Incarnation: "g5.2"}},
		{"aged", hintTTL, Tick{}},
		{"not serving", 0, EndpointUpdated{Endpoint{Name: "g5", Target: "m", Incarnation: "g5.1"}}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(Options{})
			for i := range 8 {
				f.add(fmt.Sprint("g", i), 8)
			}
			f.Step(start, CacheEvent{Endpoint: "g5", Incarnation: "g5.1", Stored: []uint64{11}})
			f.Step(start, tc.ev)
			assert.Assert(t, !f.pick(t, start.Add(tc.age), Request{Prefix: []uint64{11}}).PrefixHit)
		})
	}
}

func TestReturningDataCentreIsRamped(t *testing.T) {
	burst := func(opts Options) int {
		f := newFixture(opts)
		report := RemoteReported{DataCentre: "brno", Target: "m", Limit: 100, Node: "z"}
		f.Step(start, report)
		f.Step(start, RemoteRemoved{"brno"})
		f.Step(start, report)
		sent := 0
		for f.Free("m") > 0 {
			f.pick(t, start, Request{})
			sent++
		}
		return sent
	}
	assert.Equal(t, burst(Options{}), rampStart)
	assert.Equal(t, burst(Options{NoRamp: true}), 100)

	// Each completed request raises the limit by one.
	f := newFixture(Options{})
	f.Step(start, RemoteReported{DataCentre: "brno", Target: "m", Limit: 3, Node: "z"})
	for _, free := range []int{2, 3, 3} {
		f.Step(start, Completed{Choice: f.pick(t, start, Request{})})
		assert.Equal(t, f.Free("m"), free)
	}
}

func TestFailingEndpointIsAvoidedAndTriedAgain(t *testing.T) {
	f := newFixture(Options{})
	f.add("g1", 8)
	for range maxFailures {
		f.Step(start, Failed{Choice: f.pick(t, start, Request{}), Reason: Broken, Incarnation: "g1.1"})
	}
	_, p := f.Pick(start, Request{Target: "m"})
	assert.Equal(t, p.Kind, problem.Overloaded)
	_, p = f.Pick(start.Add(avoidInitial-1), Request{Target: "m"})
	assert.Assert(t, p != nil)
	f.pick(t, start.Add(avoidInitial), Request{})
}

func TestNodeIsAvoidedAfterOneBrokenConnection(t *testing.T) {
	f := newFixture(Options{})
	f.Step(start, PeerReported{Node: "b", Target: "m", Limit: 4})
	c := f.pick(t, start, Request{})
	f.Step(start, Failed{Choice: f.pick(t, start, Request{}), Reason: FailedDownstream})
	assert.Equal(t, f.Free("m"), 3, "the node was avoided for a failure beyond it")
	f.Step(start, Failed{Choice: c, Reason: Broken})
	assert.Equal(t, f.Free("m"), 0)
	f.Step(start.Add(avoidInitial), Tick{})
	assert.Equal(t, f.Free("m"), 4)
}

// TestCommonFailuresLeaveHalf checks that half of the endpoints stay available
// if every attempt fails, and that both of them are chosen.
func TestCommonFailuresLeaveHalf(t *testing.T) {
	const endpoints, attempts = 4, 200
	f := newFixture(Options{})
	for i := range endpoints {
		f.add(fmt.Sprint("g", i), 100)
	}
	chosen := map[string]int{}
	for i := range attempts {
		c := f.pick(t, start, Request{})
		if i >= attempts/2 {
			chosen[c.Endpoint]++
		}
		f.Step(start, Failed{Choice: c, Reason: Broken})
		assert.Assert(t, f.target("m").avoided <= endpoints/2)
	}
	assert.Equal(t, f.target("m").avoided, endpoints/2)
	assert.Equal(t, len(chosen), endpoints/2, "%v", chosen)
}

func TestBrokenConnectionLimitsToColdShare(t *testing.T) {
	f := newFixture(Options{})
	f.add("g1", 8)
	f.Step(start, Failed{Choice: f.pick(t, start, Request{}), Reason: Broken})
	assert.Equal(t, f.Free("m"), 1)
	f.Step(start, LoadReported{Endpoint: "g1", Incarnation: "g1.1"})
	assert.Equal(t, f.Free("m"), 8)
}

// TestLateAnswerOfOldIncarnationIsIgnored checks that a long answer that ends
// after the endpoint has restarted doesn't bring the old incarnation back.
func TestLateAnswerOfOldIncarnationIsIgnored(t *testing.T) {
	f := newFixture(Options{})
	f.add("g1", 8)
	old := f.pick(t, start, Request{})
	f.Step(start, LoadReported{Endpoint: "g1", Incarnation: "g1.2"})
	assert.Equal(t, f.Free("m"), 1)
	f.Step(start.Add(time.Hour), Completed{Choice: old, Incarnation: "g1.1"})
	assert.Equal(t, f.shares.State("g1").Incarnation, "g1.2")
	assert.Equal(t, f.Free("m"), 1)
}

func TestTriedEndpointsAndLowPriority(t *testing.T) {
	f := newFixture(Options{})
	f.add("g1", 16)
	f.add("g2", 1)
	for range 20 {
		c := f.pick(t, start, Request{Tried: []string{"g2"}})
		assert.Equal(t, c.Endpoint, "g1")
		f.Step(start, Failed{Choice: c, Reason: Cancelled})
	}
	_, p := f.Pick(start, Request{Target: "m", Tried: []string{"g1", "g2"}})
	assert.Equal(t, p.Kind, problem.Overloaded)

	low := Request{Target: "m", Priority: -1, Tried: []string{"g2"}}
	taken := 0
	for {
		if _, p := f.Pick(start, low); p != nil {
			break
		}
		taken++
	}
	assert.Equal(t, taken, 16-16/reserveDivisor)
	f.pick(t, start, Request{Tried: []string{"g2"}})
}

func TestSameSeedGivesSameChoices(t *testing.T) {
	run := func() (names []string) {
		f := newFixture(Options{})
		for i := range 50 {
			f.add(fmt.Sprint("g", i), 4)
		}
		for range 150 {
			names = append(names, f.pick(t, start, Request{}).Endpoint)
		}
		return names
	}
	assert.DeepEqual(t, run(), run())
}

// TestDecisionCost checks that the candidates examined and the allocations of one
// decision are bounded, regardless of the number of endpoints.
func TestDecisionCost(t *testing.T) {
	for _, n := range []int{10, 100, 1000, 12000} {
		f := newFixture(Options{})
		for i := range n {
			f.add(fmt.Sprint("g", i), 4)
		}
		request := Request{Target: "m", Prefix: []uint64{1, 2, 3, 4}}
		decide := func() {
			c, _ := f.Pick(start, request)
			f.Step(start, Completed{Choice: c, Took: time.Second})
		}
		decide()
		before := f.Steps()
		const runs = 500
		allocs := testing.AllocsPerRun(runs, decide)
		steps := float64(f.Steps()-before) / (runs + 1)
		t.Logf("%5d endpoints: %.1f steps, %.0f allocations", n, steps, allocs)
		assert.Assert(t, steps <= defaultSamples, "%v steps at %d endpoints", steps, n)
		assert.Assert(t, allocs <= 2, "%v allocations at %d endpoints", allocs, n)
	}
}
