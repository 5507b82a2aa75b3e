package fleet

import (
	"cmp"
	"slices"
	"time"
)

// MaxStaleRow is the longest time for which the platform keeps the row of a VM that has
// ended. It exceeds three heartbeats.
const MaxStaleRow = 8 * time.Second

// addressClaims decides which VM holds an address that several rows name. The address
// of a VM that has ended may be given to another one while the row of the first is
// still there, so the latest start holds it. Rows may be false, too: those of services
// that no configuration names claim nothing, and a VM whose row is still there when
// that of an ended one would be gone has its address, whatever others claim.
//
// A VM that doesn't hold its address has no Address and isn't Listed. It is again once
// the reason is gone, without a change of its own row.
type addressClaims struct {
	// isNamed reports whether a configuration names a service; nil means all.
	isNamed func(service string) bool
	// uses is the number of VMs whose newest row has an address.
	uses map[string]int
	// changes are those since the last call of AddressChanges.
	changes []AddressChange
}

// AddressChange says that a VM lost its address to another one, or has it again.
type AddressChange struct {
	VM, Address string
	// Holder is the VM that has the address now, or empty if there is none.
	Holder string
}

// AddressChanges returns the changes since the last call.
func (t *Table) AddressChanges() []AddressChange {
	out := t.claims.changes
	t.claims.changes = nil
	return out
}

// SetServices sets the function that reports whether the configuration in force names
// a service.
func (t *Table) SetServices(now time.Time, isNamed func(service string) bool) {
	t.claims.isNamed = isNamed
	for address, uses := range t.claims.uses {
		if uses > 1 {
			t.settleAddress(now, address, nil)
		}
	}
}

// isNamed reports whether the configuration names the VM's service.
func (t *Table) isNamed(vm *VM) bool {
	return t.claims.isNamed == nil || t.claims.isNamed(vm.Service)
}

// setRowAddress records the address of a VM's newest row. An empty one is that of a VM
// that is forgotten.
func (t *Table) setRowAddress(vm *VM, address string) {
	if vm.rowAddress == address {
		return
	}
	if t.claims.uses[vm.rowAddress]--; t.claims.uses[vm.rowAddress] <= 0 {
		delete(t.claims.uses, vm.rowAddress)
	}
	vm.rowAddress, vm.displacedAt, vm.keepsAddress = address, time.Time{}, false
	if address != "" {
		t.claims.uses[address]++
	}
}

// settleAddress decides which VM holds an address. newest is the VM whose row has just
// been applied, or nil.
func (t *Table) settleAddress(now time.Time, address string, newest *VM) {
	var claimants []*VM
	for _, vm := range t.list {
		if vm.rowAddress == address {
			claimants = append(claimants, vm)
		}
	}
	holder := t.addressHolder(claimants, newest)
	for _, vm := range claimants {
		ended := !vm.Registered && holder != nil && vm.rowBorn <= holder.rowBorn
		displaced := holder != nil && vm != holder && t.isNamed(vm) && (vm.Registered || ended)
		if displaced == !vm.displacedAt.IsZero() {
			continue
		}
		t.setDisplaced(now, vm, displaced)
		change := AddressChange{VM: vm.ID, Address: address}
		if holder != nil {
			change.Holder = holder.ID
		}
		t.claims.changes = append(t.claims.changes, change)
	}
}

// addressHolder returns the VM that holds the address of all claimants, or nil if no
// registered one of a named service claims it.
func (t *Table) addressHolder(claimants []*VM, newest *VM) *VM {
	var holder *VM
	for _, vm := range claimants {
		if !vm.Registered || !t.isNamed(vm) {
			continue
		}
		if holder == nil || compareClaims(vm, holder, newest) > 0 {
			holder = vm
		}
	}
	return holder
}

// compareClaims returns a positive number if a rather than b holds the address that
// both claim.
func compareClaims(a, b, newest *VM) int {
	return cmp.Or(
		compareBool(a.keepsAddress, b.keepsAddress), cmp.Compare(a.rowBorn, b.rowBorn),
		compareBool(a == newest, b == newest), compareBool(a.displacedAt.IsZero(), b.displacedAt.IsZero()),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// setDisplaced records whether another VM holds a VM's address.
func (t *Table) setDisplaced(now time.Time, vm *VM, displaced bool) {
	t.changes++
	if displaced {
		vm.displacedAt, vm.Address = now, ""
		vm.setListed(now, false)
		return
	}
	vm.displacedAt, vm.Address = time.Time{}, vm.rowAddress
	vm.setListed(now, vm.Registered)
}

// setListed records whether the VM is listed.
func (vm *VM) setListed(now time.Time, listed bool) {
	if vm.Listed != listed {
		vm.Listed, vm.ListedAt = listed, now
	}
}

// KeepAddresses gives their addresses back to the VMs that are still registered although
// another one claimed their address so long ago that the rows of ended ones are gone. The
// list is certain to match the platform's as of the given time, and was without a gap for
// MaxStaleRow before.
func (t *Table) KeepAddresses(now, asOf time.Time) {
	for _, vm := range t.list {
		if vm.displacedAt.IsZero() || !vm.Registered || asOf.Sub(vm.displacedAt) < MaxStaleRow || t.hasKeptAddress(vm.rowAddress) {
			continue
		}
		vm.keepsAddress = true
		t.settleAddress(now, vm.rowAddress, nil)
	}
}

// hasKeptAddress reports whether a VM is certain to have an address.
func (t *Table) hasKeptAddress(address string) bool {
	return slices.ContainsFunc(t.list, func(vm *VM) bool { return vm.keepsAddress && vm.rowAddress == address })
}
