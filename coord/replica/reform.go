package replica

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
)

// reform replaces the lost members of a group by spares of its domain that
// have the model's weights: the survivors and the spares join the group's next
// formation, whatever its head does. The head of the earlier one, if it still
// runs, stands still without its members until it gives up.
func (p *Planner) reform(now time.Time, g *Group) bool {
	model := p.engine.Model(g.Model)
	survivors := p.survivors(now, g)
	if model == nil || len(survivors) == 0 || p.dark(now, survivors[0].DataCentre) {
		return false
	}
	missing := model.GroupSize - len(survivors)
	spares := p.sparesFor(now, model, survivors[0].Domain, missing)
	if len(spares) < missing {
		return p.awaitDonors(now, g, model, survivors[0].Domain, missing-len(spares))
	}
	for _, id := range g.Members {
		if m := p.members[id]; m != nil && m.group == g {
			m.group = nil
		}
	}
	delete(p.groups, g.key())
	next := p.newGroup(now, g.Name, g.Model, append(survivors, spares...))
	for _, id := range next.Members {
		p.sendJoin(now, next, p.members[id])
	}
	return true
}

// survivors returns a group's members that answer and stay, but for those that
// were given up for another model.
func (p *Planner) survivors(now time.Time, g *Group) []*member {
	var out []*member
	for rank := range g.Members {
		switch p.fault(now, g, rank) {
		case Sound, HeadGaveUp, HeadStopped:
			m := p.members[g.Members[rank]]
			fresh := m.FailedProbes == 0 && now.Sub(m.ReportedAt) < freshFor
			if m.idle(now) && fresh && !m.promisedElsewhere(now, g.Model) {
				out = append(out, m)
			}
		}
	}
	return out
}

// sparesFor returns up to n free VMs of a domain that join a group of a model
// without a load.
func (p *Planner) sparesFor(now time.Time, model *catalog.Model, domain string, n int) []*member {
	var out []*member
	for _, vm := range p.table.All() {
		m := p.members[vm.ID]
		if m != nil && m.Domain == domain && joinCost(m, model.Name) < joinLoad && p.free(now, m) && !m.promisedElsewhere(now, model.Name) {
			out = append(out, m)
		}
	}
	return byCost(out, model.Name)[:min(n, len(out))]
}

// awaitDonors gives groups of other models up whose VMs can replace n members
// of a group, if that leaves the models better balanced. It reports whether
// the group is to wait for them.
func (p *Planner) awaitDonors(now time.Time, g *Group, model *catalog.Model, name string, n int) bool {
	if now.Sub(g.Since) >= donorWait {
		return false
	}
	if g.awaits {
		return true
	}
	for _, d := range p.domains(now) {
		if d.name != name {
			continue
		}
		donors := p.donorsIn(d, model, n)
		if len(donors) == 0 || p.gain(model, donors) <= 0 {
			return false
		}
		for _, donor := range donors {
			donor.yield(now, g.Name)
		}
		g.awaits = true
		return true
	}
	return false
}

// donorWait is how long a group waits for the VMs of others.
const donorWait = 4 * time.Second
