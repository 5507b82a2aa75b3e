package dispatch

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
	"github.com/pimentoshore/pimentoshore/coord/quarantine"
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

// RunsOf returns the starts of the VMs that serve the request of a ticket: of the
// one that received it, and of the other members of its group. It returns nil if
// one of them is about to stop.
func (t *Table) RunsOf(ticket *Ticket) []quarantine.Start {
	if t.vms == nil {
		return nil
	}
	target := ticket.Target
	runs := []quarantine.Start{{VM: target.ID, Born: ticket.born}}
	if vm := t.vms.Get(target.ID); vm == nil || vm.Departing() {
		return nil
	}
	for _, id := range target.Members {
		vm := t.vms.Get(id)
		if vm == nil || id == target.ID {
			continue
		}
		if vm.Departing() {
			return nil
		}
		runs = append(runs, quarantine.Start{VM: id, Born: vm.Born})
	}
	return runs
}

// RecordRefusal records that the endpoint of a ticket refused a connection.
func (t *Table) RecordRefusal(ticket *Ticket) {
	if t.vms != nil {
		t.vms.RecordRefusal(ticket.Target.ID, ticket.born)
	}
}
