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
	// rebalanceGain is what giving groups up has to bring, since both models
	// lack them until the new one serves.
	rebalanceGain = 0.05
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
		if !p.hasDeficit(model) {
			continue
		}
		donors, free := p.donorsFor(now, model)
		if len(donors) > 0 {
			p.rebalancedAt = now
			for _, g := range donors {
				g.yield(now, model.Name)
				free = append(free, p.membersOf(g)...)
			}
			for _, m := range free {
				m.promise = promise{model.Name, now.Add(donorWait)}
			}
			return
		}
	}
}

// promise keeps a VM for a model until the groups that were given up for it
// have finished.
type promise struct {
	model string
	until time.Time
}

func (m *member) promisedElsewhere(now time.Time, model string) bool {
	return m.promise.model != model && now.Before(m.promise.until)
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
// ones that it returns too, join a group of the model without a load.
func (p *Planner) donorsFor(now time.Time, model *catalog.Model) (best []*Group, bestFree []*member) {
	for _, d := range p.domains(now) {
		var free []*member
		for _, m := range d.free {
			if joinCost(m, model.Name) < joinLoad && !m.promisedElsewhere(now, model.Name) {
				free = append(free, m)
			}
		}
		donors := p.donorsIn(d, model, model.GroupSize-len(free))
		if len(donors) > 0 && (best == nil || len(donors) < len(best)) && p.gain(model, donors) >= rebalanceGain {
			best, bestFree = donors, free
		}
	}
	return best, bestFree
}

// membersOf returns the VMs of a group that are known.
func (p *Planner) membersOf(g *Group) []*member {
	var out []*member
	for _, id := range g.Members {
		if m := p.members[id]; m != nil {
			out = append(out, m)
		}
	}
	return out
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

// gain returns by how much the smallest part that a model has of its groups
// grows if the donors are given up for one group of the model.
func (p *Planner) gain(model *catalog.Model, donors []*Group) float64 {
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
	return after - before
}
