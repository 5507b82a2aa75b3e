package group

import "time"

// drainAction is what is done with a group once it is drained.
type drainAction uint8

const (
	actionHold     drainAction = iota // keep the group loaded
	actionSwap                        // replace members
	actionDissolve                    // dissolve the group and free its VMs
)

// drainCause is why a group drains. The drain is cancelled when its cause
// ends.
type drainCause uint8

const (
	causeOut        drainCause = iota + 1 // operators marked the data centre out
	causeIneligible                       // members are out, leaving or stopping
	causeStraggler                        // a member is slow or pauses often
	causeSurplus                          // more groups than wanted
	causeRegroup                          // its VMs can form groups of higher total value
)

// beginDrain stops new work for the group.
func (m *Manager) beginDrain(g *groupState, cause drainCause, then drainAction, now time.Time) {
	g.Draining = true
	g.cause, g.afterDrain = cause, then
	g.drainStartedAt, g.drained = now, false
	m.releaseSlot(g)
	m.updateWholeCount(g)
	m.markChanged(g)
	m.wakeGroupAt(g, now.Add(m.opts.DrainSettle))
	m.markGroup(g)
	m.emit(Progress{Notice: NoticeDraining, Group: g.ID, Generation: g.Generation})
}

// continueDrain advances a drain: it cancels the drain if the cause has ended,
// and performs the drain's action once the group is drained.
func (m *Manager) continueDrain(g *groupState, now time.Time) {
	if !m.isDrainNeeded(g, now) {
		m.undrain(g, now)
		return
	}
	if !g.drained {
		if !m.canFinishDrain(g, now) {
			m.wakeGroupAt(g, now.Add(m.opts.DrainSettle))
			return
		}
		g.drained = true
		m.emit(Progress{Notice: NoticeDrained, Group: g.ID, Generation: g.Generation})
	}
	m.finishDrain(g, now)
}

// isDrainNeeded reports whether the cause of the drain persists.
func (m *Manager) isDrainNeeded(g *groupState, now time.Time) bool {
	switch g.cause {
	case causeOut:
		return m.dcOut
	case causeIneligible:
		return m.dcOut || countIneligible(g) > 0
	case causeStraggler:
		return g.drained || m.worstMember(g, now) != nil
	default:
		return true
	}
}

func countIneligible(g *groupState) int {
	n := 0
	for _, v := range g.members {
		if !v.isEligible() {
			n++
		}
	}
	return n
}

// canFinishDrain reports whether no work is in flight, DrainSettle and DrainGrace
// have passed, or the group is not whole, in which case its work is already lost.
func (m *Manager) canFinishDrain(g *groupState, now time.Time) bool {
	allReported := now.Sub(m.listeningSince) >= m.opts.ReportTTL
	if (allReported && g.ready < len(g.members)) || !m.opts.enabled(GracefulDrain) {
		return true
	}
	if now.Sub(g.drainStartedAt) >= m.opts.DrainSettle+m.opts.DrainGrace {
		return true
	}
	first := g.members[0]
	reported := !first.sentAt.Before(g.drainStartedAt.Add(m.opts.DrainSettle))
	return reported && first.report.InFlight == 0
}

func (m *Manager) finishDrain(g *groupState, now time.Time) {
	if m.dcOut && !m.dcStop {
		g.cause, g.afterDrain = causeOut, actionHold
		return
	}
	switch g.afterDrain {
	case actionHold:
	case actionDissolve:
		m.dissolve(g, now)
	case actionSwap:
		m.swapMembers(g, now)
	}
}

// swapMembers replaces the members that caused the drain. A straggler stays if
// there is no spare for it.
func (m *Manager) swapMembers(g *groupState, now time.Time) {
	if g.cause != causeStraggler {
		m.repair(g, now)
		return
	}
	slow := m.worstMember(g, now)
	if slow == nil || !m.hasFastSpare(g.domain) {
		m.undrain(g, now)
		return
	}
	slow.wasStraggler = true
	if missing, _ := m.countMissing(g, now); missing > len(g.domain.free) {
		slow.wasStraggler = false
		m.undrain(g, now)
		return
	}
	m.repair(g, now)
}

// undrain cancels a drain, so that routers may send work to the group again.
func (m *Manager) undrain(g *groupState, now time.Time) {
	g.Draining, g.drained = false, false
	m.updateWholeCount(g)
	m.endPlannedChange(g)
	m.markChanged(g)
	m.markGroup(g)
	m.emit(Progress{Notice: NoticeUndrained, Group: g.ID, Generation: g.Generation})
	if g.phase == phaseWhole && g.ready < len(g.members) {
		m.setPhase(g, phaseBroken, now)
	}
	if g.phase == phaseForming {
		m.enqueue(g)
	}
}

// beginPlannedChange drains a group for a change that is not urgent. Each
// model has at most one such group at a time, and none while another of its
// groups is forming.
func (m *Manager) beginPlannedChange(g *groupState, cause drainCause, then drainAction, now time.Time) {
	s := g.model
	if s.planned != nil {
		return
	}
	from := s.nextPlannedAt
	if s.hasFormingGroup() {
		from = later(from, now.Add(m.opts.DrainSettle))
	}
	if now.Before(from) {
		m.wakeGroupAt(g, from)
		m.balanceAt = from
		return
	}
	s.planned = g
	m.beginDrain(g, cause, then, now)
}

// endPlannedChange allows the model's next planned change to begin.
func (m *Manager) endPlannedChange(g *groupState) {
	if g.model.planned != g {
		return
	}
	g.model.planned = nil
	for _, other := range g.model.groups {
		m.markGroup(other)
	}
	m.unbalanced = true
}
