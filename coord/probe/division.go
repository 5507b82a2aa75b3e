package probe

import (
	"slices"
	"strings"

	"github.com/pimentoshore/pimentoshore/coord/budget"
)

// balancePasses is the number of times that Divide goes through the VMs.
const balancePasses = 4

// Endpoint is a group or a single VM with the VMs to probe for it.
type Endpoint struct {
	Name string
	VMs  []string
}

// Division says which nodes probe each VM, first prober first.
type Division map[string][]string

// Divide returns the probers of the VMs of all endpoints of a data centre.
// They are the endpoint's home nodes, so that the nodes that dispatch to it
// have its reports at first hand. Each VM's first prober is the home node with
// fewer VMs. Nodes that agree on the endpoints and on the live nodes agree on
// the division; while they don't, VMs may be probed twice or, until the second
// prober steps in, not at all.
func Divide(endpoints []Endpoint, live []string) Division {
	endpoints = slices.Clone(endpoints)
	slices.SortFunc(endpoints, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
	homes := make([][]string, len(endpoints))
	for i, e := range endpoints {
		homes[i] = budget.Homes(e.Name, live, budget.DefaultHomes)
	}
	d := Division{}
	load := map[string]int{}
	for range balancePasses {
		for i, e := range endpoints {
			for _, vm := range e.VMs {
				d.place(vm, homes[i], load)
			}
		}
	}
	return d
}

// place makes the less loaded home node the VM's first prober.
func (d Division) place(vm string, homes []string, load map[string]int) {
	if len(homes) == 0 {
		return
	}
	if old, placed := d[vm]; placed {
		load[old[0]]--
	}
	first := 0
	for i, home := range homes {
		if load[home] < load[homes[first]] {
			first = i
		}
	}
	load[homes[first]]++
	d[vm] = slices.Concat(homes[first:], homes[:first])
}
