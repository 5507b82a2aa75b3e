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
	return catalog.New(1, nil, services, nil, catalog.Limits{})
}

func testOptions() Options {
	return Options{
		DataCentre: "dc-a", ColdOverage: 1.5, ColdSlack: 5,
		RepeatRatio: 0.2, RepeatSlack: 136, RepeatWindow: 10 * time.Second,
	}
}

// site is a table with groups of two VMs.
type site struct {
	vms   *fleet.Table
	table *Table
	now   time.Time
}

func newSite(groups int) *site {
	s := &site{vms: fleet.NewTable(), table: New(testOptions()), now: start}
	s.table.SetNodes(4, 0)
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

func (s *site) update() []*Ticket { return s.table.Update(s.now, s.vms, testCatalog(), nil) }

func (s *site) report(id string, running int) {
	vm := s.vms.Get(id)
	s.vms.ApplyReport(s.now, s.now, id, fleet.Report{State: vm.State, Load: fleet.Load{Running: running, Pace: 1}})
	s.update()
}

func (s *site) pick(draw int) (*Ticket, *Refusal) {
	return s.table.Pick(s.now, Query{Service: "llm", Model: "m", Draw: uint64(draw)})
}

// picks returns how many requests are placed until one is refused.
func (s *site) picks() int {
	for n := range 1000 {
		if _, refusal := s.pick(n); refusal != nil {
			return n
		}
	}
	return 1000
}

// Load: all nodes see the same free places in one report. Together they must
// not send much more than fits.
func TestFreePlacesAreDividedOverTheNodes(t *testing.T) {
	s := newSite(1)
	s.now = s.now.Add(time.Second)
	s.report(vmID(0, 0), 10)
	n := s.picks()
	assert.Equal(t, n, 6) // 16 free places, 1.5 parts of four
}

// Load: more is at a group than it runs at once. A node gives its part back.
func TestOverloadIsGivenBackInProportion(t *testing.T) {
	s := newSite(1)
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

func TestFullGroupsStillTakeStreamsThatHaveBegun(t *testing.T) {
	s := newSite(1)
	s.now = s.now.Add(time.Second)
	s.report(vmID(0, 0), 26)
	_, refusal := s.pick(1)
	assert.Assert(t, refusal != nil)
	_, refusal = s.table.Pick(s.now, Query{Service: "llm", Model: "m", Begun: true})
	assert.Assert(t, refusal == nil)
}

func TestLeastLoadedGroupIsChosen(t *testing.T) {
	s := newSite(2)
	s.now = s.now.Add(time.Second)
	s.report(vmID(0, 0), 20)
	s.report(vmID(1, 0), 5)
	ticket, refusal := s.pick(1)
	assert.Assert(t, refusal == nil)
	assert.Equal(t, ticket.Target.ID, vmID(1, 0))
}

func TestLostMemberEndsTheGroupsRequests(t *testing.T) {
	s := newSite(1)
	ticket, _ := s.pick(1)
	for range deadProbes {
		s.now = s.now.Add(200 * time.Millisecond)
		s.vms.RecordProbeFailure(s.now, vmID(0, 1))
	}
	lost := s.update()
	assert.DeepEqual(t, len(lost), 1)
	assert.Assert(t, lost[0] == ticket)
	_, refusal := s.pick(2)
	assert.Equal(t, refusal.Reason, NoTarget)
}

// A head that closes finishes its requests; a router cut them.
func TestClosingHeadKeepsItsRequests(t *testing.T) {
	s := newSite(1)
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

func TestEvacuatedDrainingAndUnlistedGetNothing(t *testing.T) {
	for name, leave := range map[string]func(s *site){
		"evacuated": func(s *site) {
			s.table.Update(s.now, s.vms, testCatalog(), map[string]bool{"dc-a": true})
		},
		"draining": func(s *site) {
			vm := s.vms.Get(vmID(0, 0))
			s.vms.ApplyRow(s.now, fleet.Row{
				ID: vm.ID, Service: "llm", Address: vm.Address, DataCentre: "dc-a", Slots: 26, Engine: true,
				Draining: true, State: vm.State,
			})
			s.update()
		},
		"unlisted": func(s *site) {
			s.vms.Unlist(s.now, vmID(0, 0))
			s.update()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(1)
			_, refusal := s.pick(1)
			assert.Assert(t, refusal == nil)
			leave(s)
			_, refusal = s.pick(2)
			assert.Equal(t, refusal.Reason, NoTarget)
		})
	}
}

// The bound holds over all nodes: each keeps to its part within any second.
func TestColdEndpointGetsItsRate(t *testing.T) {
	s := newSite(1)
	vm := s.vms.Get(vmID(0, 0))
	vm.ColdUntil = s.now.Add(time.Minute)
	s.table.targets[vm.ID].allowed = 1000
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

func TestRepeatsStayWithinTheBudget(t *testing.T) {
	s := newSite(1)
	for range 100 {
		s.table.CountRequest(s.now, "llm")
	}
	n := 0
	for s.table.TakeRepeat(s.now, "llm", false) {
		n++
	}
	assert.Assert(t, s.table.TakeRepeat(s.now, "llm", true), "a part is left to streams that have begun")
	for n++; s.table.TakeRepeat(s.now, "llm", true); {
		n++
	}
	assert.Assert(t, n > 0)
	assert.Assert(t, float64(4*n) <= 0.2*400+136, "%d repeats by each of 4 nodes", n)
	s.now = s.now.Add(11 * time.Second)
	assert.Assert(t, s.table.TakeRepeat(s.now, "llm", false), "the window has passed")
}

func TestFailingServerIsAvoidedForAWhile(t *testing.T) {
	s := newSite(0)
	for _, id := range []string{"s-1", "s-2"} {
		s.vms.ApplyRow(s.now, fleet.Row{ID: id, Service: "shop", Address: id, DataCentre: "dc-a", Slots: 6, State: fleet.State{Born: 1}})
	}
	s.update()
	for range avoidAfter {
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
	s.now = s.now.Add(avoidMost)
	_, refusal := s.table.Pick(s.now, Query{Service: "shop", Exclude: []string{"s-2"}})
	assert.Assert(t, refusal == nil, "it's tried again")
}

func TestSilentRequestsAreFound(t *testing.T) {
	s := newSite(1)
	ticket, _ := s.pick(1)
	s.now = s.now.Add(time.Second)
	assert.Equal(t, len(s.table.Stalled(s.now, 500*time.Millisecond, time.Second)), 1)
	assert.Equal(t, len(s.table.Silent(s.now, time.Second, 2*time.Second)), 0)
	ticket.Begun = true
	assert.Equal(t, len(s.table.Silent(s.now, time.Second, 2*time.Second)), 1)
}

// Load: several nodes choose among groups by reports that are half a second
// old. They must not all fill the same one.
func TestNodesWithOldReportsDoNotSwing(t *testing.T) {
	const groups, nodes, perReport = 6, 4, 60
	var all []*site
	for range nodes {
		all = append(all, newSite(groups))
	}
	// One group has just opened and is empty, the others run half of what
	// they can.
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

// However many nodes there are, together they keep to what a cold endpoint
// bears in a second, and use most of it.
func TestNodesShareWhatAColdEndpointBears(t *testing.T) {
	const bears = 59 // 36 times the overage of 1.5, and the slack of 5
	for _, nodes := range []int{1, 4, 32, 300} {
		sent := 0
		for rank := range nodes + 1 { // one is not listed yet
			s := newSite(1)
			s.table.SetNodes(nodes, rank)
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
		assert.Assert(t, sent <= bears, "%d nodes send %d", nodes, sent)
		assert.Assert(t, sent >= bears*3/4, "%d nodes send %d", nodes, sent)
	}
}

func TestColdEndpointWaitsUntilTheNodesAreKnown(t *testing.T) {
	s := newSite(1)
	s.table = New(testOptions())
	s.vms.Get(vmID(0, 0)).ColdUntil = s.now.Add(10 * time.Second)
	s.update()
	_, refusal := s.pick(0)
	assert.Equal(t, refusal.Reason, AllCold)
}

// Many nodes that fill the free places of one head between two reports send it
// about what it has free, not one request each.
func TestNodesShareFreePlaces(t *testing.T) {
	for _, nodes := range []int{4, 32, 300} {
		sent := 0
		const heads, slots, running = 20, 26, 20
		for rank := range nodes {
			s := newSite(heads)
			s.table.SetNodes(nodes, rank)
			s.now = s.now.Add(time.Second)
			for g := range heads {
				s.report(vmID(g, 0), running)
			}
			sent += s.picks()
		}
		free := heads * (slots - running)
		assert.Assert(t, sent <= 2*free && sent >= free, "%d nodes send %d for %d free places", nodes, sent, free)
	}
}

func (s *site) change(id string, change func(*fleet.Row)) {
	vm := s.vms.Get(id)
	row := fleet.Row{
		ID: id, Service: vm.Service, Address: vm.Address, DataCentre: vm.DataCentre, Slots: vm.Slots,
		Release: vm.Release, Engine: true, State: vm.State,
	}
	change(&row)
	s.vms.ApplyRow(s.now, row)
	s.update()
}

// A group with a VM that is about to end gets no requests while others have
// room.
func TestLeavingGroupsComeLast(t *testing.T) {
	s := newSite(2)
	s.change(vmID(0, 1), func(r *fleet.Row) { r.Draining = true })
	for draw := range 4 {
		ticket, refusal := s.pick(draw)
		assert.Assert(t, refusal == nil)
		assert.Equal(t, ticket.Target.ID, vmID(1, 0))
	}
}

// A stream that has lost an endpoint goes on where the next release has been
// rolled out, since the others are soon replaced.
func TestRepeatGoesWhereNothingIsReplaced(t *testing.T) {
	for draw := range 50 {
		s := newSite(3)
		s.change(vmID(2, 0), func(r *fleet.Row) { r.Release, r.Born = "v2", 2 })
		s.change(vmID(2, 1), func(r *fleet.Row) { r.Release, r.Born = "v2", 2 })
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
		after func(*site)
		want  bool
	}{
		{"serving", func(*site) {}, false},
		{"silent but listed", func(s *site) { s.silence(vmID(0, 0)) }, false},
		{"no longer listed but answering", func(s *site) { s.vms.Unlist(s.now, vmID(0, 0)) }, false},
		{"neither listed nor answering", func(s *site) { s.vms.Unlist(s.now, vmID(0, 0)); s.silence(vmID(0, 0)) }, true},
		{"started again", func(s *site) { s.change(vmID(0, 0), func(r *fleet.Row) { r.Born = 2 }) }, true},
		{"member started again", func(s *site) { s.change(vmID(0, 1), func(r *fleet.Row) { r.Born = 2 }) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSite(1)
			ticket, refusal := s.pick(0)
			assert.Assert(t, refusal == nil)
			tt.after(s)
			s.update()
			assert.Equal(t, s.table.Ended(ticket), tt.want)
		})
	}
}

func (s *site) silence(id string) {
	for range deadProbes {
		s.now = s.now.Add(time.Second)
		s.vms.RecordProbeFailure(s.now, id)
	}
}

// A request that was just sent says nothing of whether a group stands still.
func TestNewRequestsDoNotHideThatAGroupStandsStill(t *testing.T) {
	s := newSite(1)
	begun, _ := s.pick(1)
	s.table.RecordProgress(s.now, begun)
	s.now = s.now.Add(550 * time.Millisecond)
	s.pick(2)
	assert.DeepEqual(t, s.table.Stalled(s.now, 500*time.Millisecond, time.Second), []string{vmID(0, 0)})
	s.table.RecordProgress(s.now, begun)
	assert.Equal(t, len(s.table.Stalled(s.now, 500*time.Millisecond, time.Second)), 0)
}

// Load: many nodes with hardly a request each at a group. One that waits for
// its turn is no sign that the group stands still.
func TestRequestThatWaitsForItsTurnIsNoStall(t *testing.T) {
	s := newSite(1)
	s.pick(1)
	s.now = s.now.Add(700 * time.Millisecond)
	assert.Equal(t, len(s.table.Stalled(s.now, 500*time.Millisecond, time.Second)), 0)
	s.now = s.now.Add(300 * time.Millisecond)
	assert.Equal(t, len(s.table.Stalled(s.now, 500*time.Millisecond, time.Second)), 1)
}

// Load: each of many nodes has hardly a request at each group. What speaks
// against a group must not be lost beside the weight of one request, which
// grows with the nodes.
func TestAversionsHoldWithManyNodes(t *testing.T) {
	for name, change := range map[string]func(*fleet.Row){
		"of another data centre": func(r *fleet.Row) { r.DataCentre = "dc-b" },
		"about to end":           func(r *fleet.Row) { r.Draining = true },
	} {
		for _, nodes := range []int{37, 300} {
			s := newSite(4)
			s.table.SetNodes(nodes, 0)
			for g := range 2 {
				rank := 0
				if name == "about to end" {
					rank = 1 // the group's head goes on for a while
				}
				s.change(vmID(g, rank), change)
			}
			for i := range 4 {
				ticket, refusal := s.pick(i * 7919)
				assert.Assert(t, refusal == nil)
				averse := ticket.Target.ID == vmID(0, 0) || ticket.Target.ID == vmID(1, 0)
				first := i < 2
				assert.Assert(t, !first || !averse, "%s, %d nodes: request %d went to %s", name, nodes, i, ticket.Target.ID)
			}
		}
	}
}
