package dispatch

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// newestReleases returns, by service, the release of the VM that started last.
func newestReleases(vms *fleet.Table) map[string]string {
	newest := make(map[string]*fleet.VM)
	var last *fleet.VM // the newest of the service that was looked at last
	for _, vm := range vms.All() {
		if last == nil || last.Service != vm.Service {
			last = newest[vm.Service]
		}
		if vm.Listed && (last == nil || vm.Born > last.Born) {
			last = vm
			newest[vm.Service] = vm
		}
	}
	releases := make(map[string]string, len(newest))
	for service, vm := range newest {
		releases[service] = vm.Release
	}
	return releases
}

// predictLoss notes what makes it likely that a target is soon lost. members are
// those of the VM's group, none for a plain VM.
func (t *Target) predictLoss(now time.Time, vm *fleet.VM, members []*fleet.VM, newest string) {
	t.leaving, t.outdated = false, false
	if vm.Group == "" {
		members = []*fleet.VM{vm}
	}
	for _, m := range members {
		t.leaving = t.leaving || m.Departing() || !m.Listed && now.Sub(m.ListedAt) < endsWithin
		t.outdated = t.outdated || m.Release != newest
	}
}

// endsWithin is how long after it was taken off the platform's list a VM that
// stops for good still answers. One that answers for longer has only lost touch
// with the platform.
const endsWithin = 5 * time.Second

// Ended reports whether the VM that got a request has ended, so that it
// certainly runs there no longer. A VM that is only silent may still run it.
func (t *Table) Ended(ticket *Ticket) bool {
	if t.vms == nil {
		return false
	}
	target := ticket.Target
	vm := t.vms.Get(target.ID)
	return vm == nil || vm.Born != ticket.born || !vm.Listed && vm.FailedProbes >= deadProbes
}
