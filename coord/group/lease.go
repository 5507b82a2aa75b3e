package group

import "time"

// termShift is the number of generations' low bits that count within a term.
const termShift = 24

// gain starts the coordinator's work with an empty table of groups.
func (m *Manager) gain(now time.Time, ev LeaseGained) {
	if ev.Term < m.term {
		return
	}
	m.lose(now)
	m.stage = stageReconciling
	if ev.Term != m.term {
		m.term = ev.Term
		m.generations = 0
	}
	m.fencer = ev.Fencer
	m.unfencedFrom = ev.UnfencedFrom
	for _, v := range m.vmList {
		v.ended = strayKey{}
	}
	m.awaitReports(now)
}

// awaitReports has a report of every VM waited for.
func (m *Manager) awaitReports(now time.Time) {
	m.gainedAt = now
	m.unseen = len(m.vmList)
	for _, v := range m.vmList {
		v.seen = false
	}
}

// lose ends the coordinator's work. The reports are kept.
func (m *Manager) lose(now time.Time) {
	m.stage = stageOff
	m.fencer = nil
	m.view = nil
	m.regroupAt = time.Time{}
	for len(m.groups) > 0 {
		m.remove(m.groups[len(m.groups)-1], now)
	}
	for _, s := range m.dirtyStrays {
		s.dirty = false
	}
	m.dirtyStrays = nil
	m.awaitingRow = nil
	m.row = rowState{}
}

// see counts a VM's first report since the lease was gained.
func (m *Manager) see(v *vm) {
	if !v.seen {
		v.seen = true
		m.unseen--
	}
}

// reconcile begins to decide once the row is read and every VM has reported
// since the lease was gained, or the grace has passed.
func (m *Manager) reconcile(now time.Time) {
	if m.number == 0 {
		return
	}
	waited := now.Sub(m.gainedAt) >= m.opts.ReconcileGrace
	if !waited && (m.unseen > 0 || !m.row.known) {
		return
	}
	m.stage = stageActive
	m.listeningFrom = now
	m.install(now)
	m.markAll(now)
	m.markStrays()
	m.row.version++
	m.emit(Progress{Notice: NoticeReady})
}

// install takes over the groups of the row that the last coordinator wrote.
// VMs that have a group by then are left in it: their reports put them there.
func (m *Manager) install(now time.Time) {
	inherited := m.row.inherited
	m.row.inherited = nil
	if !m.opts.enabled(Reconcile) {
		return
	}
	for _, g := range inherited {
		members := m.installable(&g)
		if members != nil {
			m.admit(g, members, now)
		}
	}
}

// installable returns the members if all of them are in the group's fabric
// domain and in no group.
func (m *Manager) installable(g *Group) []*vm {
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

// admit adds a running group to the table as its members report it.
func (m *Manager) admit(g Group, members []*vm, now time.Time) {
	g.Draining = false
	state := m.add(g, members, now)
	placed := 0
	for _, v := range members {
		if v.placed {
			placed++
		}
	}
	switch {
	case state.ready == len(members):
		m.setPhase(state, phaseWhole, now)
		state.servedOnce = true
	case placed == len(members):
		m.takeSlot(state, now)
	default:
		m.setPhase(state, phaseBroken, now)
	}
	m.changed(state)
}

// nextGeneration returns a generation that no coordinator has used.
func (m *Manager) nextGeneration() uint64 {
	m.generations++
	if !m.opts.enabled(TermGeneration) {
		m.newest++
		return m.newest
	}
	return m.term<<termShift | m.generations
}

// own reports whether this coordinator made the generation in this term.
func (m *Manager) own(generation uint64) bool {
	return generation>>termShift == m.term && m.opts.enabled(TermGeneration)
}
