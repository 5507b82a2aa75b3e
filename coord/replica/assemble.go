package replica

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
)

// Costs for a VM to join a group of a model, cheapest first.
const (
	joinHeld   = iota // the VM holds the weights from its last group
	joinStaged        // the weights are staged on the VM's host
	joinLoad          // the weights have to be loaded
)

// domain is a fabric domain and its free VMs.
type domain struct {
	name       string
	dataCentre string
	free       []*member
	// hasWaitingGroup is whether a broken group waits for VMs of this domain.
	hasWaitingGroup bool
	groups          map[string]int // by model, including groups that are being dissolved
}

// isFree reports whether a VM can join a group now.
func (p *Planner) isFree(now time.Time, m *member) bool {
	return m.group == nil && m.canTakeOrder(now) && m.loading == "" &&
		m.Listed && !m.Departing() && !p.evacuated[m.DataCentre] &&
		m.FailedProbes == 0 && now.Sub(m.ReportedAt) < maxProbeAge && !m.ReportedAt.Before(m.acceptedAt) &&
		!now.Before(m.cooldownUntil) && (m.Group == "" || m.IsStandby() || p.released[keyOf(m)]) && (!m.Busy || m.isWarming())
}

// domains returns the fabric domains, sorted by name.
func (p *Planner) domains(now time.Time) []*domain {
	byName := make(map[string]*domain)
	var out []*domain
	for _, vm := range p.table.All() {
		m := p.members[vm.ID]
		if m == nil {
			continue
		}
		d := byName[m.Domain]
		if d == nil {
			d = &domain{name: m.Domain, dataCentre: m.DataCentre, groups: make(map[string]int)}
			byName[m.Domain] = d
			out = append(out, d)
		}
		free := p.isFree(now, m)
		if !free {
			m.freeSince = time.Time{}
		}
		switch {
		case m.group != nil:
			d.hasWaitingGroup = d.hasWaitingGroup || m.group.awaitsDonors && m.group.Phase == Dissolving && !m.group.dissolveOrdered
			if m.group.Members[0] == m.ID {
				d.groups[m.group.Model]++
			}
		case free:
			if m.freeSince.IsZero() {
				m.freeSince = now
			}
			d.free = append(d.free, m)
		}
	}
	slices.SortFunc(out, func(a, b *domain) int { return cmp.Compare(a.name, b.name) })
	return out
}

// targetGroups returns how many groups of a model the fleet should run.
func (p *Planner) targetGroups(model *catalog.Model) float64 {
	return p.groupsForShare(model, p.share(model))
}

// groupsForShare returns how many groups of a model the fleet should run if the
// model has the given share of the work.
func (p *Planner) groupsForShare(model *catalog.Model, share float64) float64 {
	alive := 0
	for _, m := range p.members {
		if m.Listed && !m.Departing() && m.FailedProbes < minSilentProbes && !p.evacuated[m.DataCentre] {
			alive++
		}
	}
	return float64(alive) * (1 - p.spareShare()) * share / float64(model.GroupSize)
}

// hasDeficit reports whether a model has fewer groups than its target.
func (p *Planner) hasDeficit(model *catalog.Model) bool {
	return p.activeGroups(model.Name) < max(1, int(p.targetGroups(model)))
}

// activeGroups returns the number of groups of a model that serve callers or
// are about to. Groups in evacuated data centres do not count.
func (p *Planner) activeGroups(model string) int {
	n := 0
	for _, g := range p.groups {
		if g.Model == model && g.Phase != Dissolving && !p.isEvacuated(g) {
			n++
		}
	}
	return n
}

// isEvacuated reports whether a group's data centre is being evacuated.
func (p *Planner) isEvacuated(g *Group) bool {
	head := p.members[g.Members[0]]
	return head != nil && p.evacuated[head.DataCentre]
}

// isStartingUp reports whether VMs are still appearing for the first time.
// Groups formed now would divide the domains badly.
func (p *Planner) isStartingUp(now time.Time) bool {
	if p.hasTraffic || p.opts.Epochs.Term() > 1 || now.Sub(p.startedAt) > startupTimeout {
		return false
	}
	return now.Sub(p.lastNewVMAt) < startupQuiet
}

// assemble forms groups of free VMs, starting with the model that has the
// lowest coverage.
func (p *Planner) assemble(now time.Time) {
	if p.isAdopting(now) || p.isStartingUp(now) {
		return
	}
	domains := p.domains(now)
	for p.assembleOne(now, domains) {
	}
}

func (p *Planner) assembleOne(now time.Time, domains []*domain) bool {
	for _, model := range p.modelsByCoverage() {
		if !p.hasDeficit(model) {
			continue
		}
		d, members := p.bestDomain(now, domains, model)
		if d == nil {
			continue
		}
		if !p.canLoad(now, countLoads(members, model), model) {
			continue
		}
		p.assembleIn(now, d, model, members)
		return true
	}
	return false
}

// coverage returns the ratio of a model's groups to its target.
func (p *Planner) coverage(m *catalog.Model) float64 {
	return (float64(p.activeGroups(m.Name)) + 0.5) / math.Max(p.targetGroups(m), 0.1)
}

// isReserved reports whether a VM is temporarily kept for a larger model whose
// weights it holds and whose coverage is lower than that of the given model.
func (p *Planner) isReserved(now time.Time, m *member, model *catalog.Model) bool {
	loaded := p.engine.Model(m.LoadedModel)
	if loaded == nil || loaded.GroupSize <= model.GroupSize || now.Sub(m.freeSince) >= reserveTime {
		return false
	}
	return p.hasDeficit(loaded) && p.coverage(loaded) < p.coverage(model)
}

// reserveTime is how long a VM of a lost group is reserved for its model.
const reserveTime = 3 * time.Second

// bestDomain returns the domain where a group of a model can form soonest, and
// the VMs to use. The domain is nil if there is none.
func (p *Planner) bestDomain(now time.Time, domains []*domain, model *catalog.Model) (*domain, []*member) {
	var best *domain
	var members []*member
	bestKey := [3]int{math.MaxInt, 0, 0}
	for _, d := range domains {
		if len(d.free) < model.GroupSize || d.hasWaitingGroup {
			continue
		}
		chosen := p.cheapest(now, d.free, model)
		if len(chosen) < model.GroupSize {
			continue
		}
		loads := countLoads(chosen, model)
		key := [3]int{loads, d.groups[model.Name], -len(d.free)}
		if slices.Compare(key[:], bestKey[:]) < 0 {
			best, members, bestKey = d, chosen, key
		}
	}
	return best, members
}

// countLoads returns how many of the members have to load the model's weights.
func countLoads(members []*member, model *catalog.Model) int {
	n := 0
	for _, m := range members {
		if joinCost(m, model.Name) == joinLoad {
			n++
		}
	}
	return n
}

func joinCost(m *member, model string) int {
	switch {
	case m.LoadedModel == model:
		return joinHeld
	case m.HasStaged(model):
		return joinStaged
	}
	return joinLoad
}

// cheapest returns the free VMs that can join a group of a model soonest. The
// result is shorter than the group size if too few are available.
func (p *Planner) cheapest(now time.Time, free []*member, model *catalog.Model) []*member {
	sorted := sortedByCost(free, model.Name)
	sorted = slices.DeleteFunc(sorted, func(m *member) bool { return m.isDonatedElsewhere(now, model.Name) || p.isReserved(now, m, model) })
	return sorted[:min(model.GroupSize, len(sorted))]
}

// sortedByCost returns VMs sorted by the cost of joining a group of a model.
func sortedByCost(vms []*member, model string) []*member {
	sorted := slices.Clone(vms)
	slices.SortStableFunc(sorted, func(a, b *member) int {
		return cmp.Or(cmp.Compare(joinCost(a, model), joinCost(b, model)), cmp.Compare(len(a.Staged), len(b.Staged)))
	})
	return sorted
}

func (p *Planner) assembleIn(now time.Time, d *domain, model *catalog.Model, members []*member) {
	for _, m := range members {
		if joinCost(m, model.Name) == joinLoad {
			p.startLoad(now, m, model.Name)
		}
	}
	g := p.newGroup(now, "", model.Name, members)
	d.groups[model.Name]++
	d.free = slices.DeleteFunc(d.free, func(m *member) bool { return m.group != nil })
	for _, m := range members {
		p.sendJoin(now, g, m)
	}
}
