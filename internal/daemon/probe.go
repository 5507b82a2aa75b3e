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

// observations holds the results of this node's probes and of those that other
// nodes report.
type observations struct {
	reports        *group.Reports
	ownProbes      *probe.Table    // results of this node's own probes
	probesInFlight map[string]bool // by VM
	followers      map[string]*probe.Follower
	pullsInFlight  map[string]bool // by prober
}

func newObservations(set settings.Settings, incarnation string) observations {
	return observations{
		reports: group.NewReports(group.Options{ReportTTL: set.Intervals.ReportTTL}),
		ownProbes: probe.NewTable(probe.Options{
			Incarnation: incarnation, SilentAfter: set.Intervals.ReportTTL / 2,
		}),
		probesInFlight: map[string]bool{},
		followers:      map[string]*probe.Follower{},
		pullsInFlight:  map[string]bool{},
	}
}

// probePlan lists the VMs that this node probes itself and the nodes that it
// pulls the other reports from.
type probePlan struct {
	vms     []*inventory.VM
	probers map[string]bool
}

// probeVMs probes the VMs assigned to this node and pulls reports about the
// other VMs it needs from their probers. n.mu must be held.
func (n *Node) probeVMs(now time.Time) {
	if n.index.doc == nil {
		return
	}
	plan := n.planProbes(now)
	planned := map[string]bool{}
	for _, vm := range plan.vms {
		planned[vm.Name] = true
		if !n.probesInFlight[vm.Name] {
			n.probesInFlight[vm.Name] = true
			n.spawn(func(ctx context.Context) { n.probeVM(ctx, vm.Name, vm.Address) })
		}
	}
	for _, vm := range n.ownProbes.VMs() {
		if !planned[vm] {
			n.ownProbes.Forget(vm)
		}
	}
	n.pullReports(plan.probers)
}

// planProbes assigns the VMs whose reports this node needs: on the coordinator
// all VMs of its data centre, on other nodes those of the endpoints that it may
// serve. n.mu must be held.
func (n *Node) planProbes(now time.Time) probePlan {
	plan := probePlan{probers: map[string]bool{}}
	_, coordinating := n.lease.Held(now)
	own, guests := n.probedEndpoints()
	division := probe.Divide(own, n.eligibleProbers(now))
	for _, e := range own {
		served := n.shares.State(e.Name).Limit > 0
		for _, vm := range e.VMs {
			probers := division[vm]
			if coordinating || served || slices.Contains(probers, n.settings.VM) {
				n.assignProbe(now, &plan, vm, probers)
			}
		}
	}
	for _, e := range guests {
		for _, vm := range e.VMs {
			n.assignProbe(now, &plan, vm, nil)
		}
	}
	return plan
}

// eligibleProbers returns the nodes among which the data centre's VMs are
// divided. These are the live nodes. A node that has just started cannot know
// them yet and returns all declared ones; if one of those is down, assignProbe
// makes this node probe its VMs. n.mu must be held.
func (n *Node) eligibleProbers(now time.Time) []string {
	if now.Sub(n.started) >= n.expiry() {
		return n.liveLocal(now)
	}
	names := []string{}
	for _, vm := range n.index.entries {
		if vm.DataCentre == n.settings.DataCentre {
			names = append(names, vm.Name)
		}
	}
	if !slices.Contains(names, n.settings.VM) {
		return n.liveLocal(now)
	}
	return names
}

// probedEndpoints returns the endpoints of this data centre, including single
// VMs, and the endpoints elsewhere in which this node holds a guest share. n.mu
// must be held.
func (n *Node) probedEndpoints() (own, guests []probe.Endpoint) {
	grouped := map[string]bool{}
	add := func(name, dataCentre string, vms []string) {
		switch {
		case dataCentre == n.settings.DataCentre:
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
		if vm.DataCentre != n.settings.DataCentre {
			add(vm.Name, vm.DataCentre, []string{vm.Name})
		}
	}
	return own, guests
}

// assignProbe adds a VM to the plan: this node probes it or pulls its reports
// from its probers. While those have no fresh report, this node also probes the
// VM. n.mu must be held.
func (n *Node) assignProbe(now time.Time, plan *probePlan, vmName string, probers []string) {
	vm, ok := n.index.vms[vmName]
	if !ok {
		return
	}
	if len(probers) == 0 || probers[0] == n.settings.VM {
		plan.vms = append(plan.vms, vm)
		return
	}
	for _, p := range probers {
		if p != n.settings.VM {
			plan.probers[p] = true
		}
	}
	_, sent, known := n.reports.Report(vmName)
	if !known || now.Sub(sent) > n.settings.Intervals.ReportTTL/2 {
		plan.vms = append(plan.vms, vm)
	}
}

// canServe reports whether this node holds or may soon hold a share of an
// endpoint. n.mu must be held.
func (n *Node) canServe(now time.Time, endpointName, dataCentre string) bool {
	return n.canServeAmong(n.liveLocal(now), endpointName, dataCentre)
}

// canServeAmong is like canServe for a given list of the live entry VMs of this
// data centre. n.mu must be held.
func (n *Node) canServeAmong(live []string, endpointName, dataCentre string) bool {
	if n.shares.State(endpointName).Limit > 0 {
		return true
	}
	if dataCentre != n.settings.DataCentre {
		return false
	}
	return slices.Contains(budget.Homes(endpointName, live, budget.DefaultHomes), n.settings.VM)
}

func (n *Node) liveLocal(now time.Time) []string {
	var names []string
	for _, node := range n.gossip.Live(now, n.settings.DataCentre) {
		names = append(names, node.VM)
	}
	return names
}

func (n *Node) probeVM(ctx context.Context, vm, address string) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, n.settings.Intervals.ReportTTL)
	defer cancel()
	report, err := n.prober.Report(ctx, address)
	n.locked(func(now time.Time) {
		delete(n.probesInFlight, vm)
		switch {
		case err == nil && report.VM == vm:
			n.ownProbes.Observe(sent, report)
			n.recordReport(now, sent, report)
		case errors.Is(err, syscall.ECONNREFUSED):
			n.ownProbes.ObserveRefusal(sent, vm)
			n.recordRefusal(now, sent, vm)
		}
	})
}

// recordReport records a VM's report and passes it to the shares and the group
// manager. n.mu must be held.
func (n *Node) recordReport(now, sent time.Time, r member.Report) {
	n.reports.Observe(sent, r)
	n.observeIncarnation(now, r)
	n.stepManager(now, group.Reported{Report: r, SentAt: sent})
}

// recordRefusal records that a VM refused the connection of a probe and
// notifies the group manager. n.mu must be held.
func (n *Node) recordRefusal(now, sent time.Time, vm string) {
	n.reports.RecordRefusal(sent, vm)
	n.stepManager(now, group.ProbeRefused{VM: vm, SentAt: sent})
}

// hasFreshReport reports whether the last report of a VM is younger than the
// report TTL. n.mu must be held.
func (n *Node) hasFreshReport(now time.Time, vm string) bool {
	_, sent, ok := n.reports.Report(vm)
	return ok && now.Sub(sent) < n.settings.Intervals.ReportTTL
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
