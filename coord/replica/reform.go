package replica

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
)

// reform replaces the lost members of a group with spares of its domain that
// have the model's weights. The survivors and the spares join the group's next
// formation, whatever the state of the old head. If the old head still runs, it
// stalls without its members until it gives up.
//
// Other groups give up VMs for it only if it lacks no more than it has left:
// otherwise more VMs would stop serving than survivors are put to use.
func (p *Planner) reform(now time.Time, g *Group) bool {
	model := p.engine.Model(g.Model)
	survivors := p.survivors(now, g)
	if model == nil || len(survivors) == 0 || p.isUnreachable(now, survivors[0].DataCentre) {
		return false
	}
	missing := model.GroupSize - len(survivors)
	spares := p.findSpares(now, model, survivors[0].Domain, missing)
	if lacking := missing - len(spares); lacking > 0 {
		return lacking <= len(survivors) && p.awaitDonors(now, g, model, survivors[0].Domain, lacking)
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

// survivors returns the members of a group that answer probes and are staying,
// except those donated to another model.
func (p *Planner) survivors(now time.Time, g *Group) []*member {
	var out []*member
	for rank := range g.Members {
		switch p.memberFault(now, g, rank) {
		case NoFault, HeadGaveUp, HeadStopped:
			m := p.members[g.Members[rank]]
			fresh := m.FailedProbes == 0 && now.Sub(m.ReportedAt) < maxProbeAge
			if m.canTakeOrder(now) && fresh && !m.isDonatedElsewhere(now, g.Model) {
				out = append(out, m)
			}
		}
	}
	return out
}

// findSpares returns up to n free VMs of a domain that can join a group of a
// model without a load.
func (p *Planner) findSpares(now time.Time, model *catalog.Model, domain string, n int) []*member {
	var out []*member
	for _, vm := range p.table.All() {
		m := p.members[vm.ID]
		if m != nil && m.Domain == domain && joinCost(m, model.Name) < joinLoad && p.isFree(now, m) && !m.isDonatedElsewhere(now, model.Name) {
			out = append(out, m)
		}
	}
	return sortedByCost(out, model.Name)[:min(n, len(out))]
}

// awaitDonors dissolves groups of other models whose VMs can replace n members
// of a group, if that improves the balance between models. It reports whether
// the group should wait for them.
func (p *Planner) awaitDonors(now time.Time, g *Group, model *catalog.Model, domainName string, n int) bool {
	if now.Sub(g.Since) >= donorTimeout {
		return false
	}
	if g.awaitsDonors {
		return true
	}
	for _, d := range p.domains(now) {
		if d.name != domainName {
			continue
		}
		donors := p.findDonorsIn(now, d, model, n)
		if len(donors) == 0 || p.coverageGain(model, donors) <= 0 {
			return false
		}
		for _, donor := range donors {
			donor.donate(now, g.Name)
		}
		g.awaitsDonors = true
		return true
	}
	return false
}

// donorTimeout is how long a group waits for donated VMs.
const donorTimeout = 4 * time.Second
