package dispatch

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// setRow applies the row of a VM with some fields changed.
func (s *scenario) setRow(id string, change func(r *fleet.Row)) {
	vm := s.vms.Get(id)
	row := fleet.Row{ID: id, Service: vm.Service, Address: vm.Address, DataCentre: vm.DataCentre, Slots: vm.Slots, Engine: true, State: vm.State}
	change(&row)
	s.now = s.now.Add(2 * time.Second) // after the precedence of a report
	s.vms.ApplyRow(s.now, row)
}

// A report of an endpoint whose row had a negative number of slots ended the process:
// a division by the requests there, which were none.
func TestOddSlotsDoNotEndTheProcess(t *testing.T) {
	for _, slots := range []int{0, -1, math.MinInt, math.MaxInt, math.MaxInt / 2} {
		for _, running := range []int{0, 1, -1, math.MinInt, math.MaxInt} {
			s := newScenario(2)
			s.setRow(vmID(0, 0), func(r *fleet.Row) { r.Slots = slots })
			vm := s.vms.Get(vmID(0, 0))
			s.vms.ApplyReport(s.now, s.now, vm.ID, fleet.Report{State: vm.State, Load: fleet.Load{Running: running, Waiting: running, Pace: 1}})
			s.update()
			_, refusal := s.pick(1)
			assert.Assert(t, refusal == nil, "slots %d, %d running: %v", slots, running, refusal)
		}
	}
}

// A VM that named a group without having a place in it stood for a lost member, so
// that requests began at an incomplete group.
func TestVMWithoutAPlaceInAGroupIsNoMember(t *testing.T) {
	for _, rank := range []int{2, 1000, -1} {
		s := newScenario(1)
		s.vms.ApplyRow(s.now, fleet.Row{ID: "odd", Service: "llm", Address: "odd", DataCentre: "dc-a", Slots: 26, Engine: true, State: fleet.State{
			Born: 1, Model: "m", Membership: fleet.Membership{Group: "g0", Epoch: 1, Rank: rank, Stage: fleet.Ready},
		}})
		s.update()
		_, refusal := s.pick(1)
		assert.Assert(t, refusal == nil, "rank %d: %v", rank, refusal)
		s.vms.RecordProbeFailure(s.now, "odd")
		s.vms.RecordProbeFailure(s.now, "odd")
		s.now = s.now.Add(time.Second)
		losses := s.update()
		assert.Equal(t, len(losses), 0, "rank %d: the group lost its requests", rank)

		s.setRow(vmID(0, 1), func(r *fleet.Row) { r.Membership = fleet.Membership{} })
		s.update()
		_, refusal = s.pick(1)
		assert.Assert(t, refusal != nil, "rank %d: a request began at an incomplete group", rank)
	}
}

// A VM that named the place of another one stood for a lost member, too.
func TestPlaceThatTwoVMsNameCountsOnce(t *testing.T) {
	s := newScenario(1)
	s.setRow(vmID(0, 1), func(r *fleet.Row) { r.Rank = 0; r.Stage = fleet.Ready })
	s.update()
	_, refusal := s.pick(1)
	assert.Assert(t, refusal != nil, "a request began at an incomplete group")
}

// A configuration with smaller groups must not hide that a running group has lost a
// VM.
func TestSmallerGroupSizeKeepsMembersOfRunningGroups(t *testing.T) {
	s := newScenario(1)
	cat := testCatalog()
	cat.Service("llm").Engine.Models[0].GroupSize = 1
	assert.Equal(t, len(s.table.Update(s.now, s.vms, cat, nil)), 0)
	_, refusal := s.pick(1)
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.DeepEqual(t, s.table.Members(vmID(0, 0)), []string{vmID(0, 0), vmID(0, 1)})
	s.vms.RecordProbeFailure(s.now, vmID(0, 1))
	s.vms.RecordProbeFailure(s.now, vmID(0, 1))
	assert.Equal(t, len(s.table.Update(s.now, s.vms, cat, nil)), 1)
}
