package coordinator

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/replica"
	"github.com/pimentoshore/pimentoshore/internal/telemetry"
)

// summarise logs and publishes the numbers of a service's VMs.
func (c *Coordinator) summarise(now time.Time, service string, p *replica.Planner) {
	activities := p.Activities(now)
	c.setActivityGauges(service, activities)
	c.setShareGauges(service, p)
	c.opts.Log.Info("VMs", "service", service, "activities", activities, "domains", p.Summary(now), "use", p.SlotUse())
}

// countServingGroups returns the number of serving groups.
func countServingGroups(groups []*replica.Group) int {
	serving := 0
	for _, g := range groups {
		if g.Phase == replica.Serving {
			serving++
		}
	}
	return serving
}

// setGroupGauges publishes the numbers of serving and other groups. The gauges are
// 0 on a node that doesn't hold the lease, so that the sum over all nodes counts
// each group once. A holder that may give no orders, because its lease ends soon,
// keeps the last values until the lease is renewed or lost.
func (c *Coordinator) setGroupGauges(serving, notServing int) {
	telemetry.Gauge(c.opts.Metrics, "whole_groups").Update(int64(serving))
	telemetry.Gauge(c.opts.Metrics, "broken_groups").Update(int64(notServing))
}

// setActivityGauges publishes the number of a service's VMs by activity. Like the
// gauges of groups, these are 0 on a node that doesn't hold the lease.
func (c *Coordinator) setActivityGauges(service string, counts map[replica.Activity]int) {
	for _, a := range replica.AllActivities {
		telemetry.Gauge(c.opts.Metrics, "endpoint_vms_number", "service", service, "activity", string(a)).Update(int64(counts[a]))
	}
}

// logGroups logs the changes of the phases of all services' groups. c.mu must be
// held.
func (c *Coordinator) logGroups(groups []*replica.Group) {
	seen := make(map[uint64]bool)
	for _, g := range groups {
		seen[g.Epoch] = true
		if c.loggedPhases[g.Epoch] == g.Phase {
			continue
		}
		c.loggedPhases[g.Epoch] = g.Phase
		c.opts.Log.Info("group "+string(g.Phase), "group", g.Name, "epoch", g.Epoch, "model", g.Model,
			"members", g.Members, "reason", string(g.Reason), "lost", g.Lost, "for", g.For)
	}
	for epoch := range c.loggedPhases {
		if !seen[epoch] {
			delete(c.loggedPhases, epoch)
			c.opts.Log.Info("group gone", "epoch", epoch)
		}
	}
}
