package group

import "time"

// termShift is the number of a generation's low bits that count the
// generations of a term.
const termShift = 24

// startCoordinating begins the coordinator's work with no groups.
func (m *Manager) startCoordinating(now time.Time, ev LeaseGained) {
	if ev.Term < m.term {
		return
	}
	m.stopCoordinating(now)
	m.stage = stageReconciling
	if ev.Term != m.term {
		m.term = ev.Term
		m.generationCount = 0
	}
	m.fencer = ev.Fencer
	m.unfencedFrom = ev.UnfencedFrom
	for _, v := range m.vmList {
		v.revoked = groupKey{}
	}
	m.awaitReports(now)
}

// awaitReports requires a new report of every VM before the manager decides.
func (m *Manager) awaitReports(now time.Time) {
	m.reportsSince = now
	m.unreported = len(m.vmList)
	for _, v := range m.vmList {
		v.reported = false
	}
}

// stopCoordinating ends the coordinator's work. Reports are kept.
func (m *Manager) stopCoordinating(now time.Time) {
	m.stage = stageOff
	m.fencer = nil
	m.view = nil
	m.regroupAt = time.Time{}
	for len(m.groups) > 0 {
		m.removeGroup(m.groups[len(m.groups)-1], now)
	}
	for _, s := range m.dirtyStrays {
		s.dirty = false
	}
	m.dirtyStrays = nil
	m.awaitingRow = nil
	m.row = rowState{}
}

// markReported counts a VM's first report since reportsSince.
func (m *Manager) markReported(v *vm) {
	if !v.reported {
		v.reported = true
		m.unreported--
	}
}

// reconcile starts to decide once the row has been read and every VM has
// reported since reportsSince, or ReconcileGrace has passed.
func (m *Manager) reconcile(now time.Time) {
	if m.configNumber == 0 {
		return
	}
	waited := now.Sub(m.reportsSince) >= m.opts.ReconcileGrace
	if !waited && (m.unreported > 0 || !m.row.known) {
		return
	}
	m.stage = stageActive
	m.listeningSince = now
	m.installInherited(now)
	m.markAll(now)
	m.markStrays()
	m.row.version++
	m.emit(Progress{Notice: NoticeReady})
}

// installInherited installs the groups of the row that the previous
// coordinator wrote. VMs that already belong to a group, adopted from their
// reports, stay in it.
func (m *Manager) installInherited(now time.Time) {
	inherited := m.row.inherited
	m.row.inherited = nil
	if !m.opts.enabled(Reconcile) {
		return
	}
	for _, g := range inherited {
		members := m.installableMembers(&g)
		if members != nil {
			m.addRunning(g, members, now)
		}
	}
}

// installableMembers returns the group's members, or nil unless all of them
// are in the group's fabric domain and in no group.
func (m *Manager) installableMembers(g *Group) []*vm {
	if m.byID[g.ID] != nil || len(g.Members) == 0 {
		return nil
	}
	members := make([]*vm, 0, len(g.Members))
	for _, name := range g.Members {
		v := m.vms[name]
		if v == nil || v.group != nil || v.domain.name != g.FabricDomain {
			return nil
		}
		members = append(members, v)
	}
	return members
}

// addRunning adds an existing group in the phase that its members' reports
// show.
func (m *Manager) addRunning(g Group, members []*vm, now time.Time) {
	g.Draining = false
	state := m.addGroup(g, members, now)
	placed := 0
	for _, v := range members {
		if v.wasInPlace {
			placed++
		}
	}
	switch {
	case state.ready == len(members):
		m.setPhase(state, phaseWhole, now)
		state.servedBefore = true
	case placed == len(members):
		m.takeSlot(state, now)
	default:
		m.setPhase(state, phaseBroken, now)
	}
	m.markChanged(state)
}

// nextGeneration returns a generation that no coordinator has used.
func (m *Manager) nextGeneration() uint64 {
	m.generationCount++
	if !m.opts.enabled(TermGeneration) {
		m.highestGeneration++
		return m.highestGeneration
	}
	return m.term<<termShift | m.generationCount
}

// isOwnGeneration reports whether this coordinator issued the generation in
// this term.
func (m *Manager) isOwnGeneration(generation uint64) bool {
	return generation>>termShift == m.term && m.opts.enabled(TermGeneration)
}
