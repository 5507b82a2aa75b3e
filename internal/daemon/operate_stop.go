package daemon

import (
	"context"
	"slices"

	"github.com/pimentoshore/pimentoshore/coord/group"
	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/configstore"
	"github.com/pimentoshore/pimentoshore/internal/operator"
)

// planStop marks a VM, the members of a group or a data centre as out in the
// configuration. The stop is therefore kept when this node or a coordinator
// restarts.
func (n *Node) planStop(ctx context.Context, scope group.Scope, name, author string) (operator.Stop, error) {
	stop := operator.Stop{Scope: string(scope), Name: name}
	if scope == group.ScopeGroup {
		members, p := n.groupMembers(name)
		if p != nil {
			return stop, p
		}
		stop.VMs = members
	}
	number, err := configstore.New(n.platform).Edit(ctx, author, func(doc *inventory.Document) error {
		switch scope {
		case group.ScopeDataCentre:
			return takeDataCentreOut(doc, name)
		case group.ScopeVM:
			stop.VMs = []string{name}
		}
		return takeVMsOut(doc, stop.VMs)
	})
	stop.Configuration = number
	return stop, err
}

func (n *Node) groupMembers(id string) ([]string, *problem.Error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.groups.byID[id]
	if !ok {
		return nil, problem.New(problem.NotFound, "this node knows no such group", "look at pimentoshore status for its name")
	}
	return slices.Clone(p.Group.Members), nil
}

func takeDataCentreOut(doc *inventory.Document, name string) error {
	for i := range doc.DataCentres {
		if doc.DataCentres[i].Name == name {
			doc.DataCentres[i].Out = true
			return nil
		}
	}
	return problem.New(problem.NotFound, "the configuration contains no such data centre", "look at pimentoshore status for its name")
}

func takeVMsOut(doc *inventory.Document, names []string) error {
	for _, name := range names {
		i := slices.IndexFunc(doc.VMs, func(vm inventory.VM) bool { return vm.Name == name })
		switch {
		case i < 0:
			return problem.New(problem.NotFound, "the configuration contains no VM "+name, "look at pimentoshore status for its name")
		case doc.VMs[i].Role == inventory.RoleEntry:
			return problem.New(problem.ConfigInvalid, name+" is an entry VM", "stop its daemon with pimentoshore stop entry")
		}
		doc.VMs[i].Out = true
	}
	return nil
}
