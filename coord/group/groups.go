package group

import (
	"strconv"
	"time"
)

// addGroup adds a group to the table and assigns its members.
func (m *Manager) addGroup(g Group, members []*vm, now time.Time) *groupState {
	state := &groupState{
		Group:   g,
		model:   m.getOrAddModel(g.Model),
		domain:  members[0].domain,
		members: members,
		since:   now,
	}
	m.highestGeneration = max(m.highestGeneration, g.Generation)
	m.groups = insertSorted(m.groups, state, byID)
	m.byID[g.ID] = state
	state.model.groups = insertSorted(state.model.groups, state, byID)
	state.domain.groups = insertSorted(state.domain.groups, state, byID)
	for rank, v := range members {
		m.assign(v, state, rank, now)
	}
	m.markGroup(state)
	return state
}

// removeGroup removes a group from the table and unassigns its members.
func (m *Manager) removeGroup(g *groupState, now time.Time) {
	g.removed = true
	m.releaseSlot(g)
	m.updateWholeCount(g)
	m.setExcluded(g, false, now)
	m.groups = removeSorted(m.groups, g, byID)
	delete(m.byID, g.ID)
	g.model.groups = removeSorted(g.model.groups, g, byID)
	g.domain.groups = removeSorted(g.domain.groups, g, byID)
	g.domain.incomplete = removeSorted(g.domain.incomplete, g, byID)
	m.endPlannedChange(g)
	for _, v := range g.members {
		m.unassign(v, now)
	}
	m.markDomain(g.domain)
	m.unbalanced = true
	m.row.version++
}

// dissolve removes a group for good. No group is formed in its domain until
// the members are idle, so that all of them are available at once.
func (m *Manager) dissolve(g *groupState, now time.Time) {
	revokePlaces(g)
	d := g.domain
	d.departing = append(d.departing, g.members...)
	d.departUntil = now.Add(m.opts.RepairGrace)
	if g.model.planned == g {
		g.model.nextPlannedAt = later(g.model.nextPlannedAt, d.departUntil)
	}
	m.removeGroup(g, now)
	m.emit(Progress{Notice: NoticeDissolved, Group: g.ID, Generation: g.Generation})
}

// revokePlaces prevents the group from being adopted again at its generation
// while its members have not left it yet.
func revokePlaces(g *groupState) {
	for _, v := range g.members {
		v.revoked = groupKey{g.ID, g.Generation}
	}
}

// regenerate gives a group a new generation with new members.
func (m *Manager) regenerate(g *groupState, members []*vm, now time.Time) {
	revokePlaces(g)
	for _, v := range g.members {
		m.unassign(v, now)
	}
	m.releaseSlot(g)
	g.Generation = m.nextGeneration()
	g.members = members
	g.Members = memberNames(members)
	g.Draining, g.drained, g.reload = false, false, false
	g.need = 0
	g.medianAt = time.Time{}
	m.updateIncomplete(g)
	m.setExcluded(g, false, now)
	m.setPhase(g, phaseForming, now)
	for rank, v := range members {
		v.wasStraggler = false
		m.assign(v, g, rank, now)
	}
	m.enqueue(g)
	m.markChanged(g)
	m.emit(Progress{Notice: NoticeForming, Group: g.ID, Generation: g.Generation})
}

// formGroup forms a new group of free VMs.
func (m *Manager) formGroup(s *modelState, d *domain, now time.Time) {
	members := m.pickSpares(d, s.GroupSize)
	g := Group{
		ID:           m.unusedID(s.Name),
		Generation:   m.nextGeneration(),
		Model:        s.Name,
		FabricDomain: d.name,
		Members:      memberNames(members),
	}
	state := m.addGroup(g, members, now)
	m.enqueue(state)
	m.markChanged(state)
	m.emit(Progress{Notice: NoticeForming, Group: g.ID, Generation: g.Generation})
}

// unusedID returns the model's lowest group ID that is not in use.
func (m *Manager) unusedID(model string) string {
	prefix := m.opts.DataCentre + "/" + model + "/"
	for n := 1; ; n++ {
		id := prefix + strconv.Itoa(n)
		if m.byID[id] == nil {
			return id
		}
	}
}

func memberNames(members []*vm) []string {
	names := make([]string, len(members))
	for rank, v := range members {
		names[rank] = v.name
	}
	return names
}

// markChanged records a change of the group, so that the table's row is
// written again.
func (m *Manager) markChanged(g *groupState) {
	m.row.version++
	g.version = m.row.version
}

func (m *Manager) setPhase(g *groupState, p phase, now time.Time) {
	if g.phase != p {
		g.phase = p
		g.since = now
	}
	m.updateWholeCount(g)
}

// updateWholeCount updates the model's number of whole groups.
func (m *Manager) updateWholeCount(g *groupState) {
	counts := !g.removed && g.phase == phaseWhole && !g.Draining && !g.excluded
	if counts == g.countsAsWhole {
		return
	}
	g.countsAsWhole = counts
	if counts {
		g.model.whole++
	} else {
		g.model.whole--
	}
	m.unbalanced = true
}

// setExcluded sets whether the group is excluded from the wanted number.
func (m *Manager) setExcluded(g *groupState, excluded bool, now time.Time) {
	if g.excluded == excluded {
		return
	}
	g.excluded = excluded
	g.excludedAt = now
	if excluded {
		g.model.excluded++
	} else {
		g.model.excluded--
	}
	m.updateWholeCount(g)
	m.unbalanced = true
	m.markDomain(g.domain)
}

// updateIncomplete adds the group to its domain's list of incomplete groups,
// or removes it.
func (m *Manager) updateIncomplete(g *groupState) {
	d := g.domain
	if g.need > 0 && !g.removed {
		d.incomplete = insertSorted(d.incomplete, g, byID)
	} else {
		d.incomplete = removeSorted(d.incomplete, g, byID)
	}
}
