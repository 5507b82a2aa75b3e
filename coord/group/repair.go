package group

import (
	"slices"
	"strings"
	"time"
)

// lost reports whether a member is to be replaced at the next generation.
func (m *Manager) lost(v *vm, now time.Time) bool {
	return !v.present() || !v.fit() || v.slow || now.Before(v.passUntil)
}

// repair gives a group a new generation with spares in place of its lost
// members. Without enough spares a group that has to give up members is
// dissolved; any other waits for them or for spares.
func (m *Manager) repair(g *groupState, now time.Time) {
	missing, unfit := m.missing(g, now)
	available := 0
	if m.opts.enabled(Spares) {
		available = len(g.domain.free)
	}
	if missing <= available {
		m.replace(g, m.spares(g.domain, missing), now)
		return
	}
	if unfit > 0 {
		m.dissolve(g, now)
		return
	}
	m.lackSpares(g, now)
}

func (m *Manager) missing(g *groupState, now time.Time) (missing, unfit int) {
	for _, v := range g.members {
		if m.lost(v, now) {
			missing++
		}
		if !v.fit() {
			unfit++
		}
	}
	return missing, unfit
}

// replace regenerates a group; the others keep their ranks.
func (m *Manager) replace(g *groupState, spares []*vm, now time.Time) {
	members := slices.Clone(g.members)
	for rank, v := range members {
		if m.lost(v, now) {
			members[rank] = spares[0]
			spares = spares[1:]
		}
	}
	m.regenerate(g, members, now)
}

// spares returns n free VMs of a domain, former stragglers last.
func (m *Manager) spares(d *domain, n int) []*vm {
	picked := slices.Clone(d.free)
	slices.SortStableFunc(picked, func(a, b *vm) int {
		if a.slow != b.slow {
			if a.slow {
				return 1
			}
			return -1
		}
		return strings.Compare(a.name, b.name)
	})
	m.visits += uint64(len(picked))
	return picked[:n]
}

// lackSpares leaves a group broken. After RegroupAfter it no longer counts
// towards the wanted number, so that another may be formed elsewhere.
func (m *Manager) lackSpares(g *groupState, now time.Time) {
	m.releaseSlot(g)
	m.endPlanned(g)
	if g.phase != phaseBroken {
		m.setPhase(g, phaseBroken, now)
		g.reload = true
	}
	due := g.since.Add(m.opts.RegroupAfter)
	if now.Before(due) {
		m.wakeGroup(g, due)
		return
	}
	m.setExcluded(g, true, now)
}

// repairDomain serves the groups that lack members from the domain's spares,
// and from each other.
func (m *Manager) repairDomain(d *domain, now time.Time) {
	if m.closed() || len(d.needy) == 0 {
		return
	}
	needy := slices.Clone(d.needy)
	slices.SortStableFunc(needy, compareNeed)
	for _, g := range needy {
		m.visits++
		if !g.gone && !g.Draining && g.need <= len(d.free) {
			m.mend(g, now)
		}
	}
	if m.opts.enabled(Regroup) {
		m.merge(d, now)
	}
}

// compareNeed orders broken groups: first the model with the fewest whole
// groups, then the fewest missing members, then by ID.
func compareNeed(a, b *groupState) int {
	if a.model.whole != b.model.whole {
		return a.model.whole - b.model.whole
	}
	if a.need != b.need {
		return a.need - b.need
	}
	return strings.Compare(a.ID, b.ID)
}

// merge completes one broken group with members of other broken ones. No
// group that serves is touched, so it causes no downtime; it waits until the
// lack has lasted and no silent VM of the domain has just come back.
func (m *Manager) merge(d *domain, now time.Time) {
	broken := m.mergeable(d, now)
	if len(broken) < 2 {
		return
	}
	slices.SortStableFunc(broken, compareNeed)
	target := broken[0]
	missing, _ := m.missing(target, now)
	var spares []*vm
	if m.opts.enabled(Spares) {
		spares = slices.Clone(d.free)
	}
	donors := 0
	for i := len(broken) - 1; i > 0 && len(spares) < missing; i-- {
		spares = append(spares, m.sound(broken[i], now)...)
		donors++
	}
	if len(spares) < missing {
		return
	}
	for _, g := range broken[len(broken)-donors:] {
		m.dissolve(g, now)
	}
	m.replace(target, spares[:missing], now)
	m.markDomain(d)
}

// mergeable returns the groups that have lacked spares for RegroupAfter.
func (m *Manager) mergeable(d *domain, now time.Time) []*groupState {
	settled := d.returnedAt.Add(m.opts.RepairGrace)
	var broken []*groupState
	for _, g := range d.needy {
		if g.phase != phaseBroken || g.Draining || !g.excluded {
			continue
		}
		if now.Before(settled) {
			m.wakeGroup(g, settled)
			continue
		}
		broken = append(broken, g)
	}
	return broken
}

// sound returns the members that need no replacement.
func (m *Manager) sound(g *groupState, now time.Time) []*vm {
	var members []*vm
	for _, v := range g.members {
		if !m.lost(v, now) {
			members = append(members, v)
		}
	}
	return members
}
