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
	"github.com/pimentoshore/pimentoshore/coord/probe"
	"github.com/pimentoshore/pimentoshore/internal/settings"
)

// sightings is what a node's probes and those of others have seen.
type sightings struct {
	reports  *group.Reports
	seen     *probe.Table    // what this node's own probes have seen
	probing  map[string]bool // VMs with a probe under way
	followed map[string]*probe.Follower
	pulling  map[string]bool // probers with a pull under way
}

func newSightings(set settings.Settings, incarnation string) sightings {
	return sightings{
		reports: group.NewReports(group.Options{ReportTTL: set.Intervals.ReportTTL}),
		seen: probe.NewTable(probe.Options{
			Incarnation: incarnation, SilentAfter: set.Intervals.ReportTTL / 2,
		}),
		probing:  map[string]bool{},
		followed: map[string]*probe.Follower{},
		pulling:  map[string]bool{},
	}
}

// rounds says what this node probes itself and whom it asks for the rest.
type rounds struct {
	vms     []*inventory.VM
	probers map[string]bool
}

// probe asks the VMs in this node's care for their reports, and other nodes
// for what they have seen of those that concern it. mu is held.
func (n *Node) probe(now time.Time) {
	if n.index.doc == nil {
		return
	}
	r := n.divide(now)
	kept := map[string]bool{}
	for _, vm := range r.vms {
		kept[vm.Name] = true
		if !n.probing[vm.Name] {
			n.probing[vm.Name] = true
			n.spawn(func(ctx context.Context) { n.probeOne(ctx, vm.Name, vm.Address) })
		}
	}
	for _, vm := range n.seen.VMs() {
		if !kept[vm] {
			n.seen.Forget(vm)
		}
	}
	n.pullReports(r.probers)
}

// divide goes through the VMs that concern this node: on the coordinator all
// of its data centre, elsewhere those of the endpoints that it may serve. mu
// is held.
func (n *Node) divide(now time.Time) rounds {
	r := rounds{probers: map[string]bool{}}
	_, coordinating := n.lease.Held(now)
	own, guests := n.probedEndpoints()
	division := probe.Divide(own, n.probers(now))
	for _, e := range own {
		served := n.shares.State(e.Name).Limit > 0
		for _, vm := range e.VMs {
			probers := division[vm]
			if coordinating || served || slices.Contains(probers, n.set.VM) {
				n.assign(now, &r, vm, probers)
			}
		}
	}
	for _, e := range guests {
		for _, vm := range e.VMs {
			n.assign(now, &r, vm, nil)
		}
	}
	return r
}

// probers names the nodes among which the data centre's VMs are divided: the
// live ones or, on a node that has just started and can't have heard of them,
// all that are declared. Where one of those is dead, assign steps in. mu is
// held.
func (n *Node) probers(now time.Time) []string {
	if now.Sub(n.started) >= n.expiry() {
		return n.liveLocal(now)
	}
	names := []string{}
	for _, vm := range n.index.entries {
		if vm.DataCentre == n.set.DataCentre {
			names = append(names, vm.Name)
		}
	}
	if !slices.Contains(names, n.set.VM) {
		return n.liveLocal(now)
	}
	return names
}

// probedEndpoints returns the endpoints of this data centre, single VMs among
// them, and those elsewhere in which this node holds a guest share. mu is held.
func (n *Node) probedEndpoints() (own, guests []probe.Endpoint) {
	grouped := map[string]bool{}
	add := func(name, dataCentre string, vms []string) {
		switch {
		case dataCentre == n.set.DataCentre:
			own = append(own, probe.Endpoint{Name: name, VMs: vms})
		case n.shares.State(name).Limit > 0:
			guests = append(guests, probe.Endpoint{Name: name, VMs: vms})
		}
	}
	for id, p := range n.groups.byID {
		add(id, n.vmDataCentre(p.Group.Members), p.Group.Members)
		for _, vm := range p.Group.Members {
			grouped[vm] = true
		}
	}
	for _, vm := range n.index.endpoints {
		if !grouped[vm.Name] {
			add(vm.Name, vm.DataCentre, []string{vm.Name})
		}
	}
	for _, vm := range n.index.serviceVMs {
		if vm.DataCentre != n.set.DataCentre {
			add(vm.Name, vm.DataCentre, []string{vm.Name})
		}
	}
	return own, guests
}

// assign has a VM probed by this node or asks its probers for it. This node
// probes it too while the others bring no fresh reports of it. mu is held.
func (n *Node) assign(now time.Time, r *rounds, vmName string, probers []string) {
	vm, ok := n.index.vms[vmName]
	if !ok {
		return
	}
	if len(probers) == 0 || probers[0] == n.set.VM {
		r.vms = append(r.vms, vm)
		return
	}
	for _, p := range probers {
		if p != n.set.VM {
			r.probers[p] = true
		}
	}
	_, sent, known := n.reports.Report(vmName)
	if !known || now.Sub(sent) > n.set.Intervals.ReportTTL/2 {
		r.vms = append(r.vms, vm)
	}
}

// mayServe reports whether this node holds or may soon hold a share of an
// endpoint. mu is held.
func (n *Node) mayServe(now time.Time, endpointName, dataCentre string) bool {
	return n.mayServeAmong(n.liveLocal(now), endpointName, dataCentre)
}

// mayServeAmong is mayServe for the live entry VMs of this data centre. mu is
// held.
func (n *Node) mayServeAmong(live []string, endpointName, dataCentre string) bool {
	if n.shares.State(endpointName).Limit > 0 {
		return true
	}
	if dataCentre != n.set.DataCentre {
		return false
	}
	return slices.Contains(budget.Homes(endpointName, live, budget.DefaultHomes), n.set.VM)
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
			n.seen.Observe(sent, report)
			n.observe(now, sent, report)
		case errors.Is(err, syscall.ECONNREFUSED):
			n.seen.ObserveRefusal(sent, vm)
			n.refused(now, sent, vm)
		}
	})
}

// observe takes in a report. mu is held.
func (n *Node) observe(now, sent time.Time, r member.Report) {
	n.reports.Observe(sent, r)
	n.observeIncarnation(now, r)
	n.stepManager(now, group.Reported{Report: r, SentAt: sent})
}

// refused takes in that a VM refused a probe's connection. mu is held.
func (n *Node) refused(now, sent time.Time, vm string) {
	n.reports.RecordRefusal(sent, vm)
	n.stepManager(now, group.ProbeRefused{VM: vm, SentAt: sent})
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
