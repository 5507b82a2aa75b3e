package daemon

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/internal/settings"
)

// probePlans returns the number of nodes that probe each VM directly, and
// whether the coordinator has fresh reports of all engines.
func (c *cluster) probePlans() (probers map[string]int, fresh bool) {
	probers = map[string]int{}
	fresh = true
	for _, n := range c.nodes {
		n.locked(func(now time.Time) {
			if n.index.doc == nil {
				fresh = false
				return
			}
			_, coordinating := n.lease.Held(now)
			for _, vm := range n.planProbes(now).vms {
				probers[vm.Name]++
			}
			for vm := range c.engines {
				fresh = fresh && (!coordinating || n.hasFreshReport(now, vm))
			}
		})
	}
	return probers, fresh
}

// TestVMsAreProbedOnce checks that each VM of a data centre with several entry
// VMs is probed by one of them, that the coordinator gets the reports of all
// VMs, and that another node takes over from a prober that stops.
func TestVMsAreProbedOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "praha")
	for i := range 4 {
		c.addNode("praha", fmt.Sprintf("praha-e%d", i))
	}
	c.startAll()
	c.apply()
	vms := len(c.engines) + len(c.services)
	probedOnce := func() bool {
		probers, fresh := c.probePlans()
		for _, count := range probers {
			if count != 1 {
				return false
			}
		}
		return fresh && len(probers) == vms && c.hasCoordinator("praha")
	}
	eventually(t, "each VM is probed by one node", probedOnce)
	eventually(t, "a completion through every node", func() bool {
		for vm := range c.nodes {
			if !c.canServe(vm) {
				return false
			}
		}
		return true
	})

	stopped := c.nodes["praha-e1"]
	stopped.stop()
	<-stopped.done
	delete(c.nodes, "praha-e1")
	eventually(t, "each VM is probed by one of the others", probedOnce)
	for vm := range c.nodes {
		assert.Assert(t, c.canServe(vm), vm)
	}
}

// TestStartingNodeProbesOnlyItsShare checks that a node that has just started,
// and knows no other node yet, does not probe the whole data centre.
func TestStartingNodeProbesOnlyItsShare(t *testing.T) {
	const entries, engines = 16, 64
	c := newCluster(t)
	c.doc.DataCentres = []inventory.DataCentre{{Name: "praha"}}
	for i := range engines {
		c.doc.VMs = append(c.doc.VMs, inventory.VM{
			Name: fmt.Sprintf("m%d", i), DataCentre: "praha", FabricDomain: "f", Role: inventory.RoleModel,
		})
	}
	for i := range entries {
		c.doc.VMs = append(c.doc.VMs, inventory.VM{Name: fmt.Sprintf("e%d", i), DataCentre: "praha", Role: inventory.RoleEntry})
	}
	set := settings.Default()
	set.VM, set.DataCentre = "e0", "praha"
	n := New(Options{Settings: set, Logger: slog.New(slog.DiscardHandler), Registry: metrics.NewRegistry()})
	n.index = newIndex(1, &c.doc, "praha")
	const homes = 2
	probed := len(n.planProbes(time.Now()).vms)
	assert.Assert(t, probed > 0 && probed <= 2*homes*engines/entries, "%d of %d", probed, engines)
}
