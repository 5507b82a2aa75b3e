package group

import (
	"strconv"
	"time"
)

// add enters a group into the table and assigns its members.
func (m *Manager) add(g Group, members []*vm, now time.Time) *groupState {
	state := &groupState{
		Group:   g,
		model:   m.model(g.Model),
		domain:  members[0].domain,
		members: members,
		since:   now,
	}
	m.newest = max(m.newest, g.Generation)
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

// remove takes a group out of the table and its members out of the group.
func (m *Manager) remove(g *groupState, now time.Time) {
	g.gone = true
	m.releaseSlot(g)
	m.recount(g)
	m.setExcluded(g, false, now)
	m.groups = removeSorted(m.groups, g, byID)
	delete(m.byID, g.ID)
	g.model.groups = removeSorted(g.model.groups, g, byID)
	g.domain.groups = removeSorted(g.domain.groups, g, byID)
	g.domain.needy = removeSorted(g.domain.needy, g, byID)
	m.endPlanned(g)
	for _, v := range g.members {
		m.unassign(v, now)
	}
	m.markDomain(g.domain)
	m.unbalanced = true
	m.row.version++
}

// dissolve removes a group for good and lets its domain wait for the members
// to become idle, so that they are grouped anew in one go.
func (m *Manager) dissolve(g *groupState, now time.Time) {
	end(g)
	d := g.domain
	d.departing = append(d.departing, g.members...)
	d.departUntil = now.Add(m.opts.RepairGrace)
	m.remove(g, now)
	m.emit(Progress{Notice: NoticeDissolved, Group: g.ID, Generation: g.Generation})
}

// end keeps the group at its generation from being adopted again while its
// members have not left it yet.
func end(g *groupState) {
	for _, v := range g.members {
		v.ended = strayKey{g.ID, g.Generation}
	}
}

// regenerate gives a group a new generation with new members.
func (m *Manager) regenerate(g *groupState, members []*vm, now time.Time) {
	end(g)
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
	m.touchNeedy(g)
	m.setExcluded(g, false, now)
	m.setPhase(g, phaseForming, now)
	for rank, v := range members {
		v.slow = false
		m.assign(v, g, rank, now)
	}
	m.enqueue(g)
	m.changed(g)
	m.emit(Progress{Notice: NoticeForming, Group: g.ID, Generation: g.Generation})
}

// form makes a new group of free VMs.
func (m *Manager) form(s *modelState, d *domain, now time.Time) {
	members := m.spares(d, s.GroupSize)
	g := Group{
		ID:           m.freeID(s.Name),
		Generation:   m.nextGeneration(),
		Model:        s.Name,
		FabricDomain: d.name,
		Members:      memberNames(members),
	}
	state := m.add(g, members, now)
	m.enqueue(state)
	m.changed(state)
	m.emit(Progress{Notice: NoticeForming, Group: g.ID, Generation: g.Generation})
}

// freeID returns the lowest ID of the model that no group has.
func (m *Manager) freeID(model string) string {
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

// changed has the table's row written again.
func (m *Manager) changed(g *groupState) {
	m.row.version++
	g.version = m.row.version
}

func (m *Manager) setPhase(g *groupState, p phase, now time.Time) {
	if g.phase != p {
		g.phase = p
		g.since = now
	}
	m.recount(g)
}

// recount keeps the model's number of whole groups.
func (m *Manager) recount(g *groupState) {
	counts := !g.gone && g.phase == phaseWhole && !g.Draining && !g.excluded
	if counts == g.counts {
		return
	}
	g.counts = counts
	if counts {
		g.model.whole++
	} else {
		g.model.whole--
	}
	m.unbalanced = true
}

// setExcluded says whether the group counts towards the wanted number.
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
	m.recount(g)
	m.unbalanced = true
	m.markDomain(g.domain)
}

// touchNeedy keeps the domain's list of groups that lack members.
func (m *Manager) touchNeedy(g *groupState) {
	d := g.domain
	if g.need > 0 && !g.gone {
		d.needy = insertSorted(d.needy, g, byID)
	} else {
		d.needy = removeSorted(d.needy, g, byID)
	}
}
