package group

import "time"

// drainThen is what follows once a group has no work in flight.
type drainThen uint8

const (
	thenHold     drainThen = iota // keep it loaded
	thenSwap                      // replace members
	thenDissolve                  // give its VMs up
)

// drainCause is why a group drains. A cause that ceases ends the drain.
type drainCause uint8

const (
	causeOut       drainCause = iota + 1 // the data centre is out
	causeUnfit                           // members are taken out, leaving or stopping
	causeStraggler                       // a member is slow
	causeSurplus                         // more groups than wanted
	causeRegroup                         // its VMs are worth more in other groups
)

// beginDrain has routers send the group no new work.
func (m *Manager) beginDrain(g *groupState, cause drainCause, then drainThen, now time.Time) {
	g.Draining = true
	g.cause, g.then = cause, then
	g.drainAt, g.drained = now, false
	m.releaseSlot(g)
	m.recount(g)
	m.changed(g)
	m.wakeGroup(g, now.Add(m.opts.DrainSettle))
	m.markGroup(g)
	m.emit(Progress{Notice: NoticeDraining, Group: g.ID, Generation: g.Generation})
}

// stepDrain goes on with a drain.
func (m *Manager) stepDrain(g *groupState, now time.Time) {
	if !m.causeLasts(g, now) {
		m.undrain(g, now)
		return
	}
	if !g.drained {
		if !m.quiet(g, now) {
			m.wakeGroup(g, now.Add(m.opts.DrainSettle))
			return
		}
		g.drained = true
		m.emit(Progress{Notice: NoticeDrained, Group: g.ID, Generation: g.Generation})
	}
	m.finishDrain(g, now)
}

// causeLasts reports whether the group still has to drain.
func (m *Manager) causeLasts(g *groupState, now time.Time) bool {
	switch g.cause {
	case causeOut:
		return m.dcOut
	case causeUnfit:
		return m.dcOut || unfitMembers(g) > 0
	case causeStraggler:
		return g.drained || m.weakest(g, now) != nil
	default:
		return true
	}
}

func unfitMembers(g *groupState) int {
	n := 0
	for _, v := range g.members {
		if !v.fit() {
			n++
		}
	}
	return n
}

// quiet reports whether no work is in flight, the grace has passed, or the
// group is not whole, in which case its work is lost already.
func (m *Manager) quiet(g *groupState, now time.Time) bool {
	heardAll := now.Sub(m.listeningFrom) >= m.opts.ReportTTL
	if (heardAll && g.ready < len(g.members)) || !m.opts.enabled(GracefulDrain) {
		return true
	}
	if now.Sub(g.drainAt) >= m.opts.DrainSettle+m.opts.DrainGrace {
		return true
	}
	first := g.members[0]
	heard := !first.sentAt.Before(g.drainAt.Add(m.opts.DrainSettle))
	return heard && first.report.InFlight == 0
}

func (m *Manager) finishDrain(g *groupState, now time.Time) {
	if m.dcOut && !m.dcStop {
		g.cause, g.then = causeOut, thenHold
		return
	}
	switch g.then {
	case thenHold:
	case thenDissolve:
		m.dissolve(g, now)
	case thenSwap:
		m.swap(g, now)
	}
}

// swap replaces the members that caused the drain. A straggler for which no
// spare is left stays.
func (m *Manager) swap(g *groupState, now time.Time) {
	if g.cause != causeStraggler {
		m.repair(g, now)
		return
	}
	slow := m.weakest(g, now)
	if slow == nil || !m.hasSwiftSpare(g.domain) {
		m.undrain(g, now)
		return
	}
	slow.slow = true
	if missing, _ := m.missing(g, now); missing > len(g.domain.free) {
		slow.slow = false
		m.undrain(g, now)
		return
	}
	m.repair(g, now)
}

// undrain lets routers send work to the group again.
func (m *Manager) undrain(g *groupState, now time.Time) {
	g.Draining, g.drained = false, false
	m.recount(g)
	m.endPlanned(g)
	m.changed(g)
	m.markGroup(g)
	m.emit(Progress{Notice: NoticeUndrained, Group: g.ID, Generation: g.Generation})
	if g.phase == phaseWhole && g.ready < len(g.members) {
		m.setPhase(g, phaseBroken, now)
	}
	if g.phase == phaseForming {
		m.enqueue(g)
	}
}

// beginPlanned drains a group for a change that can wait. Each model has one
// such group at a time.
func (m *Manager) beginPlanned(g *groupState, cause drainCause, then drainThen, now time.Time) {
	s := g.model
	if s.planned != nil {
		return
	}
	if now.Before(s.plannedFrom) {
		m.wakeGroup(g, s.plannedFrom)
		m.balanceAt = s.plannedFrom
		return
	}
	s.planned = g
	m.beginDrain(g, cause, then, now)
}

// endPlanned lets the next planned change of the model begin.
func (m *Manager) endPlanned(g *groupState) {
	if g.model.planned != g {
		return
	}
	g.model.planned = nil
	for _, other := range g.model.groups {
		m.markGroup(other)
	}
	m.unbalanced = true
}
