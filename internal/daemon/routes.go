package daemon

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/gossip"
	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/route"
)

// Gossip keys of published loads.
const (
	loadEntry    = "load"    // loads of one node's shares, published within its data centre
	summaryEntry = "summary" // loads of a data centre, published by its coordinator
)

// updateRoutes updates the endpoints that this node may serve in the routing
// table. n.mu must be held.
func (n *Node) updateRoutes(now time.Time) {
	live := n.liveLocal(now)
	for id, p := range n.groups.byID {
		dataCentre := n.vmDataCentre(p.Group.Members)
		if !n.canServeAmong(live, id, dataCentre) {
			continue
		}
		incarnation, whole := n.groupIncarnation(now, &p.Group)
		n.updateRoute(now, route.Endpoint{
			Name: id, Incarnation: incarnation, Target: p.Group.Model, Generation: p.Group.Generation,
			Guest:   dataCentre != n.settings.DataCentre,
			Serving: whole && !p.Group.Draining && !n.anyOut(p.Group.Members),
		})
	}
	for _, vm := range n.servedServices(live) {
		r, _, _ := n.reports.Report(vm.Name)
		n.updateRoute(now, route.Endpoint{
			Name: vm.Name, Incarnation: r.Incarnation, Target: serviceTarget(vm.Service),
			Guest:   vm.DataCentre != n.settings.DataCentre,
			Serving: n.hasFreshReport(now, vm.Name) && !n.index.isOut(vm.Name),
		})
	}
}

// serviceTarget returns the routing table's target name of a service.
func serviceTarget(service string) string { return "service/" + service }

// servedServices lists the service VMs to which this node may dispatch, given
// the live entry VMs of its data centre.
func (n *Node) servedServices(live []string) []*inventory.VM {
	var vms []*inventory.VM
	for _, vm := range n.index.serviceVMs {
		if n.canServeAmong(live, vm.Name, vm.DataCentre) {
			vms = append(vms, vm)
		}
	}
	return vms
}

func (n *Node) anyOut(vms []string) bool {
	for _, vm := range vms {
		if n.index.isOut(vm) {
			return true
		}
	}
	return false
}

// updateRoute adds or updates an endpoint in the routing table. n.mu must be
// held.
func (n *Node) updateRoute(now time.Time, e route.Endpoint) {
	n.knownEndpoints[e.Name] = true
	n.routes.Step(now, route.EndpointUpdated{Endpoint: e})
}

// removeUnknownEndpoints removes endpoints that no longer exist from the
// routing table and the ledger. n.mu must be held.
func (n *Node) removeUnknownEndpoints(now time.Time) {
	for name := range n.knownEndpoints {
		_, isGroup := n.groups.byID[name]
		_, isVM := n.index.vms[name]
		if isGroup || isVM {
			continue
		}
		delete(n.knownEndpoints, name)
		n.routes.Step(now, route.EndpointRemoved{Name: name})
		if n.ledger != nil {
			n.ledger.RemoveEndpoint(name)
		}
	}
}

// ownLoads returns the sums of this node's shares by target. n.mu must be held.
func (n *Node) ownLoads(now time.Time) loads {
	sums := loads{}
	if n.stopping || n.isDataCentreOut() {
		return sums
	}
	add := func(target, endpointName string) {
		s := n.shares.State(endpointName)
		if s.Limit == 0 {
			return
		}
		l := sums[target]
		l.Limit += s.Limit
		l.InFlight += s.InFlight
		sums[target] = l
	}
	for id, p := range n.groups.byID {
		whole := n.reports.IsWhole(&p.Group, now)
		if whole && !p.Group.Draining && !n.anyOut(p.Group.Members) {
			add(p.Group.Model, id)
		}
	}
	for _, vm := range n.servedServices(n.liveLocal(now)) {
		if n.hasFreshReport(now, vm.Name) && !n.index.isOut(vm.Name) {
			add(serviceTarget(vm.Service), vm.Name)
		}
	}
	return sums
}

// isDataCentreOut reports whether operators have taken this node's own data
// centre out of service.
func (n *Node) isDataCentreOut() bool {
	dc, ok := n.index.dataCentres[n.settings.DataCentre]
	return ok && dc.Out
}

// publishLoads publishes this node's loads and, on the coordinator, those of
// its data centre. n.mu must be held.
func (n *Node) publishLoads(now time.Time) {
	n.publishIfChanged(loadEntry, gossip.Local, n.ownLoads(now))
	if _, held := n.lease.Held(now); held {
		n.publishIfChanged(summaryEntry, gossip.Global, n.dataCentreLoads(now))
	} else {
		n.gossip.Withdraw(summaryEntry)
	}
	n.applyLoads(now)
}

// publishIfChanged publishes loads unless they barely differ from the last
// published ones.
func (n *Node) publishIfChanged(key string, scope gossip.Scope, value loads) {
	self, _ := n.gossip.Get(n.settings.VM)
	last := self.Entry(key)
	if len(last) > 0 && !decodeLoads(last).differsFrom(value) {
		return
	}
	n.gossip.Publish(key, scope, value.encode())
}

// dataCentreLoads returns the sums of the loads of the data centre's live
// nodes. Requests from other data centres are sent to the node with the most
// free capacity.
func (n *Node) dataCentreLoads(now time.Time) loads {
	sums := loads{}
	free := map[string]int{}
	for _, node := range n.gossip.Live(now, n.settings.DataCentre) {
		for target, l := range decodeLoads(node.Entry(loadEntry)) {
			s := sums[target]
			s.Limit += l.Limit
			s.InFlight += l.InFlight
			if f := l.Limit - l.InFlight; s.Node == "" || f > free[target] {
				s.Node = node.VM
				free[target] = f
			}
			sums[target] = s
		}
	}
	return sums
}

// applyLoads updates the routing table with the loads that other nodes publish.
// n.mu must be held.
func (n *Node) applyLoads(now time.Time) {
	live := map[string]bool{}
	summaries := map[string]bool{}
	for _, node := range n.gossip.Live(now, "") {
		if node.VM == n.settings.VM || node.Stopping {
			continue
		}
		if node.DataCentre == n.settings.DataCentre {
			live[node.VM] = true
			n.applyPeerLoads(now, node)
			continue
		}
		if sums := decodeLoads(node.Entry(summaryEntry)); sums != nil {
			summaries[node.DataCentre] = true
			n.applySummary(now, node.DataCentre, sums)
		}
	}
	for _, name := range n.gossip.Names() {
		if !live[name] {
			n.routes.Step(now, route.PeerRemoved{Node: name})
		}
	}
	for name, dc := range n.index.dataCentres {
		if dc.Out || !summaries[name] {
			n.routes.Step(now, route.RemoteRemoved{DataCentre: name})
		}
	}
}

func (n *Node) applyPeerLoads(now time.Time, node gossip.Node) {
	held := decodeLoads(node.Entry(loadEntry))
	for _, target := range n.targets() {
		l := held[target]
		n.routes.Step(now, route.PeerReported{Node: node.VM, Target: target, Limit: l.Limit, InFlight: l.InFlight})
	}
}

func (n *Node) applySummary(now time.Time, dataCentre string, sums loads) {
	dc, ok := n.index.dataCentres[dataCentre]
	if !ok || dc.Out {
		return
	}
	for _, target := range n.targets() {
		l := sums[target]
		n.routes.Step(now, route.RemoteReported{
			DataCentre: dataCentre, Target: target, Limit: l.Limit, InFlight: l.InFlight, Node: l.Node,
		})
	}
}

// targets lists the models and services of the configuration in force by target
// name.
func (n *Node) targets() []string {
	if n.index.doc == nil {
		return nil
	}
	names := make([]string, 0, len(n.index.doc.Models)+len(n.index.doc.Services))
	for i := range n.index.doc.Models {
		names = append(names, n.index.doc.Models[i].Name)
	}
	for i := range n.index.doc.Services {
		names = append(names, serviceTarget(n.index.doc.Services[i].Name))
	}
	return names
}
