package probe

import (
	"slices"
	"strings"

	"github.com/pimentoshore/pimentoshore/coord/budget"
)

// balancePasses is the number of passes of Divide over the VMs.
const balancePasses = 4

// Endpoint is a group or a single VM, with the VMs to probe for it.
type Endpoint struct {
	Name string
	VMs  []string
}

// Division maps each VM to its probers, first prober first.
type Division map[string][]string

// Divide returns the probers of the VMs of all endpoints of a data centre.
// They are the endpoint's home nodes, so that the nodes that dispatch to it
// get its reports directly. Each VM's first prober is the home node with fewer
// VMs. Nodes with the same endpoints and live nodes compute the same division.
// While these differ, VMs may be probed twice or, until the second prober takes
// over, not at all.
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
				d.assign(vm, homes[i], load)
			}
		}
	}
	return d
}

// assign makes the home node with the lowest load the VM's first prober.
func (d Division) assign(vm string, homes []string, load map[string]int) {
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
