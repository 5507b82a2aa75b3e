package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
)

const (
	// minModelTime is the minimum time between two changes of the model of a
	// group's VMs. A change takes up to 4 s, during which they serve no one.
	minModelTime = 8 * time.Second
	// minMoveGain is how much the coverage of each model that gives groups must
	// exceed the receiving model's, after all groups that are being moved. Moving
	// a group back would then lower the lower coverage.
	minMoveGain = 0.1
	// giveMargin is the factor by which the capacity of a model that gives groups
	// must exceed its peak load afterwards, since load is spread unevenly.
	giveMargin = 1.1
	// maxMovingShare is the fraction of the VMs in groups that may be moving to
	// another model, and minMovingGroups how many groups always may. Moving them
	// one at a time takes 4 s each.
	maxMovingShare  = 0.125
	minMovingGroups = 3
)

// move dissolves groups in favour of a model that is short of capacity, as
// rebalance does for configured shares.
func (p *Planner) move(now time.Time) {
	due := now.Sub(p.startedAt) >= rebalanceDelay && now.Sub(p.rebalancedAt) >= rebalanceInterval && now.Sub(p.load.triedAt) >= rebalanceInterval
	if !p.hasTraffic || !due {
		return
	}
	p.load.triedAt = now
	for _, model := range p.modelsByCoverage() {
		if !p.mayReceive(now, model) {
			continue
		}
		plan := p.newMovePlan(now, model)
		if plan.groups >= max(1, int(plan.targets[model.Name])) {
			continue
		}
		donors, free := p.findMove(plan)
		if len(donors) > 0 {
			p.donateTo(now, model, donors, free)
			return
		}
	}
}

// modelsByCoverage returns the models, the one with the lowest coverage first.
func (p *Planner) modelsByCoverage() []*catalog.Model {
	models := make([]*catalog.Model, 0, len(p.engine.Models))
	for i := range p.engine.Models {
		models = append(models, &p.engine.Models[i])
	}
	slices.SortStableFunc(models, func(a, b *catalog.Model) int { return cmp.Compare(p.coverage(a), p.coverage(b)) })
	return models
}

// mayReceive reports whether a model has no group or is short of capacity. With
// hardly any load, the groups go back to the configured shares.
func (p *Planner) mayReceive(now time.Time, model *catalog.Model) bool {
	return p.activeGroups(model.Name) == 0 || p.hasSeenLoad(now) && (p.loadWeight() == 0 || p.use(model) >= shortUse)
}

// movePlan contains the inputs for moving groups to one model.
type movePlan struct {
	p        *Planner
	now      time.Time
	receiver *catalog.Model
	// isFull is whether the receiver's demand may exceed its load.
	isFull bool
	// targets holds the number of groups that each model should have, configured
	// the same for the configured shares.
	targets, configured map[string]float64
	// candidates holds the groups that may be dissolved, by domain.
	candidates map[string][]*Group
	// groups is the number of the receiver's groups once all VMs that are being
	// moved to it form groups.
	groups int
	// donated counts the VMs that are already being moved to the receiver, by
	// domain.
	donated map[string]int
}

func (p *Planner) newMovePlan(now time.Time, receiver *catalog.Model) *movePlan {
	plan := &movePlan{
		p: p, now: now, receiver: receiver, isFull: p.use(receiver) >= fullUse, targets: make(map[string]float64),
		configured: make(map[string]float64), candidates: make(map[string][]*Group), donated: make(map[string]int),
	}
	shares := p.sharesByLoad(receiver)
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		plan.targets[m.Name] = p.groupsForShare(m, shares[m.Name])
		plan.configured[m.Name] = p.groupsForShare(m, p.configuredShare(m))
	}
	for _, g := range p.donorCandidates() {
		if head := p.members[g.Members[0]]; head != nil && !p.evacuated[head.DataCentre] {
			plan.candidates[head.Domain] = append(plan.candidates[head.Domain], g)
		}
	}
	for _, m := range p.members {
		moving := m.group == nil || m.group.Phase == Dissolving
		if moving && m.donation.model == receiver.Name && now.Before(m.donation.until) && !m.isLeaving() {
			plan.donated[m.Domain]++
		}
	}
	plan.groups = p.activeGroups(receiver.Name)
	for _, vms := range plan.donated {
		plan.groups += vms / receiver.GroupSize
	}
	return plan
}

// findMove returns the smallest set of groups of one domain that can be dissolved
// in favour of the plan's receiver, and the domain's free VMs that join it too.
func (p *Planner) findMove(plan *movePlan) (best []*Group, bestFree []*member) {
	bestKey := [2]int{}
	for _, d := range p.domains(plan.now) {
		var free []*member
		for _, m := range d.free {
			if joinCost(m, plan.receiver.Name) < joinLoad && !m.isDonatedElsewhere(plan.now, plan.receiver.Name) {
				free = append(free, m)
			}
		}
		donors := p.findDonorsAmong(plan.now, plan.candidates[d.name], plan.receiver, plan.receiver.GroupSize-len(free))
		if len(donors) == 0 || !plan.allows(d, donors, free) {
			continue
		}
		if key := [2]int{len(donors), p.requestsAt(donors)}; best == nil || slices.Compare(key[:], bestKey[:]) < 0 {
			best, bestFree, bestKey = donors, free, key
		}
	}
	return best, bestFree
}

// requestsAt returns the number of requests at groups.
func (p *Planner) requestsAt(groups []*Group) int {
	n := 0
	for _, g := range groups {
		if head := p.members[g.Members[0]]; head != nil {
			n += head.Running + head.Waiting
		}
	}
	return n
}

// allows reports whether the donors may be dissolved together with all groups that
// are being dissolved already.
func (plan *movePlan) allows(d *domain, donors []*Group, free []*member) bool {
	p := plan.p
	if !p.mayMove(donors) {
		return false
	}
	moving := plan.donated[d.name]
	if (moving+plan.additionalVMs(donors, free))/plan.receiver.GroupSize <= moving/plan.receiver.GroupSize {
		return false
	}
	before := float64(plan.groups) / max(1, plan.targets[plan.receiver.Name])
	given := make(map[string]int)
	for _, g := range donors {
		given[g.Model]++
	}
	for name, n := range given {
		m := p.engine.Model(name)
		if m == nil {
			continue
		}
		after := float64(p.activeGroups(name)-n) / max(1, plan.targets[name])
		if after-before < minMoveGain || !plan.keepsEnough(m, n) {
			return false
		}
	}
	return true
}

// additionalVMs counts the VMs that can join the receiver and aren't being moved
// to it yet.
func (plan *movePlan) additionalVMs(donors []*Group, free []*member) int {
	n := 0
	for _, m := range free {
		if m.donation.model != plan.receiver.Name || !plan.now.Before(m.donation.until) {
			n++
		}
	}
	for _, g := range donors {
		for _, m := range plan.p.membersOf(g) {
			if m.loading == "" && joinCost(m, plan.receiver.Name) < joinLoad {
				n++
			}
		}
	}
	return n
}

// mayMove reports whether the bound on groups that are being moved at once allows
// further donors.
func (p *Planner) mayMove(donors []*Group) bool {
	groups, moving, vms := len(donors), 0, 0
	for _, g := range p.groups {
		vms += len(g.Members)
		if g.Phase == Dissolving && g.Lost == "" {
			groups++
			moving += len(g.Members)
		}
	}
	for _, g := range donors {
		moving += len(g.Members)
	}
	return groups <= minMovingGroups || float64(moving) <= maxMovingShare*float64(vms)
}

// keepsEnough reports whether a model can serve its peak load without n of its
// groups. If the receiver is full, a model with more than its configured share
// gives groups in any case: otherwise a model that got few groups while it had no
// load would never get them back from one that is full as well.
func (plan *movePlan) keepsEnough(m *catalog.Model, n int) bool {
	p := plan.p
	left := float64(p.activeGroups(m.Name) - n)
	if plan.isFull && left >= plan.configured[m.Name] {
		return true
	}
	h := p.load.history[m.Name]
	peak := h.peak()
	if p.LoadAge(plan.now) < fullLoadAge {
		peak = max(peak, swingFactor*h.mean())
	}
	return left*float64(p.capacity(m)) >= giveMargin*peak
}

// changedModelRecently reports whether VMs of a group changed their model within
// minModelTime.
func (p *Planner) changedModelRecently(now time.Time, g *Group) bool {
	return slices.ContainsFunc(p.membersOf(g), func(m *member) bool {
		return !m.modelChangedAt.IsZero() && now.Sub(m.modelChangedAt) < minModelTime
	})
}
