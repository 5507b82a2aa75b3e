package daemon

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/group"
	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// metricsInterval is the interval at which the metrics that need a pass over
// all VMs are updated.
const metricsInterval = 5 * time.Second

// dataCentreCounts holds a coordinator's counts of its data centre. They are
// zero on other nodes, so that sums over all nodes count everything once.
type dataCentreCounts struct {
	heldLeases, wholeGroups, brokenGroups, strandedAccelerators int64
}

// recordStateMetrics updates the metrics of the node's state and of the data
// centre that it coordinates. n.mu must be held.
func (n *Node) recordStateMetrics(now time.Time) {
	telemetry.Gauge(n.registry, "platform_age_seconds").Update(wholeSeconds(now.Sub(n.platformAnsweredAt)))
	telemetry.Gauge(n.registry, "configuration_age_seconds").Update(wholeSeconds(n.config.Digest(now).ReadAge))
	telemetry.Gauge(n.registry, "live_nodes").Update(int64(len(n.gossip.Live(now, ""))))
	c := n.countDataCentre(now)
	telemetry.Gauge(n.registry, "held_leases").Update(c.heldLeases)
	telemetry.Gauge(n.registry, "whole_groups").Update(c.wholeGroups)
	telemetry.Gauge(n.registry, "broken_groups").Update(c.brokenGroups)
	telemetry.Gauge(n.registry, "stranded_accelerators").Update(c.strandedAccelerators)
	telemetry.Counter(n.registry, "group_down_seconds_total").Inc(c.brokenGroups * wholeSeconds(metricsInterval))
}

func wholeSeconds(d time.Duration) int64 { return int64(d / time.Second) }

// countDataCentre counts the groups and stranded accelerators of this node's
// data centre. n.mu must be held.
func (n *Node) countDataCentre(now time.Time) dataCentreCounts {
	var c dataCentreCounts
	if !n.isCoordinatorOf(now, n.settings.DataCentre) || n.index.doc == nil {
		return c
	}
	c.heldLeases = 1
	serving := map[string]bool{}
	for _, condition := range n.manager.Status(now).Groups {
		switch condition.State {
		case group.StateWhole:
			c.wholeGroups++
			for _, vm := range condition.Group.Members {
				serving[vm] = true
			}
		case group.StateBroken, group.StateForming:
			c.brokenGroups++
		}
	}
	for i := range n.index.doc.VMs {
		vm := &n.index.doc.VMs[i]
		idle := vm.Role == inventory.RoleModel && vm.DataCentre == n.settings.DataCentre && !serving[vm.Name]
		if idle && n.hasFreshReport(now, vm.Name) && !n.index.isOut(vm.Name) {
			c.strandedAccelerators += int64(vm.Accelerators)
		}
	}
	return c
}
