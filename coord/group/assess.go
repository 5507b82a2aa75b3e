package group

import "time"

// faults counts what keeps a group from being whole.
type faults struct {
	cold   int // present, and no longer in place
	dead   int // silent for longer than the grace, or passed over
	paused int // silent within the grace
	unfit  int // present, and taken out, leaving or stopping
	// due is when the next paused member counts as dead.
	due time.Time
}

// assess looks at one group and decides what it needs.
func (m *Manager) assess(g *groupState, now time.Time) {
	if g.Draining {
		m.stepDrain(g, now)
		return
	}
	if g.ready == len(g.members) {
		m.becomeWhole(g, now)
		m.plan(g, now)
		return
	}
	if g.phase == phaseWhole {
		m.setPhase(g, phaseBroken, now)
		m.setExcluded(g, false, now)
		m.endPlanned(g)
		m.emit(Progress{Notice: NoticeBroken, Group: g.ID, Generation: g.Generation})
	}
	m.mend(g, now)
}

// becomeWhole notes that every member of a group is in place.
func (m *Manager) becomeWhole(g *groupState, now time.Time) {
	if g.phase == phaseWhole {
		return
	}
	m.releaseSlot(g)
	g.failures, g.need = 0, 0
	g.reload = false
	g.servedOnce = true
	m.touchNeedy(g)
	m.setExcluded(g, false, now)
	m.setPhase(g, phaseWhole, now)
	g.model.plannedFrom = now.Add(m.opts.DrainSettle)
	m.endPlanned(g)
	m.markDomain(g.domain)
	m.emit(Progress{Notice: NoticeWhole, Group: g.ID, Generation: g.Generation})
}

// mend repairs a group that is not whole, once no member is merely paused.
func (m *Manager) mend(g *groupState, now time.Time) {
	if m.dcOut {
		m.beginDrain(g, causeOut, thenHold, now)
		return
	}
	if g.loading && now.Sub(g.loadFrom) >= m.opts.LoadTimeout {
		m.loadTimedOut(g, now)
	}
	if g.loading {
		m.wakeGroup(g, g.loadFrom.Add(m.opts.LoadTimeout))
	}
	f := m.faults(g, now)
	g.need = f.dead + f.paused + f.unfit
	m.touchNeedy(g)
	if !f.due.IsZero() {
		m.wakeGroup(g, f.due)
	}
	idle := f.cold+f.dead+f.unfit == 0 && !g.reload
	if idle || f.paused > 0 {
		return
	}
	if settled := m.settledAt(g.domain, now); f.dead > 0 && now.Before(settled) {
		m.wakeGroup(g, settled)
		return
	}
	m.repair(g, now)
}

// settledAt returns until when silent members of a domain that was dark are
// waited for, because others of its VMs have just come back.
func (m *Manager) settledAt(d *domain, now time.Time) time.Time {
	settled := d.returnedAt.Add(m.opts.RepairGrace)
	if !now.Before(settled) {
		d.dark = false
	}
	if !d.dark {
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
	case v.gone, v.present() && !v.fit():
		f.unfit++
	case v.present() && now.Before(v.passUntil):
		f.dead++
		f.due = earliest(f.due, v.passUntil)
	case v.present():
		m.countCold(f, g, v, now)
	default:
		m.countSilent(f, v, now)
	}
}

// countCold counts a present member that is not in place, unless it reports
// another generation that silent VMs may yet show to be running.
func (m *Manager) countCold(f *faults, g *groupState, v *vm, now time.Time) {
	if v.inPlace() || (!v.placed && g.phase != phaseBroken) {
		return
	}
	if v.stray != nil {
		if due := m.heldUntil(v.stray); now.Before(due) {
			f.paused++
			f.due = earliest(f.due, due)
			return
		}
	}
	f.cold++
}

func (m *Manager) countSilent(f *faults, v *vm, now time.Time) {
	due := later(v.sentAt, m.listeningFrom)
	switch {
	case !v.fit():
		due = due.Add(m.opts.ReportTTL) // it is not expected back
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

// earliest returns the earlier time; zero means none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
