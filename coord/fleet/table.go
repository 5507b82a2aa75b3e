package fleet

import (
	"slices"
	"strings"
	"time"
)

// reportPreferred is how long a report's state goes before that of a row,
// which may have been written earlier than it arrived. A row of a newer group
// was certainly written later.
const reportPreferred = 1500 * time.Millisecond

// unlistedKept is how long a VM is kept that the platform no longer lists.
const unlistedKept = 60 * time.Second

// Table holds the VMs that one node knows.
type Table struct {
	vms  map[string]*VM
	list []*VM // by ID
	// changes counts what was taken in.
	changes uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{vms: make(map[string]*VM)} }

// Changes returns a number that grows with whatever the table takes in.
func (t *Table) Changes() uint64 { return t.changes }

// Get returns the VM of that ID, or nil.
func (t *Table) Get(id string) *VM { return t.vms[id] }

// All returns the VMs by ID. The caller must not change the slice.
func (t *Table) All() []*VM { return t.list }

// ApplyRow takes in a row of the platform's list. It reports whether the VM
// is new or has started again.
func (t *Table) ApplyRow(now time.Time, row Row) bool {
	t.changes++
	vm := t.vms[row.ID]
	if vm == nil {
		vm = &VM{ID: row.ID}
		t.vms[row.ID] = vm
		at, _ := slices.BinarySearchFunc(t.list, row.ID, func(v *VM, id string) int { return strings.Compare(v.ID, id) })
		t.list = slices.Insert(t.list, at, vm)
	}
	if row.Born < vm.Born {
		return false
	}
	restarted := row.Born > vm.Born
	if restarted {
		vm.restart()
		vm.Born = row.Born
	}
	if vm.Address != row.Address {
		t.takeAddress(now, row)
	}
	vm.Service, vm.Address, vm.DataCentre, vm.Slots = row.Service, row.Address, row.DataCentre, row.Slots
	vm.Release, vm.rowBorn = row.Release, row.Born
	vm.Listed, vm.Draining, vm.Engine, vm.ListedAt = true, row.Draining, row.Engine, now
	if row.ColdLeft > 0 {
		vm.ColdUntil = now.Add(row.ColdLeft)
	}
	row.Orders = vm.Orders
	newerGroup := vm.Epoch > 0 && row.Epoch > vm.Epoch
	if now.Sub(vm.ReportedAt) > reportPreferred || newerGroup {
		vm.setState(row.State)
		vm.pending = nil
	} else {
		vm.pending = &row.State
	}
	return restarted
}

// takeAddress ends the VMs that had the address of a row before.
func (t *Table) takeAddress(now time.Time, row Row) {
	for _, other := range t.list {
		if other.ID != row.ID && other.Address == row.Address && other.Born <= row.Born {
			other.Address = ""
			t.Unlist(now, other.ID)
		}
	}
}

// restart forgets what was known of an earlier start.
func (vm *VM) restart() {
	vm.State = State{Domain: vm.Domain}
	vm.Load = Load{}
	vm.LoadedModel = ""
	vm.pending = nil
	vm.ReportedAt = time.Time{}
	vm.FailedProbes = 0
	vm.Leaving, vm.LeavingAt = false, time.Time{}
}

func (vm *VM) setState(s State) {
	if s.Domain == "" {
		s.Domain = vm.Domain
	}
	vm.State = s
	if s.Group != "" && s.Model != "" && s.Stage != Joining {
		vm.LoadedModel = s.Model
	}
}

// Unlist notes that the platform no longer lists a VM.
func (t *Table) Unlist(now time.Time, id string) {
	vm := t.vms[id]
	if vm == nil || !vm.Listed {
		return
	}
	vm.Listed = false
	vm.ListedAt = now
	t.changes++
}

// ApplyReport takes in, now, the answer to a probe that was sent at a time. Reports
// don't name their VM: one of a start that no row has told of shows that the
// earlier start has ended, but may be another VM's that has the address now.
func (t *Table) ApplyReport(now, sent time.Time, id string, r Report) {
	vm := t.vms[id]
	if vm == nil || sent.Before(vm.ReportedAt) || r.Born < vm.Born {
		return
	}
	t.changes++
	if r.Born > vm.Born {
		vm.restart()
		vm.Born = r.Born
	}
	if r.Born != vm.rowBorn {
		t.RecordProbeFailure(sent, id) // it may be another VM at the address
		return
	}
	vm.ReportedAt, vm.ReceivedAt = sent, now
	vm.pending = nil
	vm.FailedProbes = 0
	vm.Load = r.Load
	vm.setState(r.State)
	if r.Leaving {
		t.MarkLeaving(now, id, r.Born)
	}
}

// MarkLeaving notes that a start of a VM has said in an answer that it leaves,
// which holds until the VM starts again. It reports whether that is new.
func (t *Table) MarkLeaving(now time.Time, id string, born int64) bool {
	vm := t.vms[id]
	if vm == nil || vm.Born != born || vm.Leaving {
		return false
	}
	vm.Leaving, vm.LeavingAt = true, now
	t.changes++
	return true
}

// ApplyRelayed takes in a report that another node got from a VM. A VM that
// doesn't answer this node is judged by its own probes alone.
func (t *Table) ApplyRelayed(now, sent time.Time, id string, r Report) {
	vm := t.vms[id]
	if vm == nil || vm.FailedProbes > 0 || r.Born != vm.rowBorn {
		return
	}
	t.ApplyReport(now, sent, id, r)
}

// RecordProbeFailure notes a probe without an answer.
func (t *Table) RecordProbeFailure(sent time.Time, id string) {
	vm := t.vms[id]
	if vm == nil || sent.Before(vm.ReportedAt) {
		return
	}
	if vm.FailedProbes == 0 {
		vm.FailedSince = sent
	}
	vm.FailedProbes++
	t.changes++
}

// Sweep drops VMs that have been unlisted and silent for long, and lets rows
// hold that came shortly after a report: no other may come that says the same.
func (t *Table) Sweep(now time.Time) {
	for _, vm := range t.list {
		if vm.pending != nil && now.Sub(vm.ReportedAt) > reportPreferred {
			vm.setState(*vm.pending)
			vm.pending = nil
			t.changes++
		}
	}
	t.list = slices.DeleteFunc(t.list, func(vm *VM) bool {
		drop := !vm.Listed && now.Sub(vm.ListedAt) > unlistedKept && now.Sub(vm.ReportedAt) > unlistedKept
		if drop {
			delete(t.vms, vm.ID)
			t.changes++
		}
		return drop
	})
}
