package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
)

const (
	// rebalanceInterval is the minimum time between dissolving groups in favour
	// of another model.
	rebalanceInterval = 600 * time.Millisecond
	// rebalanceDelay is how long a new planner collects reports before it
	// rebalances.
	rebalanceDelay = 2 * time.Second
	// minRebalanceGain is the minimum improvement in coverage. Both models are
	// short of groups until the new one serves.
	minRebalanceGain = 0.05
)

// rebalance dissolves groups of one model whose VMs can form a group of a model
// with a deficit. It does so only if this raises the lowest coverage of all
// models, so that rebalancing terminates.
func (p *Planner) rebalance(now time.Time) {
	if p.load.follow {
		p.move(now)
		return
	}
	due := now.Sub(p.startedAt) >= rebalanceDelay && now.Sub(p.rebalancedAt) >= rebalanceInterval
	if !p.hasTraffic || !due || p.isRebalancing() {
		return
	}
	for i := range p.engine.Models {
		model := &p.engine.Models[i]
		if !p.hasDeficit(model) {
			continue
		}
		donors, free := p.findDonors(now, model)
		if len(donors) > 0 {
			p.donateTo(now, model, donors, free)
			return
		}
	}
}

// donateTo starts to dissolve the donors and keeps their VMs, and the free ones,
// for a model.
func (p *Planner) donateTo(now time.Time, model *catalog.Model, donors []*Group, free []*member) {
	p.rebalancedAt = now
	for _, g := range donors {
		g.donate(now, model.Name)
		free = append(free, p.membersOf(g)...)
	}
	for _, m := range free {
		m.donation = donation{model.Name, now.Add(donorTimeout)}
	}
}

// donation keeps a VM for a model until the groups that are dissolved in its
// favour have finished.
type donation struct {
	model string
	until time.Time
}

func (m *member) isDonatedElsewhere(now time.Time, model string) bool {
	return m.donation.model != model && now.Before(m.donation.until)
}

// isRebalancing reports whether a group is being dissolved for a reason other
// than a lost member, such as a donation.
func (p *Planner) isRebalancing() bool {
	for _, g := range p.groups {
		if g.Phase == Dissolving && g.Lost == "" {
			return true
		}
	}
	return false
}

// findDonors returns the smallest set of groups in one domain whose VMs,
// together with the domain's free VMs in bestFree, can join a group of the
// model without a load.
func (p *Planner) findDonors(now time.Time, model *catalog.Model) (best []*Group, bestFree []*member) {
	for _, d := range p.domains(now) {
		var free []*member
		for _, m := range d.free {
			if joinCost(m, model.Name) < joinLoad && !m.isDonatedElsewhere(now, model.Name) {
				free = append(free, m)
			}
		}
		donors := p.findDonorsIn(now, d, model, model.GroupSize-len(free))
		if len(donors) > 0 && (best == nil || len(donors) < len(best)) && p.coverageGain(model, donors) >= minRebalanceGain {
			best, bestFree = donors, free
		}
	}
	return best, bestFree
}

// membersOf returns the known VMs of a group.
func (p *Planner) membersOf(g *Group) []*member {
	var out []*member
	for _, id := range g.Members {
		if m := p.members[id]; m != nil {
			out = append(out, m)
		}
	}
	return out
}

// findDonorsIn returns serving groups of other models in a domain that together
// have n VMs able to join a group of the model without a load, or nil if there
// are too few.
func (p *Planner) findDonorsIn(now time.Time, d *domain, model *catalog.Model, n int) []*Group {
	var candidates []*Group
	for _, g := range p.donorCandidates() {
		if g.Phase == Serving && p.members[g.Members[0]].Domain == d.name {
			candidates = append(candidates, g)
		}
	}
	return p.findDonorsAmong(now, candidates, model, n)
}

// findDonorsAmong returns the first of the serving groups of other models that
// together have n VMs able to join a group of the model without a load, or nil if
// there are too few.
func (p *Planner) findDonorsAmong(now time.Time, candidates []*Group, model *catalog.Model, n int) []*Group {
	if n <= 0 {
		return nil
	}
	var out []*Group
	for _, g := range candidates {
		if g.Model == model.Name || g.Phase != Serving || p.load.follow && p.changedModelRecently(now, g) {
			continue
		}
		usable := 0
		for _, id := range g.Members {
			if m := p.members[id]; m.loading == "" && joinCost(m, model.Name) < joinLoad {
				usable++
			}
		}
		if usable == 0 {
			continue
		}
		out = append(out, g)
		if n -= usable; n <= 0 {
			return out
		}
	}
	return nil
}

// donorCandidates returns the groups in the order in which they are dissolved for
// others: by epoch, or while shares follow the load those with the fewest requests
// first, since they close soonest.
func (p *Planner) donorCandidates() []*Group {
	groups := p.sortedGroups()
	if p.load.follow {
		slices.SortStableFunc(groups, func(a, b *Group) int {
			return cmp.Compare(p.requestsAt([]*Group{a}), p.requestsAt([]*Group{b}))
		})
	}
	return groups
}

// coverageGain returns how much the lowest ratio of running to target groups
// over all models rises if the donors are dissolved for one more group of the
// model.
func (p *Planner) coverageGain(model *catalog.Model, donors []*Group) float64 {
	before, after := 1e9, 1e9
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		running, target := float64(p.activeGroups(m.Name)), max(1, p.targetGroups(m))
		before = min(before, running/target)
		if m == model {
			running++
		}
		for _, g := range donors {
			if g.Model == m.Name {
				running--
			}
		}
		after = min(after, running/target)
	}
	return after - before
}
