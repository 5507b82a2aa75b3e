package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

var start = time.Unix(1000, 0)

func testCatalog() *catalog.Catalog {
	services := []catalog.Service{
		{Name: "llm", ColdPerSecond: 36, Engine: &catalog.Engine{
			Slots: 26, ReportLag: 200 * time.Millisecond,
			Models: []catalog.Model{{Name: "m", GroupSize: 2, Share: 1}},
		}},
		{Name: "shop"},
	}
	return catalog.New(1, nil, services, catalog.Accounts{}, catalog.Limits{})
}

func testOptions() Options {
	return Options{
		DataCentre: "dc-a", ColdOverage: 1.5, ColdSlack: 5,
		RepeatRatio: 0.2, RepeatSlack: 136, RepeatWindow: 10 * time.Second,
	}
}

// scenario is a table with groups of two VMs and a manual clock.
type scenario struct {
	vms   *fleet.Table
	table *Table
	now   time.Time
}

func newScenario(groups int) *scenario {
	s := &scenario{vms: fleet.NewTable(), table: New(testOptions()), now: start}
	s.table.SetNodes(s.now, 4, 0)
	for g := range groups {
		for rank := range 2 {
			stage := fleet.Ready
			if rank == 0 {
				stage = fleet.Open
			}
			s.vms.ApplyRow(s.now, fleet.Row{
				ID: vmID(g, rank), Service: "llm", Address: vmID(g, rank), DataCentre: "dc-a", Slots: 26, Engine: true,
				State: fleet.State{Born: 1, Model: "m", Membership: fleet.Membership{
					Group: fmt.Sprint("g", g), Epoch: 1, Rank: rank, Stage: stage,
				}},
			})
		}
	}
	s.update()
	return s
}

func vmID(group, rank int) string { return fmt.Sprintf("i-%d%d", group, rank) }

func (s *scenario) update() []Loss { return s.table.Update(s.now, s.vms, testCatalog(), nil) }

func (s *scenario) report(id string, running int) {
	vm := s.vms.Get(id)
	s.vms.ApplyReport(s.now, s.now, id, fleet.Report{State: vm.State, Load: fleet.Load{Running: running, Pace: 1}})
	s.update()
}

func (s *scenario) pick(draw int) (*Ticket, *Refusal) {
	return s.table.Pick(s.now, Query{Service: "llm", Model: "m", Draw: uint64(draw)})
}

// pickUntilRefused returns the number of requests placed before one is refused.
func (s *scenario) pickUntilRefused() int {
	for n := range 1000 {
		if _, refusal := s.pick(n); refusal != nil {
			return n
		}
	}
	return 1000
}

// All nodes see the same free slots in one report. Together they must not send
// much more than fits.
func TestFreeSlotsAreDividedAmongNodes(t *testing.T) {
	s := newScenario(1)
	s.now = s.now.Add(time.Second)
	s.report(vmID(0, 0), 10)
	n := s.pickUntilRefused()
	assert.Equal(t, n, 6) // 16 free slots, 1.5 of four shares
}

// A group has more requests than it runs at once. The node reduces its quota in
// proportion.
func TestOverloadReducesQuotaInProportion(t *testing.T) {
	s := newScenario(1)
	for i := range 6 {
		_, refusal := s.pick(i)
		assert.Assert(t, refusal == nil)
	}
	s.now = s.now.Add(time.Second)
	s.report(vmID(0, 0), 52)
	_, refusal := s.pick(9)
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Reason, AllFull)
	assert.Assert(t, refusal.RetryAfter > 0)
}

func TestFullGroupAcceptsStartedStreams(t *testing.T) {
	s := newScenario(1)
	s.now = s.now.Add(time.Second)
	s.report(vmID(0, 0), 26)
	_, refusal := s.pick(1)
	assert.Assert(t, refusal != nil)
	_, refusal = s.table.Pick(s.now, Query{Service: "llm", Model: "m", Begun: true})
	assert.Assert(t, refusal == nil)
}

func TestLeastLoadedGroupIsChosen(t *testing.T) {
	s := newScenario(2)
	s.now = s.now.Add(time.Second)
	s.report(vmID(0, 0), 20)
	s.report(vmID(1, 0), 5)
	ticket, refusal := s.pick(1)
	assert.Assert(t, refusal == nil)
	assert.Equal(t, ticket.Target.ID, vmID(1, 0))
}

func TestLostMemberEndsTheGroupsRequests(t *testing.T) {
	s := newScenario(1)
	ticket, _ := s.pick(1)
	for range deadProbes {
		s.now = s.now.Add(200 * time.Millisecond)
		s.vms.RecordProbeFailure(s.now, vmID(0, 1))
	}
	lost := s.update()
	assert.DeepEqual(t, len(lost), 1)
	assert.Assert(t, lost[0].Ticket == ticket)
	assert.Equal(t, lost[0].Reason, MemberUnanswered)
	_, refusal := s.pick(2)
	assert.Equal(t, refusal.Reason, NoTarget)
}

// A closing head finishes its requests. Guards against aborting them, as a router
// once did.
func TestClosingHeadKeepsItsRequests(t *testing.T) {
	s := newScenario(1)
	_, refusal := s.pick(1)
	assert.Assert(t, refusal == nil)
	s.now = s.now.Add(time.Second)
	vm := s.vms.Get(vmID(0, 0))
	closing := vm.State
	closing.Stage = fleet.Closing
	s.vms.ApplyReport(s.now, s.now, vm.ID, fleet.Report{State: closing})
	assert.Equal(t, len(s.update()), 0)
	_, refusal = s.pick(2)
	assert.Equal(t, refusal.Reason, NoTarget)
}

func TestUnavailableVMsGetNoRequests(t *testing.T) {
	for name, makeUnavailable := range map[string]func(s *scenario){
		"evacuated": func(s *scenario) {
			s.table.Update(s.now, s.vms, testCatalog(), map[string]bool{"dc-a": true})
		},
		"draining": func(s *scenario) {
			vm := s.vms.Get(vmID(0, 0))
			s.vms.ApplyRow(s.now, fleet.Row{
				ID: vm.ID, Service: "llm", Address: vm.Address, DataCentre: "dc-a", Slots: 26, Engine: true,
				Draining: true, State: vm.State,
			})
			s.update()
		},
		"unlisted": func(s *scenario) {
			s.vms.Unlist(s.now, vmID(0, 0))
			s.update()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScenario(1)
			_, refusal := s.pick(1)
			assert.Assert(t, refusal == nil)
			makeUnavailable(s)
			_, refusal = s.pick(2)
			assert.Equal(t, refusal.Reason, NoTarget)
		})
	}
}

// The limit applies to all nodes together: each stays within its share in any
// second.
func TestColdEndpointRateIsBounded(t *testing.T) {
	s := newScenario(1)
	vm := s.vms.Get(vmID(0, 0))
	vm.ColdUntil = s.now.Add(time.Minute)
	s.table.targets[vm.ID].quota = 1000
	sent := 0
	for range 100 {
		s.now = s.now.Add(10 * time.Millisecond)
		if ticket, refusal := s.pick(1); refusal == nil {
			sent++
			s.table.Done(s.now, ticket, Succeeded)
		}
	}
	const bound = 36*1.5 + 5
	assert.Assert(t, sent > 0)
	assert.Assert(t, float64(sent*4) <= bound, "%d requests by each of 4 nodes in a second", sent)
}

// takeRepeat reports whether the budget allows another repeat, which it counts.
func (s *scenario) takeRepeat(begun bool) bool {
	_, ok := s.table.takeRepeat(s.now, "llm", begun)
	return ok
}

func TestRepeatsStayWithinTheBudget(t *testing.T) {
	s := newScenario(1)
	for range 100 {
		s.table.CountRequest(s.now, "llm")
	}
	n := 0
	for s.takeRepeat(false) {
		n++
	}
	assert.Assert(t, s.takeRepeat(true), "a part of the budget is reserved for started streams")
	for n++; s.takeRepeat(true); {
		n++
	}
	assert.Assert(t, n > 0)
	assert.Assert(t, float64(4*n) <= 0.2*400+136, "%d repeats by each of 4 nodes", n)
	s.now = s.now.Add(11 * time.Second)
	assert.Assert(t, s.takeRepeat(false), "the window has passed")
}

func TestFailingServerIsAvoidedTemporarily(t *testing.T) {
	s := newScenario(0)
	for _, id := range []string{"s-1", "s-2"} {
		s.vms.ApplyRow(s.now, fleet.Row{ID: id, Service: "shop", Address: id, DataCentre: "dc-a", Slots: 6, State: fleet.State{Born: 1}})
	}
	s.update()
	for range avoidanceThreshold {
		ticket, refusal := s.table.Pick(s.now, Query{Service: "shop", Exclude: []string{"s-2"}})
		assert.Assert(t, refusal == nil)
		s.table.Done(s.now, ticket, Failed)
	}
	for draw := range 20 {
		ticket, refusal := s.table.Pick(s.now, Query{Service: "shop", Draw: uint64(draw)})
		assert.Assert(t, refusal == nil)
		assert.Equal(t, ticket.Target.ID, "s-2")
		s.table.Done(s.now, ticket, Succeeded)
	}
	s.now = s.now.Add(maxAvoidance)
	_, refusal := s.table.Pick(s.now, Query{Service: "shop", Exclude: []string{"s-2"}})
	assert.Assert(t, refusal == nil, "the server is chosen again after the avoidance period")
}

func TestSilentRequestsAreReported(t *testing.T) {
	s := newScenario(1)
	ticket, _ := s.pick(1)
	s.now = s.now.Add(time.Second)
	assert.Equal(t, len(s.table.Stalled(s.now, 500*time.Millisecond, time.Second)), 1)
	assert.Equal(t, len(s.table.Silent(s.now, time.Second, 2*time.Second)), 0)
	ticket.Begun = true
	assert.Equal(t, len(s.table.Silent(s.now, time.Second, 2*time.Second)), 1)
}

// Several nodes choose among groups by reports that are half a second old. They
// must not all fill the same group.
func TestStaleReportsDoNotOverloadOneGroup(t *testing.T) {
	const groups, nodes, perReport = 6, 4, 60
	var all []*scenario
	for range nodes {
		all = append(all, newScenario(groups))
	}
	// One group has just opened and is empty; the others run about half of
	// their capacity.
	for _, s := range all {
		s.now = s.now.Add(time.Second)
		for g := range groups {
			s.report(vmID(g, 0), map[bool]int{true: 0, false: 12}[g == 0])
		}
	}
	sent := make(map[string]int)
	for i := range perReport {
		ticket, refusal := all[i%nodes].pick(i * 7919)
		assert.Assert(t, refusal == nil)
		sent[ticket.Target.ID]++
	}
	even := perReport / groups
	assert.Assert(t, sent[vmID(0, 0)] <= 2*even, "%d of %d went to the empty group", sent[vmID(0, 0)], perReport)
	for g := 1; g < groups; g++ {
		assert.Assert(t, sent[vmID(g, 0)] >= even/2, "group %d got %d", g, sent[vmID(g, 0)])
	}
}

// Whatever the number of nodes, together they stay within the rate limit of a
// cold endpoint and use most of it.
func TestNodesShareColdEndpointRate(t *testing.T) {
	const limit = 59 // 36 times the overage of 1.5, plus the slack of 5
	for _, nodes := range []int{1, 4, 32, 300} {
		sent := 0
		for rank := range nodes + 1 { // one is not listed yet
			s := newScenario(1)
			s.table.nodeCounts = nodeCounts{} // no other list was known before
			s.table.SetNodes(s.now, nodes, rank)
			vm := s.vms.Get(vmID(0, 0))
			vm.ColdUntil = s.now.Add(10 * time.Second)
			vm.Slots = 1000
			s.update()
			for i := range 100 {
				if ticket, _ := s.pick(i); ticket != nil {
					s.table.Done(s.now, ticket, Succeeded)
					sent++
				}
			}
		}
		assert.Assert(t, sent <= limit, "%d nodes send %d", nodes, sent)
		assert.Assert(t, sent >= limit*3/4, "%d nodes send %d", nodes, sent)
	}
}

func TestColdEndpointGetsNoRequestsUntilNodesAreKnown(t *testing.T) {
	s := newScenario(1)
	s.table = New(testOptions())
	s.vms.Get(vmID(0, 0)).ColdUntil = s.now.Add(10 * time.Second)
	s.update()
	_, refusal := s.pick(0)
	assert.Equal(t, refusal.Reason, AllCold)
}

// Many nodes that fill the free slots of a head between two reports send about
// as many requests as it has free slots, not one request each.
func TestNodesShareFreeSlots(t *testing.T) {
	for _, nodes := range []int{4, 32, 300} {
		sent := 0
		const heads, slots, running = 20, 26, 20
		for rank := range nodes {
			s := newScenario(heads)
			s.table.SetNodes(s.now, nodes, rank)
			s.now = s.now.Add(time.Second)
			for g := range heads {
				s.report(vmID(g, 0), running)
			}
			sent += s.pickUntilRefused()
		}
		free := heads * (slots - running)
		assert.Assert(t, sent <= 2*free && sent >= free, "%d nodes send %d for %d free slots", nodes, sent, free)
	}
}

func (s *scenario) changeRow(id string, change func(*fleet.Row)) {
	vm := s.vms.Get(id)
	row := fleet.Row{
		ID: id, Service: vm.Service, Address: vm.Address, DataCentre: vm.DataCentre, Slots: vm.Slots,
		Release: vm.Release, Engine: true, State: vm.State,
	}
	change(&row)
	s.vms.ApplyRow(s.now, row)
	s.update()
}

// A group with a VM that is about to stop gets no requests while other groups
// have free slots.
func TestLeavingGroupsAreChosenLast(t *testing.T) {
	s := newScenario(2)
	s.changeRow(vmID(0, 1), func(r *fleet.Row) { r.Draining = true })
	for draw := range 4 {
		ticket, refusal := s.pick(draw)
		assert.Assert(t, refusal == nil)
		assert.Equal(t, ticket.Target.ID, vmID(1, 0))
	}
}

// A stream that has lost an endpoint continues at a group that already runs the
// newest release, since the others will soon be replaced.
func TestRepeatPrefersNewestRelease(t *testing.T) {
	for draw := range 50 {
		s := newScenario(3)
		s.changeRow(vmID(2, 0), func(r *fleet.Row) { r.Release, r.Born = "v2", 2 })
		s.changeRow(vmID(2, 1), func(r *fleet.Row) { r.Release, r.Born = "v2", 2 })
		ticket, refusal := s.table.Pick(s.now, Query{
			Service: "llm", Model: "m", Draw: uint64(draw), Exclude: []string{vmID(0, 0)}, Begun: true, Repeat: true,
		})
		assert.Assert(t, refusal == nil)
		assert.Equal(t, ticket.Target.ID, vmID(2, 0))
	}
}

func TestEnded(t *testing.T) {
	tests := []struct {
		name  string
		after func(*scenario)
		want  bool
	}{
		{"serving", func(*scenario) {}, false},
		{"not answering but listed", func(s *scenario) { s.failProbes(vmID(0, 0)) }, false},
		{"no longer listed but answering", func(s *scenario) { s.vms.Unlist(s.now, vmID(0, 0)) }, false},
		{"neither listed nor answering", func(s *scenario) { s.vms.Unlist(s.now, vmID(0, 0)); s.failProbes(vmID(0, 0)) }, true},
		{"restarted", func(s *scenario) { s.changeRow(vmID(0, 0), func(r *fleet.Row) { r.Born = 2 }) }, true},
		{"member restarted", func(s *scenario) { s.changeRow(vmID(0, 1), func(r *fleet.Row) { r.Born = 2 }) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newScenario(1)
			ticket, refusal := s.pick(0)
			assert.Assert(t, refusal == nil)
			tt.after(s)
			s.update()
			assert.Equal(t, s.table.Ended(ticket), tt.want)
		})
	}
}

func (s *scenario) failProbes(id string) {
	for range deadProbes {
		s.now = s.now.Add(time.Second)
		s.vms.RecordProbeFailure(s.now, id)
	}
}

// A request that was just sent is no evidence of whether a group is stalled, so
// it must not hide a stall.
func TestNewRequestsDoNotHideAStall(t *testing.T) {
	s := newScenario(1)
	begun, _ := s.pick(1)
	s.table.RecordProgress(s.now, begun)
	s.now = s.now.Add(550 * time.Millisecond)
	s.pick(2)
	assert.DeepEqual(t, s.table.Stalled(s.now, 500*time.Millisecond, time.Second), []string{vmID(0, 0)})
	s.table.RecordProgress(s.now, begun)
	assert.Equal(t, len(s.table.Stalled(s.now, 500*time.Millisecond, time.Second)), 0)
}

// With many nodes, each has hardly a request at a group. A single request that is
// queued there is no evidence that the group is stalled.
func TestQueuedRequestIsNotAStall(t *testing.T) {
	s := newScenario(1)
	s.pick(1)
	s.now = s.now.Add(700 * time.Millisecond)
	assert.Equal(t, len(s.table.Stalled(s.now, 500*time.Millisecond, time.Second)), 0)
	s.now = s.now.Add(300 * time.Millisecond)
	assert.Equal(t, len(s.table.Stalled(s.now, 500*time.Millisecond, time.Second)), 1)
}

// With many nodes, each has hardly a request at a group. The weight of one request
// grows with the number of nodes, and must not outweigh the penalties of a group.
func TestPenaltiesApplyWithManyNodes(t *testing.T) {
	for name, change := range map[string]func(*fleet.Row){
		"in another data centre": func(r *fleet.Row) { r.DataCentre = "dc-b" },
		"about to stop":          func(r *fleet.Row) { r.Draining = true },
	} {
		for _, nodes := range []int{37, 300} {
			s := newScenario(4)
			s.table.SetNodes(s.now, nodes, 0)
			for g := range 2 {
				rank := 0
				if name == "about to stop" {
					rank = 1 // the group's head itself keeps running
				}
				s.changeRow(vmID(g, rank), change)
			}
			for i := range 4 {
				ticket, refusal := s.pick(i * 7919)
				assert.Assert(t, refusal == nil)
				penalised := ticket.Target.ID == vmID(0, 0) || ticket.Target.ID == vmID(1, 0)
				first := i < 2
				assert.Assert(t, !first || !penalised, "%s, %d nodes: request %d went to %s", name, nodes, i, ticket.Target.ID)
			}
		}
	}
}
