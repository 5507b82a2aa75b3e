package daemon

import (
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/group"
	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/operator"
)

// explainVM says what this node knows of a VM. mu is held.
func (n *Node) explainVM(now time.Time, name string) (operator.VMExplanation, *problem.Error) {
	vm, ok := n.index.vms[name]
	if !ok {
		return operator.VMExplanation{}, problem.New(problem.NotFound,
			"the configuration in force on this node names no such VM", "look at pimentoshore status for its name")
	}
	e := operator.VMExplanation{
		VM: name, Node: n.set.VM, Role: string(vm.Role), DataCentre: vm.DataCentre, FabricDomain: vm.FabricDomain, ReportAge: -1,
	}
	if r, sent, ok := n.reports.Report(name); ok {
		e.ReportedState, e.ReportedGroup, e.ReportAge = string(r.State), r.Group, now.Sub(sent)
	}
	reasons := n.outReasons(vm)
	switch vm.Role {
	case inventory.RoleEntry:
		reasons = append(reasons, n.entryReasons(now, name)...)
	case inventory.RoleService:
		reasons = append(reasons, n.serviceReasons(vm)...)
	case inventory.RoleModel:
		g, grouped := n.groups.holding(name)
		e.Group = g.ID
		reasons = append(reasons, n.modelReasons(now, vm, &g, grouped)...)
	}
	for _, r := range reasons {
		if !slices.Contains(e.Reasons, r) {
			e.Reasons = append(e.Reasons, r)
		}
	}
	return e, nil
}

// holding finds the group that a VM is a member of. A group that is not known
// to be dissolved yet may name the VM too; the newest counts.
func (v *groupView) holding(vm string) (group.Group, bool) {
	var newest published
	for _, p := range v.byID {
		newer := p.Term > newest.Term || p.Term == newest.Term && p.Group.Generation > newest.Group.Generation
		if newer && slices.Contains(p.Group.Members, vm) {
			newest = p
		}
	}
	return newest.Group, newest.Term > 0
}

func operatorReason(r group.Reason) operator.Reason {
	return operator.Reason{Cause: causeText(r), Remedy: r.Remedy()}
}

// outReasons are the operators' own changes that take a VM out of service.
func (n *Node) outReasons(vm *inventory.VM) []operator.Reason {
	var reasons []operator.Reason
	if dc, ok := n.index.dataCentres[vm.DataCentre]; ok && dc.Out {
		reasons = append(reasons, operatorReason(group.Reason{Code: group.DataCentreOut}))
	}
	if vm.Out {
		reasons = append(reasons, operatorReason(group.Reason{Code: group.VMOut, VM: vm.Name}))
	}
	return reasons
}

func (n *Node) entryReasons(now time.Time, name string) []operator.Reason {
	node, _ := n.gossip.Get(name)
	switch {
	case name != n.set.VM && !n.gossip.IsLive(now, name):
		return []operator.Reason{{Cause: "this node has not heard of it lately", Remedy: "check the VM, its daemon and the network to it"}}
	case node.Stopping, name == n.set.VM && n.stopping:
		return []operator.Reason{{Cause: "its daemon shuts down", Remedy: "start the daemon again once the stop is over"}}
	}
	return nil
}

func (n *Node) serviceReasons(vm *inventory.VM) []operator.Reason {
	if n.shares.State(vm.Name).Limit > 0 {
		return nil
	}
	return []operator.Reason{{Cause: noShare, Remedy: "ask a home node of the endpoint, or check that its data centre has a coordinator"}}
}

// modelReasons say why a VM is in no group or why its group gets no work.
func (n *Node) modelReasons(now time.Time, vm *inventory.VM, g *group.Group, grouped bool) []operator.Reason {
	if n.coordinates(now, vm.DataCentre) {
		return n.decidedReasons(now, vm.Name, g.ID)
	}
	switch {
	case !grouped:
		return []operator.Reason{operatorReason(group.Reason{Code: group.NoCoordinator})}
	case n.observes(now, g.ID, vm.DataCentre):
		if why := n.reports.Reason(g, now); why.Code != group.OK {
			return []operator.Reason{operatorReason(why)}
		}
	case g.Draining:
		return []operator.Reason{operatorReason(group.Reason{Code: group.GroupDraining})}
	}
	return nil
}

// decidedReasons are those of this node's own decisions as the coordinator.
func (n *Node) decidedReasons(now time.Time, vm, id string) []operator.Reason {
	status := n.manager.Status(now)
	for _, s := range status.Stranded {
		if s.VM == vm {
			return []operator.Reason{operatorReason(s.Reason)}
		}
	}
	for _, c := range status.Groups {
		if c.Group.ID == id && c.Reason.Code != group.OK {
			return []operator.Reason{operatorReason(c.Reason)}
		}
	}
	return nil
}

// coordinates reports whether this node decides the groups of a data centre.
func (n *Node) coordinates(now time.Time, dataCentre string) bool {
	_, held := n.lease.Held(now)
	return held && dataCentre == n.set.DataCentre
}

// observes reports whether this node probes the members of a group.
func (n *Node) observes(now time.Time, id, dataCentre string) bool {
	return n.coordinates(now, dataCentre) || n.mayServe(now, id, dataCentre)
}
