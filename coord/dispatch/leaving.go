package dispatch

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// newestReleases returns the release of the most recently started listed VM of
// each service.
func newestReleases(vms *fleet.Table) map[string]string {
	newest := make(map[string]*fleet.VM)
	var newestOfService *fleet.VM // newest VM of the previous VM's service
	for _, vm := range vms.All() {
		if newestOfService == nil || newestOfService.Service != vm.Service {
			newestOfService = newest[vm.Service]
		}
		if vm.Listed && (newestOfService == nil || vm.Born > newestOfService.Born) {
			newestOfService = vm
			newest[vm.Service] = vm
		}
	}
	releases := make(map[string]string, len(newest))
	for service, vm := range newest {
		releases[service] = vm.Release
	}
	return releases
}

// predictLoss updates the flags that mark a target as likely to be lost soon.
// members are the VMs of the VM's group; they are ignored for a plain VM.
func (t *Target) predictLoss(now time.Time, vm *fleet.VM, members []*fleet.VM, newest string) {
	t.leaving, t.outdated = false, false
	if vm.Group == "" {
		members = []*fleet.VM{vm}
	}
	for _, m := range members {
		t.leaving = t.leaving || m.Departing() || !m.Listed && now.Sub(m.ListedAt) < unlistedStopTime
		t.outdated = t.outdated || m.Release != newest
	}
}

// unlistedStopTime is how long a VM that is shutting down may still answer after
// the platform has removed it from its list. A VM that answers for longer has
// only lost its connection to the platform.
const unlistedStopTime = 5 * time.Second

// Ended reports whether the VM that received a request has stopped or
// restarted, so that the request is certainly no longer running there. A VM
// that merely does not answer may still be running it.
func (t *Table) Ended(ticket *Ticket) bool {
	if t.vms == nil {
		return false
	}
	target := ticket.Target
	vm := t.vms.Get(target.ID)
	return vm == nil || vm.Born != ticket.born || !vm.Listed && vm.FailedProbes >= deadProbes
}
