package daemon

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/gossip"
	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/route"
)

// Gossip keys of loads.
const (
	loadEntry    = "load"    // loads of one node's shares, within the data centre
	summaryEntry = "summary" // loads of a data centre, spread by its coordinator
)

// refreshEndpoints tells the routing table which endpoints may get work from
// this node now. mu is held.
func (n *Node) refreshEndpoints(now time.Time) {
	live := n.liveLocal(now)
	for id, p := range n.groups.byID {
		dataCentre := n.vmDataCentre(p.Group.Members)
		if !n.mayServeAmong(live, id, dataCentre) {
			continue
		}
		incarnation, whole := n.groupIncarnation(now, &p.Group)
		n.updateRoute(now, route.Endpoint{
			Name: id, Incarnation: incarnation, Target: p.Group.Model, Generation: p.Group.Generation,
			Guest:   dataCentre != n.set.DataCentre,
			Serving: whole && !p.Group.Draining && !n.anyOut(p.Group.Members),
		})
	}
	for _, vm := range n.servedServices(live) {
		r, _, _ := n.reports.Report(vm.Name)
		n.updateRoute(now, route.Endpoint{
			Name: vm.Name, Incarnation: r.Incarnation, Target: serviceTarget(vm.Service),
			Guest:   vm.DataCentre != n.set.DataCentre,
			Serving: n.fresh(now, vm.Name) && !n.index.out(vm.Name),
		})
	}
}

// serviceTarget names a service among the routing table's targets.
func serviceTarget(service string) string { return "service/" + service }

// servedServices lists the service VMs that this node may dispatch to, given
// the live entry VMs of its data centre.
func (n *Node) servedServices(live []string) []*inventory.VM {
	var vms []*inventory.VM
	for _, vm := range n.index.serviceVMs {
		if n.mayServeAmong(live, vm.Name, vm.DataCentre) {
			vms = append(vms, vm)
		}
	}
	return vms
}

func (n *Node) anyOut(vms []string) bool {
	for _, vm := range vms {
		if n.index.out(vm) {
			return true
		}
	}
	return false
}

// updateRoute tells the routing table about an endpoint. mu is held.
func (n *Node) updateRoute(now time.Time, e route.Endpoint) {
	n.known[e.Name] = true
	n.routes.Step(now, route.EndpointUpdated{Endpoint: e})
}

// updateMembers drops what this node knows of endpoints that are no more. mu
// is held.
func (n *Node) updateMembers(now time.Time) {
	for name := range n.known {
		_, isGroup := n.groups.byID[name]
		_, isVM := n.index.vms[name]
		if isGroup || isVM {
			continue
		}
		delete(n.known, name)
		n.routes.Step(now, route.EndpointRemoved{Name: name})
		if n.ledger != nil {
			n.ledger.RemoveEndpoint(name)
		}
	}
}

// ownLoads sums this node's shares by target. mu is held.
func (n *Node) ownLoads(now time.Time) loads {
	sums := loads{}
	if n.stopping || n.out() {
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
		if n.fresh(now, vm.Name) && !n.index.out(vm.Name) {
			add(serviceTarget(vm.Service), vm.Name)
		}
	}
	return sums
}

// out reports whether this node's own data centre is taken out.
func (n *Node) out() bool {
	dc, ok := n.index.dataCentres[n.set.DataCentre]
	return ok && dc.Out
}

// publishLoad spreads this node's load and, on the coordinator, that of its
// data centre. mu is held.
func (n *Node) publishLoad(now time.Time) {
	n.publish(loadEntry, gossip.Local, n.ownLoads(now))
	if _, held := n.lease.Held(now); held {
		n.publish(summaryEntry, gossip.Global, n.summary(now))
	} else {
		n.gossip.Withdraw(summaryEntry)
	}
	n.readLoads(now)
}

// publish spreads loads unless they are nearly those spread last.
func (n *Node) publish(key string, scope gossip.Scope, value loads) {
	self, _ := n.gossip.Get(n.set.VM)
	last := self.Entry(key)
	if len(last) > 0 && !decodeLoads(last).differ(value) {
		return
	}
	n.gossip.Publish(key, scope, value.encode())
}

// summary sums the loads of the data centre's live nodes. Requests from other
// data centres go to the node with the most room.
func (n *Node) summary(now time.Time) loads {
	sums := loads{}
	room := map[string]int{}
	for _, node := range n.gossip.Live(now, n.set.DataCentre) {
		for target, l := range decodeLoads(node.Entry(loadEntry)) {
			s := sums[target]
			s.Limit += l.Limit
			s.InFlight += l.InFlight
			if free := l.Limit - l.InFlight; s.Node == "" || free > room[target] {
				s.Node = node.VM
				room[target] = free
			}
			sums[target] = s
		}
	}
	return sums
}

// readLoads passes what other nodes spread on to the routing table. mu is
// held.
func (n *Node) readLoads(now time.Time) {
	live := map[string]bool{}
	summaries := map[string]bool{}
	for _, node := range n.gossip.Live(now, "") {
		if node.VM == n.set.VM || node.Stopping {
			continue
		}
		if node.DataCentre == n.set.DataCentre {
			live[node.VM] = true
			n.readPeerLoads(now, node)
			continue
		}
		if sums := decodeLoads(node.Entry(summaryEntry)); sums != nil {
			summaries[node.DataCentre] = true
			n.readSummary(now, node.DataCentre, sums)
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

func (n *Node) readPeerLoads(now time.Time, node gossip.Node) {
	held := decodeLoads(node.Entry(loadEntry))
	for _, target := range n.targets() {
		l := held[target]
		n.routes.Step(now, route.PeerReported{Node: node.VM, Target: target, Limit: l.Limit, InFlight: l.InFlight})
	}
}

func (n *Node) readSummary(now time.Time, dataCentre string, sums loads) {
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

// targets lists the models and services of the configuration in force.
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
