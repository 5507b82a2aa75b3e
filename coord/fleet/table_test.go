package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func row(id, address string, born int64) Row {
	return Row{ID: id, Service: "llm", Address: address, DataCentre: "dc", Engine: true, State: State{Born: born}}
}

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func TestReportsGoBeforeRows(t *testing.T) {
	table := NewTable()
	r := row("i-1", "a", 1)
	table.ApplyRow(at(0), r)
	table.ApplyReport(at(1), at(1), "i-1", Report{State: State{Born: 1, Orders: 3, Membership: Membership{Group: "g", Stage: Open}}})
	r.Membership = Membership{Group: "g", Stage: Ready}
	table.ApplyRow(at(1.5), r)
	assert.Equal(t, table.Get("i-1").Stage, Open)

	table.ApplyRow(at(4), r)
	assert.Equal(t, table.Get("i-1").Stage, Ready)
	assert.Equal(t, table.Get("i-1").Orders, uint64(3), "a row tells no orders")
}

func TestRestartForgets(t *testing.T) {
	table := NewTable()
	table.ApplyRow(at(0), row("i-1", "a", 1))
	table.ApplyReport(at(1), at(1), "i-1", Report{State: State{Born: 1, Orders: 3, Model: "m"}})
	assert.Assert(t, table.ApplyRow(at(2), row("i-1", "a", 2)))
	vm := table.Get("i-1")
	assert.Equal(t, vm.Orders, uint64(0))
	assert.Equal(t, vm.Model, "")
	assert.Assert(t, vm.ReportedAt.IsZero())

	table.ApplyReport(at(3), at(3), "i-1", Report{State: State{Born: 1, Orders: 3}})
	assert.Equal(t, vm.Orders, uint64(0), "a report of the earlier start came late")
}

// A VM that took over the address of a lost group member answered its probes,
// and looked like that member's restart.
func TestAddressEndsWithItsNextVM(t *testing.T) {
	table := NewTable()
	table.ApplyRow(at(0), row("i-1", "a", 1))
	table.ApplyRow(at(5), row("i-2", "a", 2))
	assert.Equal(t, table.Get("i-1").Address, "")
	assert.Assert(t, !table.Get("i-1").Listed)
	assert.Assert(t, table.Get("i-2").Listed)
}

// Servers that came back under other IDs at their old addresses were joined
// under the old ones, and refused.
func TestReportOfUnknownStartIsNotTheVMs(t *testing.T) {
	table := NewTable()
	table.ApplyRow(at(0), row("i-1", "a", 1))
	table.ApplyReport(at(1), at(1), "i-1", Report{State: State{Born: 1, Orders: 3, Model: "m"}})
	for s := range 3 {
		table.ApplyReport(at(2+float64(s)), at(2+float64(s)), "i-1", Report{State: State{Born: 9}})
	}
	vm := table.Get("i-1")
	assert.Assert(t, vm.ReportedAt.IsZero())
	assert.Equal(t, vm.Orders, uint64(0))
	assert.Equal(t, vm.FailedProbes, 3)
	assert.Equal(t, vm.Born, int64(9), "the earlier start has ended")

	table.ApplyRow(at(6), row("i-1", "a", 9))
	table.ApplyReport(at(7), at(7), "i-1", Report{State: State{Born: 9, Orders: 1}})
	assert.Equal(t, vm.Orders, uint64(1), "the row tells that it is the VM")
	assert.Equal(t, vm.FailedProbes, 0)
}

func TestOldReportsAndFailuresAreIgnored(t *testing.T) {
	table := NewTable()
	table.ApplyRow(at(0), row("i-1", "a", 1))
	table.ApplyReport(at(2), at(2), "i-1", Report{State: State{Born: 1, Orders: 2}})
	table.ApplyReport(at(1), at(1), "i-1", Report{State: State{Born: 1, Orders: 1}})
	table.RecordProbeFailure(at(1), "i-1")
	vm := table.Get("i-1")
	assert.Equal(t, vm.Orders, uint64(2))
	assert.Equal(t, vm.FailedProbes, 0)

	table.RecordProbeFailure(at(3), "i-1")
	table.RecordProbeFailure(at(4), "i-1")
	assert.Equal(t, vm.FailedProbes, 2)
	assert.Equal(t, vm.FailedSince, at(3))
}

func TestSweepDropsLongUnlistedVMs(t *testing.T) {
	table := NewTable()
	table.ApplyRow(at(0), row("i-1", "a", 1))
	table.ApplyRow(at(0), row("i-2", "b", 1))
	table.Unlist(at(1), "i-1")
	table.Sweep(at(30))
	assert.Equal(t, len(table.All()), 2)
	table.Sweep(at(62))
	assert.Equal(t, len(table.All()), 1)
	assert.Assert(t, table.Get("i-1") == nil)
}
