package daemon

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/group"
	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// metricsInterval is the period of the metrics that look at every VM.
const metricsInterval = 5 * time.Second

// census counts what a coordinator knows of its data centre. It is zero on
// other nodes, so that sums over all nodes count everything once.
type census struct {
	leases, whole, broken, stranded int64
}

// recordState publishes the state of the node and of what it coordinates. mu
// is held.
func (n *Node) recordState(now time.Time) {
	telemetry.Gauge(n.registry, "platform_age_seconds").Update(wholeSeconds(now.Sub(n.platformSeen)))
	telemetry.Gauge(n.registry, "configuration_age_seconds").Update(wholeSeconds(n.config.Digest(now).ReadAge))
	telemetry.Gauge(n.registry, "live_nodes").Update(int64(len(n.gossip.Live(now, ""))))
	c := n.census(now)
	telemetry.Gauge(n.registry, "held_leases").Update(c.leases)
	telemetry.Gauge(n.registry, "whole_groups").Update(c.whole)
	telemetry.Gauge(n.registry, "broken_groups").Update(c.broken)
	telemetry.Gauge(n.registry, "stranded_accelerators").Update(c.stranded)
	telemetry.Counter(n.registry, "group_down_seconds_total").Inc(c.broken * wholeSeconds(metricsInterval))
}

func wholeSeconds(d time.Duration) int64 { return int64(d / time.Second) }

// census looks at every group and VM of the data centre. mu is held.
func (n *Node) census(now time.Time) census {
	var c census
	if !n.coordinates(now, n.set.DataCentre) || n.index.doc == nil {
		return c
	}
	c.leases = 1
	serving := map[string]bool{}
	for _, condition := range n.manager.Status(now).Groups {
		switch condition.State {
		case group.StateWhole:
			c.whole++
			for _, vm := range condition.Group.Members {
				serving[vm] = true
			}
		case group.StateBroken, group.StateForming:
			c.broken++
		}
	}
	for i := range n.index.doc.VMs {
		vm := &n.index.doc.VMs[i]
		idle := vm.Role == inventory.RoleModel && vm.DataCentre == n.set.DataCentre && !serving[vm.Name]
		if idle && n.fresh(now, vm.Name) && !n.index.out(vm.Name) {
			c.stranded += int64(vm.Accelerators)
		}
	}
	return c
}
