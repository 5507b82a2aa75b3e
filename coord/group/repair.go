package group

import (
	"slices"
	"strings"
	"time"
)

// needsReplacement reports whether a member is to be replaced at the next
// generation.
func (m *Manager) needsReplacement(v *vm, now time.Time) bool {
	return !v.isPresent() || !v.isEligible() || v.wasStraggler || now.Before(v.skipUntil)
}

// repair gives a group a new generation with spares in place of the members
// that need replacement. If there are too few spares, a group with ineligible
// members is dissolved; any other group waits for its members or for spares.
func (m *Manager) repair(g *groupState, now time.Time) {
	missing, ineligible := m.countMissing(g, now)
	available := 0
	if m.opts.enabled(Spares) {
		available = len(g.domain.free)
	}
	if missing <= available {
		m.replaceMembers(g, m.pickSpares(g.domain, missing), now)
		return
	}
	if ineligible > 0 {
		m.dissolve(g, now)
		return
	}
	m.awaitSpares(g, now)
}

func (m *Manager) countMissing(g *groupState, now time.Time) (missing, ineligible int) {
	for _, v := range g.members {
		if m.needsReplacement(v, now) {
			missing++
		}
		if !v.isEligible() {
			ineligible++
		}
	}
	return missing, ineligible
}

// replaceMembers regenerates a group with spares for the members that need
// replacement. The other members keep their ranks.
func (m *Manager) replaceMembers(g *groupState, spares []*vm, now time.Time) {
	members := slices.Clone(g.members)
	for rank, v := range members {
		if m.needsReplacement(v, now) {
			members[rank] = spares[0]
			spares = spares[1:]
		}
	}
	m.regenerate(g, members, now)
}

// pickSpares returns n free VMs of a domain, former stragglers last.
func (m *Manager) pickSpares(d *domain, n int) []*vm {
	picked := slices.Clone(d.free)
	slices.SortStableFunc(picked, func(a, b *vm) int {
		if a.wasStraggler != b.wasStraggler {
			if a.wasStraggler {
				return 1
			}
			return -1
		}
		return strings.Compare(a.name, b.name)
	})
	m.visits += uint64(len(picked))
	return picked[:n]
}

// awaitSpares marks a group as broken. After RegroupAfter it no longer counts
// towards the wanted number, so that another group may be formed elsewhere.
func (m *Manager) awaitSpares(g *groupState, now time.Time) {
	m.releaseSlot(g)
	m.endPlannedChange(g)
	if g.phase != phaseBroken {
		m.setPhase(g, phaseBroken, now)
		g.reload = true
	}
	due := g.since.Add(m.opts.RegroupAfter)
	if now.Before(due) {
		m.wakeGroupAt(g, due)
		return
	}
	m.setExcluded(g, true, now)
}

// repairDomain repairs incomplete groups with the domain's spares and then
// merges broken ones.
func (m *Manager) repairDomain(d *domain, now time.Time) {
	if m.isClosed() || len(d.incomplete) == 0 {
		return
	}
	incomplete := slices.Clone(d.incomplete)
	slices.SortStableFunc(incomplete, compareRepairPriority)
	for _, g := range incomplete {
		m.visits++
		if !g.removed && !g.Draining && g.need <= len(d.free) {
			m.repairWhenDue(g, now)
		}
	}
	if m.opts.enabled(Regroup) {
		m.mergeBroken(d, now)
	}
}

// compareRepairPriority orders broken groups: first those of the model with
// the fewest whole groups, then those with the fewest missing members, then by
// ID.
func compareRepairPriority(a, b *groupState) int {
	if a.model.whole != b.model.whole {
		return a.model.whole - b.model.whole
	}
	if a.need != b.need {
		return a.need - b.need
	}
	return strings.Compare(a.ID, b.ID)
}

// mergeBroken completes one broken group with members of other broken groups.
// It touches no group that serves and therefore causes no downtime. It only
// uses groups that have lacked spares for RegroupAfter, and waits for
// RepairGrace after the last return of a silent VM in the domain.
func (m *Manager) mergeBroken(d *domain, now time.Time) {
	broken := m.mergeableGroups(d, now)
	if len(broken) < 2 {
		return
	}
	slices.SortStableFunc(broken, compareRepairPriority)
	target := broken[0]
	missing, _ := m.countMissing(target, now)
	var spares []*vm
	if m.opts.enabled(Spares) {
		spares = slices.Clone(d.free)
	}
	donors := 0
	for i := len(broken) - 1; i > 0 && len(spares) < missing; i-- {
		spares = append(spares, m.healthyMembers(broken[i], now)...)
		donors++
	}
	if len(spares) < missing {
		return
	}
	for _, g := range broken[len(broken)-donors:] {
		m.dissolve(g, now)
	}
	m.replaceMembers(target, spares[:missing], now)
	m.markDomain(d)
}

// mergeableGroups returns the domain's broken groups that have lacked spares
// for RegroupAfter, or none while silent VMs of the domain are returning.
func (m *Manager) mergeableGroups(d *domain, now time.Time) []*groupState {
	settled := d.returnedAt.Add(m.opts.RepairGrace)
	var broken []*groupState
	for _, g := range d.incomplete {
		if g.phase != phaseBroken || g.Draining || !g.excluded {
			continue
		}
		if now.Before(settled) {
			m.wakeGroupAt(g, settled)
			continue
		}
		broken = append(broken, g)
	}
	return broken
}

// healthyMembers returns the members that need no replacement.
func (m *Manager) healthyMembers(g *groupState, now time.Time) []*vm {
	var members []*vm
	for _, v := range g.members {
		if !m.needsReplacement(v, now) {
			members = append(members, v)
		}
	}
	return members
}
