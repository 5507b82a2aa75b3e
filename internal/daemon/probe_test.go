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

// probeRounds returns by how many of a number of nodes each VM is probed at
// first hand, and whether all of them have fresh reports of the VMs that
// concern them.
func (c *cluster) probeRounds() (probers map[string]int, fresh bool) {
	probers = map[string]int{}
	fresh = true
	for _, n := range c.nodes {
		n.locked(func(now time.Time) {
			if n.index.doc == nil {
				fresh = false
				return
			}
			_, coordinating := n.lease.Held(now)
			for _, vm := range n.divide(now).vms {
				probers[vm.Name]++
			}
			for vm := range c.engines {
				fresh = fresh && (!coordinating || n.fresh(now, vm))
			}
		})
	}
	return probers, fresh
}

// TestVMsAreProbedOnce checks that each VM of a data centre with several entry
// VMs is probed by one of them, that the coordinator hears of all through the
// others, and that another one steps in for a prober that stops.
func TestVMsAreProbedOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, "praha")
	for i := range 4 {
		c.addNode("praha", fmt.Sprintf("praha-e%d", i))
	}
	c.startAll()
	c.apply()
	vms := len(c.engines) + len(c.services)
	once := func() bool {
		probers, fresh := c.probeRounds()
		for _, count := range probers {
			if count != 1 {
				return false
			}
		}
		return fresh && len(probers) == vms && c.coordinated("praha")
	}
	eventually(t, "each VM is probed by one node", once)
	eventually(t, "a completion through every node", func() bool {
		for vm := range c.nodes {
			if !c.serves(vm) {
				return false
			}
		}
		return true
	})

	stopped := c.nodes["praha-e1"]
	stopped.stop()
	<-stopped.done
	delete(c.nodes, "praha-e1")
	eventually(t, "each VM is probed by one of the others", once)
	for vm := range c.nodes {
		assert.Assert(t, c.serves(vm), vm)
	}
}

// TestStartedNodeProbesItsPart lets a node of many start while it has heard of
// no other one. It must not probe the whole data centre.
func TestStartedNodeProbesItsPart(t *testing.T) {
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
	probed := len(n.divide(time.Now()).vms)
	assert.Assert(t, probed > 0 && probed <= 2*homes*engines/entries, "%d of %d", probed, engines)
}
