package daemon

import (
	"fmt"
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/gossip"
	"github.com/pimentoshore/pimentoshore/coord/group"
	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/internal/operator"
)

// status collects what this node knows. mu is held.
func (n *Node) status(now time.Time) operator.Status {
	s := operator.Status{
		Node:              n.set.VM,
		PlatformReachable: now.Sub(n.platformSeen) < n.set.Intervals.Lease,
		PlatformAge:       now.Sub(n.platformSeen),
	}
	for _, node := range n.gossip.Live(now, "") {
		s.Nodes = append(s.Nodes, n.nodeStatus(now, node))
	}
	if n.index.doc == nil {
		return s
	}
	for i := range n.index.doc.DataCentres {
		s.DataCentres = append(s.DataCentres, n.dataCentreStatus(now, &n.index.doc.DataCentres[i]))
	}
	return s
}

func (n *Node) nodeStatus(now time.Time, node gossip.Node) operator.Node {
	age := time.Duration(0)
	if d, ok := n.digests[node.VM]; ok {
		age = d.ReadAge
	}
	if node.VM == n.set.VM {
		age = n.config.Digest(now).ReadAge
	}
	return operator.Node{
		VM: node.VM, DataCentre: node.DataCentre, Operators: string(node.Entry(operatorsEntry)), Configuration: node.Configuration,
		ConfigurationAge: age, Stopping: node.Stopping, LastHeard: n.gossip.Silence(now, node.VM),
	}
}

func (n *Node) dataCentreStatus(now time.Time, dc *inventory.DataCentre) operator.DataCentre {
	s := operator.DataCentre{Name: dc.Name, Out: dc.Out, Degraded: n.degraded(now, dc.Name)}
	s.Coordinator, s.Term = n.coordinatorOf(now, dc.Name)
	grouped := map[string]bool{}
	ids := n.groups.of(dc.Name)
	slices.Sort(ids)
	for _, id := range ids {
		p := n.groups.byID[id]
		for _, vm := range p.Group.Members {
			grouped[vm] = true
		}
		s.Groups = append(s.Groups, n.groupStatus(now, &p.Group, dc.Name))
	}
	why := n.strandedReasons(now)
	for i := range n.index.doc.VMs {
		vm := &n.index.doc.VMs[i]
		if vm.DataCentre != dc.Name {
			continue
		}
		switch {
		case vm.Role == inventory.RoleModel && !grouped[vm.Name]:
			s.Unassigned = append(s.Unassigned, operator.UnassignedVM{
				VM: vm.Name, FabricDomain: vm.FabricDomain, Accelerators: vm.Accelerators,
				Healthy: n.fresh(now, vm.Name) && !n.index.out(vm.Name), Reason: why[vm.Name],
			})
		case vm.Role == inventory.RoleService:
			s.Services = append(s.Services, n.serviceStatus(vm))
		}
	}
	return s
}

// degraded says why the coordinator of a data centre is held back, as far as
// this node knows. mu is held.
func (n *Node) degraded(now time.Time, dataCentre string) string {
	vm, _ := n.coordinatorOf(now, dataCentre)
	switch {
	case vm == "":
		return "this node knows of no coordinator; check that an entry VM of the data centre is up"
	case n.coordinates(now, dataCentre) && n.manager.Status(now).PlatformDown:
		return "the platform does not take the groups row; decisions are kept in memory, so keep this node up until it does"
	}
	return ""
}

// strandedReasons says why VMs are in no group, as far as this node decides.
func (n *Node) strandedReasons(now time.Time) map[string]string {
	why := map[string]string{}
	for _, vm := range n.manager.Status(now).Stranded {
		why[vm.VM] = reasonText(vm.Reason)
	}
	return why
}

func (n *Node) groupStatus(now time.Time, g *group.Group, dataCentre string) operator.Group {
	s := operator.Group{
		Name: g.ID, Model: g.Model, Generation: g.Generation, FabricDomain: g.FabricDomain,
		Members: g.Members, State: operator.GroupServing,
	}
	share := n.shares.State(g.ID)
	s.InFlight, s.Limit = share.InFlight, share.Limit
	if !n.observes(now, g.ID, dataCentre) {
		s.Reason = "as spread by the coordinator; this node does not probe it"
		if g.Draining {
			s.State = operator.GroupDraining
		}
		return s
	}
	why := n.reports.Reason(g, now)
	switch {
	case why.Code == group.OK && s.Limit < n.index.models[g.Model].MaxInFlight:
		s.State = operator.GroupWarming
	case why.Code == group.GroupDraining:
		s.State = operator.GroupDraining
	case why.Code == group.StillLoading, why.Code == group.NotJoined:
		s.State = operator.GroupLoading
	case why.Code != group.OK:
		s.State = operator.GroupDown
	}
	if why.Code != group.OK {
		s.Reason = reasonText(why)
	}
	return s
}

// reasonText prints a reason with its remedy.
func reasonText(r group.Reason) string {
	return causeText(r) + "; " + r.Remedy()
}

// causeText prints a reason's code with the VM at fault and what is missing.
func causeText(r group.Reason) string {
	text := string(r.Code)
	if r.VM != "" {
		text += " " + r.VM
	}
	if r.Need > 0 {
		text += fmt.Sprintf(", VMs missing: %d", r.Need)
	}
	return text
}

// noShare is the reason of an endpoint to which this node sends nothing.
const noShare = "this node holds no share of it"

func (n *Node) serviceStatus(vm *inventory.VM) operator.ServiceEndpoint {
	share := n.shares.State(vm.Name)
	s := operator.ServiceEndpoint{
		VM: vm.Name, Service: vm.Service, InFlight: share.InFlight, Limit: share.Limit,
		Serving: share.Limit > 0 && !n.index.out(vm.Name),
	}
	if !s.Serving {
		s.Reason = noShare
	}
	return s
}
