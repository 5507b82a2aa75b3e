package group

import "time"

// faults counts the members that keep a group from being whole, by kind.
type faults struct {
	cold       int // present, but not in place
	dead       int // silent for too long (see countSilent), or not to be used before vm.skipUntil
	paused     int // silent, but may return in time; see also countOutOfPlace
	ineligible int // removed, or present and out, leaving or stopping
	// due is the earliest time at which a paused or excluded member has to be
	// assessed again.
	due time.Time
}

// assess decides what a group needs in its present state.
func (m *Manager) assess(g *groupState, now time.Time) {
	if g.Draining {
		m.continueDrain(g, now)
		return
	}
	if g.ready == len(g.members) {
		m.setWhole(g, now)
		m.planChange(g, now)
		return
	}
	if g.phase == phaseWhole {
		m.setPhase(g, phaseBroken, now)
		m.setExcluded(g, false, now)
		m.endPlannedChange(g)
		m.emit(Progress{Notice: NoticeBroken, Group: g.ID, Generation: g.Generation})
	}
	m.repairWhenDue(g, now)
}

// setWhole records that every member of a group is in place and ready.
func (m *Manager) setWhole(g *groupState, now time.Time) {
	if g.phase == phaseWhole {
		return
	}
	m.releaseSlot(g)
	g.failures, g.need = 0, 0
	g.reload = false
	g.servedBefore = true
	m.updateIncomplete(g)
	m.setExcluded(g, false, now)
	m.setPhase(g, phaseWhole, now)
	g.model.nextPlannedAt = now.Add(m.opts.DrainSettle)
	m.endPlannedChange(g)
	m.markDomain(g.domain)
	m.emit(Progress{Notice: NoticeWhole, Group: g.ID, Generation: g.Generation})
}

// repairWhenDue repairs a group that is not whole, but not while it still awaits
// the return of a member that may only be paused.
func (m *Manager) repairWhenDue(g *groupState, now time.Time) {
	if m.dcOut {
		m.beginDrain(g, causeOut, actionHold, now)
		return
	}
	if g.loading && now.Sub(g.loadStartedAt) >= m.opts.LoadTimeout {
		m.handleLoadTimeout(g, now)
	}
	if g.loading {
		m.wakeGroupAt(g, g.loadStartedAt.Add(m.opts.LoadTimeout))
	}
	f := m.faults(g, now)
	g.need = f.dead + f.paused + f.ineligible
	m.updateIncomplete(g)
	if !f.due.IsZero() {
		m.wakeGroupAt(g, f.due)
	}
	idle := f.cold+f.dead+f.ineligible == 0 && !g.reload
	if idle || f.paused > 0 {
		return
	}
	if settled := m.awaitReturnUntil(g.domain, now); f.dead > 0 && now.Before(settled) {
		m.wakeGroupAt(g, settled)
		return
	}
	if len(g.members) != g.model.GroupSize {
		m.dissolve(g, now)
		return
	}
	m.repair(g, now)
}

// awaitReturnUntil returns the time before which silent members in the domain
// are not replaced after an outage: as long as VMs keep returning, others may
// follow. It returns zero if the domain has no outage. The outage ends when no
// VM has returned for RepairGrace.
func (m *Manager) awaitReturnUntil(d *domain, now time.Time) time.Time {
	settled := d.returnedAt.Add(m.opts.RepairGrace)
	if !now.Before(settled) {
		d.outage = false
	}
	if !d.outage {
		return time.Time{}
	}
	return settled
}

func (m *Manager) faults(g *groupState, now time.Time) faults {
	var f faults
	m.visits += uint64(len(g.members))
	for _, v := range g.members {
		m.countFault(&f, g, v, now)
	}
	return f
}

func (m *Manager) countFault(f *faults, g *groupState, v *vm, now time.Time) {
	switch {
	case v.removed, v.isPresent() && !v.isEligible():
		f.ineligible++
	case v.isPresent() && now.Before(v.skipUntil):
		f.dead++
		f.due = earliest(f.due, v.skipUntil)
	case v.isPresent():
		m.countOutOfPlace(f, g, v, now)
	default:
		m.countSilent(f, v, now)
	}
}

// countOutOfPlace counts a present member that is not in place. A member that
// reports another generation counts as paused as long as reports of VMs that are
// silent now may still show that this generation is running.
func (m *Manager) countOutOfPlace(f *faults, g *groupState, v *vm, now time.Time) {
	if v.isInPlace() || (!v.wasInPlace && g.phase != phaseBroken) {
		return
	}
	if v.stray != nil {
		if due := m.leaveNotBefore(v.stray); now.Before(due) {
			f.paused++
			f.due = earliest(f.due, due)
			return
		}
	}
	f.cold++
}

func (m *Manager) countSilent(f *faults, v *vm, now time.Time) {
	due := later(v.sentAt, m.listeningSince)
	switch {
	case !v.isEligible():
		due = due.Add(m.opts.ReportTTL) // the VM is not expected to return
	case m.opts.enabled(PauseGrace):
		due = due.Add(m.opts.RepairGrace)
	}
	if now.Before(due) {
		f.paused++
		f.due = earliest(f.due, due)
		return
	}
	f.dead++
}

// earliest returns the earlier of a and b, ignoring a if it is zero.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
