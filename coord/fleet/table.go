package fleet

import (
	"slices"
	"strings"
	"time"
)

// reportPrecedence is how long a report's state takes precedence over that of a
// row, since a row that arrives after the report may have been written before
// it. A row of a newer group was certainly written after the report.
const reportPrecedence = 1500 * time.Millisecond

// unlistedRetention is how long a VM is kept after the platform stopped listing
// it.
const unlistedRetention = 60 * time.Second

// earlierStartDelay is how long the newest row of a VM may name an earlier start than
// the row before it until it is believed. The last row of an earlier start may arrive
// late, but then one of the later start follows.
const earlierStartDelay = 10 * time.Second

// Table contains the VMs known to one node.
type Table struct {
	vms  map[string]*VM
	list []*VM // sorted by ID
	// changes counts the changes to the table.
	changes uint64
	claims  addressClaims
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{vms: make(map[string]*VM), claims: addressClaims{uses: make(map[string]int)}}
}

// Changes returns a number that increases with every change to the table.
func (t *Table) Changes() uint64 { return t.changes }

// Get returns the VM with the given ID, or nil.
func (t *Table) Get(id string) *VM { return t.vms[id] }

// All returns the VMs sorted by ID. The caller must not change the slice.
func (t *Table) All() []*VM { return t.list }

// Listed returns the number of VMs that the platform lists.
func (t *Table) Listed() int {
	n := 0
	for _, vm := range t.list {
		if vm.Listed {
			n++
		}
	}
	return n
}

// ApplyRow applies a row of the platform's list. It reports whether the VM is new
// or has restarted.
func (t *Table) ApplyRow(now time.Time, row Row) bool {
	t.changes++
	vm := t.vms[row.ID]
	if vm == nil {
		vm = &VM{ID: row.ID}
		t.vms[row.ID] = vm
		at, _ := slices.BinarySearchFunc(t.list, row.ID, func(v *VM, id string) int { return strings.Compare(v.ID, id) })
		t.list = slices.Insert(t.list, at, vm)
	}
	if row.Born < vm.Born && (vm.Registered || row.Born <= 0) {
		vm.deferEarlier(now, row)
		return false
	}
	vm.earlier = nil
	restarted := row.Born != vm.Born // also if the VM is listed again after its clock was set back
	if restarted {
		vm.resetState()
		vm.Born = row.Born
	}
	vm.Release, vm.rowBorn = row.Release, row.Born
	t.register(now, vm, row, restarted)
	vm.DataCentre, vm.Slots = row.DataCentre, row.Slots
	vm.Draining, vm.Engine = row.Draining, row.Engine
	if vm.Listed {
		vm.ListedAt = now
	}
	vm.applyRowColdLeft(now, row.ColdLeft, restarted)
	row.Orders = vm.Orders
	newerGroup := vm.Epoch > 0 && row.Epoch > vm.Epoch
	if now.Sub(vm.ReportedAt) > reportPrecedence || newerGroup {
		vm.setState(row.State)
		vm.pendingState = nil
	} else {
		vm.pendingState = &row.State
	}
	return restarted
}

// deferEarlier keeps a row of an earlier start than the newest known one, if a row has
// shown that one.
func (vm *VM) deferEarlier(now time.Time, row Row) {
	if row.Born <= 0 || vm.Born != vm.rowBorn {
		return
	}
	since := now
	if vm.earlier != nil {
		since = vm.earlier.since
	}
	vm.earlier = &earlierRow{Row: row, since: since}
}

// applyEarlier applies the newest row of a VM if it has named an earlier start than
// the row before it for earlierStartDelay, in which the later start has not answered.
// That row was wrong, or the VM's clock was set back.
func (t *Table) applyEarlier(now time.Time, vm *VM) {
	e := vm.earlier
	if e == nil || now.Sub(e.since) < earlierStartDelay {
		return
	}
	vm.earlier = nil
	if !vm.Registered || vm.Born != vm.rowBorn || vm.ReportedAt.After(e.since) {
		return
	}
	vm.resetState()
	vm.Born = e.Born
	t.ApplyRow(now, e.Row)
}

// register records that the platform has a row of a VM, and decides which VMs hold the
// addresses of this row and of the one before.
func (t *Table) register(now time.Time, vm *VM, row Row, restarted bool) {
	before := vm.rowAddress
	sameClaim := vm.Registered && !restarted && before == row.Address && vm.Service == row.Service
	if restarted {
		vm.keepsAddress = false
	}
	vm.Registered, vm.Service = true, row.Service
	t.setRowAddress(vm, row.Address)
	if vm.displacedAt.IsZero() {
		vm.Listed, vm.Address = true, row.Address
	}
	if sameClaim {
		return
	}
	if before != row.Address && t.claims.uses[before] > 0 {
		t.settleAddress(now, before, nil)
	}
	if t.claims.uses[row.Address] > 1 || !vm.displacedAt.IsZero() {
		t.settleAddress(now, row.Address, vm)
	}
}

// resetState clears what was known about an earlier start.
func (vm *VM) resetState() {
	vm.State = State{Domain: vm.Domain}
	vm.Load = Load{}
	vm.LoadedModel = ""
	vm.pendingState = nil
	vm.ReportedAt = time.Time{}
	vm.FailedProbes, vm.Refused = 0, false
	vm.Leaving, vm.LeavingAt = false, time.Time{}
	vm.Limit = Limit{}
	vm.ColdSaidAt, vm.WarmSaidAt = time.Time{}, time.Time{}
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

// Unlist records that the platform no longer lists a VM.
func (t *Table) Unlist(now time.Time, id string) {
	vm := t.vms[id]
	if vm == nil || !vm.Registered {
		return
	}
	vm.Registered, vm.keepsAddress = false, false
	vm.setListed(now, false)
	vm.earlier = nil
	t.changes++
	if t.claims.uses[vm.rowAddress] > 1 {
		t.settleAddress(now, vm.rowAddress, nil)
	}
}

// ApplyReport applies the answer, received now, to a probe that was sent at sent.
// Reports don't name their VM. A report of a start that no row has shown proves
// that the earlier start has ended, but it may come from another VM that now has
// the address, so it counts as a failed probe.
func (t *Table) ApplyReport(now, sent time.Time, id string, r Report) {
	vm := t.vms[id]
	if vm == nil || sent.Before(vm.ReportedAt) || r.Born < vm.Born {
		return
	}
	t.changes++
	if r.Born > vm.Born {
		vm.resetState()
		vm.Born = r.Born
	}
	if r.Born != vm.rowBorn {
		t.RecordProbeFailure(sent, id) // another VM may have the address now
		return
	}
	vm.ReportedAt, vm.ReceivedAt = sent, now
	vm.pendingState = nil
	vm.FailedProbes, vm.Refused = 0, false
	vm.Load = r.Load
	vm.setState(r.State)
	if r.Warmth != nil {
		t.ApplyWarmth(now, sent, id, r.Born, *r.Warmth)
	}
	if r.Leaving {
		t.MarkLeaving(now, id, r.Born)
	}
}

// MarkLeaving records that a start of a VM has announced in an answer that it is
// leaving. This lasts until the VM restarts. MarkLeaving reports whether it was
// not recorded before.
func (t *Table) MarkLeaving(now time.Time, id string, born int64) bool {
	vm := t.vms[id]
	if vm == nil || vm.Born != born || vm.Leaving {
		return false
	}
	vm.Leaving, vm.LeavingAt = true, now
	t.changes++
	return true
}

// SetLimit records the limit that a start of a VM named in an answer which arrived
// at the given time, 0 for none. Answers that arrived before the newest known one
// are ignored. SetLimit reports whether the limit has changed.
func (t *Table) SetLimit(now, at time.Time, id string, born int64, perSecond float64) bool {
	vm := t.vms[id]
	if vm == nil || vm.Born != born || at.Before(vm.Limit.At) {
		return false
	}
	l := &vm.Limit
	l.At = at
	changed := l.PerSecond != perSecond
	if changed || perSecond > 0 && at.Sub(l.publishedAt) >= limitRefresh {
		l.PerSecond, l.ChangedAt, l.publishedAt = perSecond, now, at
	}
	return changed
}

// ApplyRelayed applies a report that another node received from a VM. It is
// ignored while this node's own probes of the VM fail.
func (t *Table) ApplyRelayed(now, sent time.Time, id string, r Report) {
	vm := t.vms[id]
	if vm == nil || vm.FailedProbes > 0 || r.Born != vm.rowBorn {
		return
	}
	t.ApplyReport(now, sent, id, r)
}

// RecordProbeFailure records a probe without an answer.
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

// RecordRefusal records that the host of a start of a VM has refused a connection.
func (t *Table) RecordRefusal(id string, born int64) {
	vm := t.vms[id]
	if vm == nil || vm.Born != born {
		return
	}
	vm.Refused = true
}

// Sweep removes VMs that have been unlisted and have not answered for
// unlistedRetention. It also applies rows that arrived shortly after a report, once
// that report's precedence has ended, and rows of earlier starts after
// earlierStartDelay, because an unchanged row is not sent again.
func (t *Table) Sweep(now time.Time) {
	for _, vm := range t.list {
		t.applyEarlier(now, vm)
		if vm.pendingState != nil && now.Sub(vm.ReportedAt) > reportPrecedence {
			vm.setState(*vm.pendingState)
			vm.pendingState = nil
			t.changes++
		}
	}
	t.list = slices.DeleteFunc(t.list, func(vm *VM) bool {
		drop := !vm.Registered && now.Sub(vm.ListedAt) > unlistedRetention && now.Sub(vm.ReportedAt) > unlistedRetention
		if drop {
			delete(t.vms, vm.ID)
			t.setRowAddress(vm, "")
			t.changes++
		}
		return drop
	})
}
