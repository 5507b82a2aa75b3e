package replica

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
)

// Costs of a VM's join, from what it holds of the model.
const (
	joinHeld   = iota // the model was that of its last group
	joinStaged        // the weights are on its host
	joinLoad          // the weights have to be loaded
)

// domain is a fabric domain with its VMs that are free.
type domain struct {
	name       string
	dataCentre string
	free       []*member
	// awaited is whether a broken group waits for VMs of the domain.
	awaited bool
	groups  map[string]int // by model, those that are dissolved included
}

// free reports whether a VM may join a group now.
func (p *Planner) free(now time.Time, m *member) bool {
	return m.group == nil && m.idle(now) && m.loading == "" &&
		m.Listed && !m.Departing() && !p.evacuated[m.DataCentre] &&
		m.FailedProbes == 0 && now.Sub(m.ReportedAt) < freshFor && !m.ReportedAt.Before(m.settleAt) &&
		!now.Before(m.coolsUntil) && (m.Group == "" || p.released[keyOf(m)]) && !m.Busy
}

// domains returns the fabric domains by name.
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
		free := p.free(now, m)
		if !free {
			m.freeSince = time.Time{}
		}
		switch {
		case m.group != nil:
			d.awaited = d.awaited || m.group.awaits && m.group.Phase == Dissolving && !m.group.ordered
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

// wanted returns how many groups of a model the fleet should run.
func (p *Planner) wanted(model *catalog.Model) float64 {
	alive := 0
	for _, m := range p.members {
		if m.Listed && !m.Departing() && m.FailedProbes < silentProbes && !p.evacuated[m.DataCentre] {
			alive++
		}
	}
	return float64(alive) * (1 - p.spareShare()) * p.share(model) / float64(model.GroupSize)
}

// hasDeficit reports whether a model has fewer groups than it should.
func (p *Planner) hasDeficit(model *catalog.Model) bool {
	return p.running(model.Name) < max(1, int(p.wanted(model)))
}

// running returns the number of groups of a model that serve callers or will.
// Those in data centres that are to get no work don't.
func (p *Planner) running(model string) int {
	n := 0
	for _, g := range p.groups {
		if g.Model == model && g.Phase != Dissolving && !p.evacuatedGroup(g) {
			n++
		}
	}
	return n
}

// evacuatedGroup reports whether a group's data centre is to get no work.
func (p *Planner) evacuatedGroup(g *Group) bool {
	head := p.members[g.Members[0]]
	return head != nil && p.evacuated[head.DataCentre]
}

// gathering reports whether VMs are still starting for the first time, so that
// groups that are formed now would split the domains badly.
func (p *Planner) gathering(now time.Time) bool {
	if p.traffic || p.opts.Epochs.Term() > 1 || now.Sub(p.started) > gatherMost {
		return false
	}
	return now.Sub(p.grewAt) < gatherQuiet
}

// assemble forms groups of free VMs: first of the model that has the smallest
// part of the groups it should have.
func (p *Planner) assemble(now time.Time) {
	if p.adopting(now) || p.gathering(now) {
		return
	}
	domains := p.domains(now)
	for p.assembleOne(now, domains) {
	}
}

func (p *Planner) assembleOne(now time.Time, domains []*domain) bool {
	models := make([]*catalog.Model, 0, len(p.engine.Models))
	for i := range p.engine.Models {
		models = append(models, &p.engine.Models[i])
	}
	slices.SortStableFunc(models, func(a, b *catalog.Model) int { return cmp.Compare(p.part(a), p.part(b)) })
	for _, model := range models {
		if !p.hasDeficit(model) {
			continue
		}
		d, members := p.bestPlace(now, domains, model)
		if d == nil {
			continue
		}
		if !p.mayLoad(now, loadsOf(members, model), model) {
			continue
		}
		p.assembleIn(now, d, model, members)
		return true
	}
	return false
}

// part returns which part of the groups that a model should have it has.
func (p *Planner) part(m *catalog.Model) float64 {
	return (float64(p.running(m.Name)) + 0.5) / math.Max(p.wanted(m), 0.1)
}

// reserved reports whether a VM is kept for a while for a larger model, which
// it holds and which has a smaller part of its groups.
func (p *Planner) reserved(now time.Time, m *member, model *catalog.Model) bool {
	held := p.engine.Model(m.LoadedModel)
	if held == nil || held.GroupSize <= model.GroupSize || now.Sub(m.freeSince) >= reserveFor {
		return false
	}
	return p.hasDeficit(held) && p.part(held) < p.part(model)
}

// reserveFor is how long a VM of a lost group is kept for its model.
const reserveFor = 3 * time.Second

// bestPlace returns the domain in which a group of a model forms soonest, and
// its members.
func (p *Planner) bestPlace(now time.Time, domains []*domain, model *catalog.Model) (*domain, []*member) {
	var best *domain
	var members []*member
	bestKey := [3]int{math.MaxInt, 0, 0}
	for _, d := range domains {
		if len(d.free) < model.GroupSize || d.awaited {
			continue
		}
		chosen := p.cheapest(now, d.free, model)
		if len(chosen) < model.GroupSize {
			continue
		}
		loads := loadsOf(chosen, model)
		key := [3]int{loads, d.groups[model.Name], -len(d.free)}
		if slices.Compare(key[:], bestKey[:]) < 0 {
			best, members, bestKey = d, chosen, key
		}
	}
	return best, members
}

// loadsOf returns how many of the members have to load the model.
func loadsOf(members []*member, model *catalog.Model) int {
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

// cheapest returns the free VMs that join a group of a model soonest, fewer
// than it takes if there are no more.
func (p *Planner) cheapest(now time.Time, free []*member, model *catalog.Model) []*member {
	sorted := byCost(free, model.Name)
	sorted = slices.DeleteFunc(sorted, func(m *member) bool { return m.promisedElsewhere(now, model.Name) || p.reserved(now, m, model) })
	return sorted[:min(model.GroupSize, len(sorted))]
}

// byCost returns VMs in the order in which they can join a group of a model.
func byCost(vms []*member, model string) []*member {
	sorted := slices.Clone(vms)
	slices.SortStableFunc(sorted, func(a, b *member) int {
		return cmp.Or(cmp.Compare(joinCost(a, model), joinCost(b, model)), cmp.Compare(len(a.Staged), len(b.Staged)))
	})
	return sorted
}

func (p *Planner) assembleIn(now time.Time, d *domain, model *catalog.Model, members []*member) {
	for _, m := range members {
		if joinCost(m, model.Name) == joinLoad {
			p.beginLoad(now, m, model.Name)
		}
	}
	g := p.newGroup(now, "", model.Name, members)
	d.groups[model.Name]++
	d.free = slices.DeleteFunc(d.free, func(m *member) bool { return m.group != nil })
	for _, m := range members {
		p.sendJoin(now, g, m)
	}
}
