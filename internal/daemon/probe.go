package daemon

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/budget"
	"github.com/pimentoshore/pimentoshore/coord/group"
	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/member"
)

// probe asks the VMs in this node's care for their reports. mu is held.
func (n *Node) probe(now time.Time) {
	for _, vm := range n.probed(now) {
		if n.probing[vm.Name] {
			continue
		}
		n.probing[vm.Name] = true
		n.spawn(func(ctx context.Context) { n.probeOne(ctx, vm.Name, vm.Address) })
	}
}

// probed lists the VMs that this node probes: the coordinator all of its data
// centre, a home node those of its endpoints. mu is held.
func (n *Node) probed(now time.Time) []*inventory.VM {
	if n.index.doc == nil {
		return nil
	}
	_, coordinating := n.lease.Held(now)
	wanted := map[string]bool{}
	for id, p := range n.groups.byID {
		if n.mayServe(now, id, n.vmDataCentre(p.Group.Members)) {
			for _, vm := range p.Group.Members {
				wanted[vm] = true
			}
		}
	}
	var vms []*inventory.VM
	for i := range n.index.doc.VMs {
		vm := &n.index.doc.VMs[i]
		switch {
		case vm.Role == inventory.RoleEntry:
		case coordinating && vm.DataCentre == n.set.DataCentre, wanted[vm.Name]:
			vms = append(vms, vm)
		case vm.Role == inventory.RoleService && n.mayServe(now, vm.Name, vm.DataCentre):
			vms = append(vms, vm)
		}
	}
	return vms
}

// mayServe reports whether this node holds or may soon hold a share of an
// endpoint. mu is held.
func (n *Node) mayServe(now time.Time, endpointName, dataCentre string) bool {
	if n.shares.State(endpointName).Limit > 0 {
		return true
	}
	if dataCentre != n.set.DataCentre {
		return false
	}
	return slices.Contains(budget.Homes(endpointName, n.liveLocal(now), budget.DefaultHomes), n.set.VM)
}

func (n *Node) liveLocal(now time.Time) []string {
	var names []string
	for _, node := range n.gossip.Live(now, n.set.DataCentre) {
		names = append(names, node.VM)
	}
	return names
}

func (n *Node) probeOne(ctx context.Context, vm, address string) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, n.set.Intervals.ReportTTL)
	defer cancel()
	report, err := n.prober.Report(ctx, address)
	n.locked(func(now time.Time) {
		delete(n.probing, vm)
		switch {
		case err == nil && report.VM == vm:
			n.observe(now, sent, report)
		case errors.Is(err, syscall.ECONNREFUSED):
			n.reports.Refused(sent, vm)
			n.stepManager(now, group.ProbeRefused{VM: vm, SentAt: sent})
		}
	})
}

// observe takes in a report. mu is held.
func (n *Node) observe(now, sent time.Time, r member.Report) {
	n.reports.Observe(sent, r)
	n.observeIncarnation(now, r)
	n.stepManager(now, group.Reported{Report: r, SentAt: sent})
}

// fresh reports whether a VM's last report is recent. mu is held.
func (n *Node) fresh(now time.Time, vm string) bool {
	_, sent, ok := n.reports.Report(vm)
	return ok && now.Sub(sent) < n.set.Intervals.ReportTTL
}

func (n *Node) vmDataCentre(members []string) string {
	if len(members) == 0 {
		return ""
	}
	vm, ok := n.index.vms[members[0]]
	if !ok {
		return ""
	}
	return vm.DataCentre
}
