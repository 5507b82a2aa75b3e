package replica

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
)

const (
	// rebalanceEvery is the time between two groups that are given up for
	// another model's.
	rebalanceEvery = 600 * time.Millisecond
	// rebalanceAfter is when a new planner knows the groups well enough.
	rebalanceAfter = 2 * time.Second
)

// rebalance gives groups of one model up where their VMs can form a group of a
// model that has a smaller part of the groups it should have. It does so only
// if the smallest of these parts grows by it, so that it comes to an end.
func (p *Planner) rebalance(now time.Time) {
	settled := now.Sub(p.started) >= rebalanceAfter && now.Sub(p.rebalancedAt) >= rebalanceEvery
	if !p.traffic || !settled || p.changing() {
		return
	}
	for i := range p.engine.Models {
		model := &p.engine.Models[i]
		if !p.lacks(model) {
			continue
		}
		if donors := p.donorsFor(now, model); len(donors) > 0 {
			p.rebalancedAt = now
			for _, g := range donors {
				g.giveWay(now, model.Name)
			}
			return
		}
	}
}

// changing reports whether a group is being dissolved for another one.
func (p *Planner) changing() bool {
	for _, g := range p.groups {
		if g.Phase == Dissolving && g.Lost == "" {
			return true
		}
	}
	return false
}

// donorsFor returns the fewest groups of one domain whose VMs, with the free
// ones, join a group of the model without a load.
func (p *Planner) donorsFor(now time.Time, model *catalog.Model) []*Group {
	var best []*Group
	for _, d := range p.domains(now) {
		usable := 0
		for _, m := range d.free {
			if joinCost(m, model.Name) < joinLoad {
				usable++
			}
		}
		donors := p.donorsIn(d, model, model.GroupSize-usable)
		if len(donors) > 0 && (best == nil || len(donors) < len(best)) && p.improves(model, donors) {
			best = donors
		}
	}
	return best
}

// donorsIn returns serving groups of other models in a domain that have n VMs
// which join a group of the model without a load, or nil.
func (p *Planner) donorsIn(d *domain, model *catalog.Model, n int) []*Group {
	if n <= 0 {
		return nil
	}
	var out []*Group
	for _, g := range p.sorted() {
		if g.Model == model.Name || g.Phase != Serving || p.members[g.Members[0]].Domain != d.name {
			continue
		}
		gives := 0
		for _, id := range g.Members {
			if m := p.members[id]; m.loading == "" && joinCost(m, model.Name) < joinLoad {
				gives++
			}
		}
		if gives == 0 {
			continue
		}
		out = append(out, g)
		if n -= gives; n <= 0 {
			return out
		}
	}
	return nil
}

// improves reports whether the smallest part that a model has of its groups
// grows if the donors are given up for one group of the model.
func (p *Planner) improves(model *catalog.Model, donors []*Group) bool {
	before, after := 1e9, 1e9
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		running, wanted := float64(p.running(m.Name)), max(1, p.wanted(m))
		before = min(before, running/wanted)
		if m == model {
			running++
		}
		for _, g := range donors {
			if g.Model == m.Name {
				running--
			}
		}
		after = min(after, running/wanted)
	}
	return after > before
}
