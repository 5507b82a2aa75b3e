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

// status returns the node's status for operators. n.mu must be held.
func (n *Node) status(now time.Time) operator.Status {
	s := operator.Status{
		Node:              n.settings.VM,
		PlatformReachable: now.Sub(n.platformAnsweredAt) < n.settings.Intervals.Lease,
		PlatformAge:       now.Sub(n.platformAnsweredAt),
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
	if node.VM == n.settings.VM {
		age = n.config.Digest(now).ReadAge
	}
	return operator.Node{
		VM: node.VM, DataCentre: node.DataCentre, Operators: string(node.Entry(operatorsEntry)), Configuration: node.Configuration,
		ConfigurationAge: age, Stopping: node.Stopping, LastHeard: n.gossip.Silence(now, node.VM),
	}
}

func (n *Node) dataCentreStatus(now time.Time, dc *inventory.DataCentre) operator.DataCentre {
	s := operator.DataCentre{Name: dc.Name, Out: dc.Out, Degraded: n.degradedReason(now, dc.Name)}
	s.Coordinator, s.Term = n.coordinatorOf(now, dc.Name)
	grouped := map[string]bool{}
	ids := n.groups.inDataCentre(dc.Name)
	slices.Sort(ids)
	for _, id := range ids {
		p := n.groups.byID[id]
		for _, vm := range p.Group.Members {
			grouped[vm] = true
		}
		s.Groups = append(s.Groups, n.groupStatus(now, &p.Group, dc.Name))
	}
	reasons := n.strandedReasons(now)
	for i := range n.index.doc.VMs {
		vm := &n.index.doc.VMs[i]
		if vm.DataCentre != dc.Name {
			continue
		}
		switch {
		case vm.Role == inventory.RoleModel && !grouped[vm.Name]:
			s.Unassigned = append(s.Unassigned, operator.UnassignedVM{
				VM: vm.Name, FabricDomain: vm.FabricDomain, Accelerators: vm.Accelerators,
				Healthy: n.hasFreshReport(now, vm.Name) && !n.index.isOut(vm.Name), Reason: reasons[vm.Name],
			})
		case vm.Role == inventory.RoleService:
			s.Services = append(s.Services, n.serviceStatus(vm))
		}
	}
	return s
}

// degradedReason explains why the coordinator of a data centre cannot do all of
// its work, as far as this node knows. It is empty if there is no such reason.
// n.mu must be held.
func (n *Node) degradedReason(now time.Time, dataCentre string) string {
	vm, _ := n.coordinatorOf(now, dataCentre)
	switch {
	case vm == "":
		return "this node knows no coordinator; check that an entry VM of the data centre is up"
	case n.isCoordinatorOf(now, dataCentre) && n.manager.Status(now).PlatformDown:
		return "the groups row cannot be written to the platform; decisions are kept in memory, so keep this node up until it can"
	}
	return ""
}

// strandedReasons returns the reasons why VMs are in no group. It is empty
// unless this node is the coordinator.
func (n *Node) strandedReasons(now time.Time) map[string]string {
	reasons := map[string]string{}
	for _, vm := range n.manager.Status(now).Stranded {
		reasons[vm.VM] = reasonText(vm.Reason)
	}
	return reasons
}

func (n *Node) groupStatus(now time.Time, g *group.Group, dataCentre string) operator.Group {
	s := operator.Group{
		Name: g.ID, Model: g.Model, Generation: g.Generation, FabricDomain: g.FabricDomain,
		Members: g.Members, State: operator.GroupServing,
	}
	share := n.shares.State(g.ID)
	s.InFlight, s.Limit = share.InFlight, share.Limit
	if !n.probesGroup(now, g.ID, dataCentre) {
		s.Reason = "as published by the coordinator; this node does not probe it"
		if g.Draining {
			s.State = operator.GroupDraining
		}
		return s
	}
	reason := n.reports.Reason(g, now)
	switch {
	case reason.Code == group.OK && s.Limit < n.index.models[g.Model].MaxInFlight:
		s.State = operator.GroupWarming
	case reason.Code == group.GroupDraining:
		s.State = operator.GroupDraining
	case reason.Code == group.StillLoading, reason.Code == group.NotJoined:
		s.State = operator.GroupLoading
	case reason.Code != group.OK:
		s.State = operator.GroupDown
	}
	if reason.Code != group.OK {
		s.Reason = reasonText(reason)
	}
	return s
}

// reasonText formats a reason with its remedy.
func reasonText(r group.Reason) string {
	return causeText(r) + "; " + r.Remedy()
}

// causeText formats a reason's code with the VM concerned and the number of
// missing VMs.
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

// noShareReason is the reason shown for an endpoint to which this node may not
// dispatch.
const noShareReason = "this node holds no share of it"

func (n *Node) serviceStatus(vm *inventory.VM) operator.ServiceEndpoint {
	share := n.shares.State(vm.Name)
	s := operator.ServiceEndpoint{
		VM: vm.Name, Service: vm.Service, InFlight: share.InFlight, Limit: share.Limit,
		Serving: share.Limit > 0 && !n.index.isOut(vm.Name),
	}
	if !s.Serving {
		s.Reason = noShareReason
	}
	return s
}
