package probe

import (
	"slices"

	"github.com/pimentoshore/pimentoshore/coord/budget"
)

// Probers returns the nodes that probe the VM at an index among those of an
// endpoint, first prober first. They are the endpoint's home nodes, so that
// the nodes that dispatch to it have its reports at first hand. Its VMs are
// split over them. A VM in no group is an endpoint of its own.
func Probers(endpoint string, index int, live []string) []string {
	homes := budget.Homes(endpoint, live, budget.DefaultHomes)
	return Order(homes, index)
}

// Order returns an endpoint's home nodes as the probers of the VM at an index.
func Order(homes []string, index int) []string {
	if len(homes) < 2 {
		return homes
	}
	first := index % len(homes)
	return slices.Concat(homes[first:], homes[:first])
}
