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
