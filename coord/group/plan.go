package group

import "time"

// planChange decides whether a whole group has to be changed.
func (m *Manager) planChange(g *groupState, now time.Time) {
	s := g.model
	switch {
	case m.dcOut:
		m.beginDrain(g, causeOut, actionHold, now)
	case m.dcStop:
		m.beginDrain(g, causeIneligible, actionDissolve, now)
	case m.hasUrgentMember(g):
		m.beginDrain(g, causeIneligible, actionSwap, now)
	case !s.allowed || len(g.members) != s.GroupSize:
		m.beginPlannedChange(g, causeSurplus, actionDissolve, now)
	case countIneligible(g) > 0:
		m.planStop(g, now)
	default:
		m.setExcluded(g, false, now)
		m.planStragglerReplacement(g, now)
	}
}

// hasUrgentMember reports whether the group must be drained at once because of
// a member.
func (m *Manager) hasUrgentMember(g *groupState) bool {
	m.visits += uint64(len(g.members))
	for _, v := range g.members {
		if v.needsUrgentDrain() {
			return true
		}
	}
	return false
}

// planStop plans the planned stop of members. If another group of the model
// can be formed, it is formed first and this one is dissolved as surplus.
// Otherwise groups with enough spares are changed first, one at a time.
func (m *Manager) planStop(g *groupState, now time.Time) {
	if m.isReplaceable(g, now) {
		m.setExcluded(g, true, now)
		m.wakeGroupAt(g, g.excludedAt.Add(m.opts.LoadTimeout))
		return
	}
	m.setExcluded(g, false, now)
	if m.hasSparesForStop(g) || !m.anotherHasSparesForStop(g) {
		m.beginPlannedChange(g, causeIneligible, actionSwap, now)
	}
}

// isReplaceable reports whether another group is being formed, or can be
// formed, in place of this one.
func (m *Manager) isReplaceable(g *groupState, now time.Time) bool {
	if g.model.Groups == 0 || !m.opts.enabled(Spares) {
		return false
	}
	if g.excluded {
		return now.Sub(g.excludedAt) < m.opts.LoadTimeout
	}
	return m.domainWithMostFree(g.model.GroupSize, now) != nil
}

// hasSparesForStop reports whether the domain has spares for the stopping
// members.
func (m *Manager) hasSparesForStop(g *groupState) bool {
	return m.opts.enabled(Spares) && countIneligible(g) <= len(g.domain.free)
}

// anotherHasSparesForStop reports whether another group of the model has
// stopping members and spares for them.
func (m *Manager) anotherHasSparesForStop(g *groupState) bool {
	for _, other := range g.model.groups {
		m.visits++
		if other != g && other.phase == phaseWhole && !other.Draining && countIneligible(other) > 0 && m.hasSparesForStop(other) {
			return true
		}
	}
	return false
}

// balance dissolves groups beyond the wanted number: unfinished groups once
// enough groups are whole, and surplus whole ones.
func (m *Manager) balance(now time.Time) {
	for _, s := range m.modelList {
		switch {
		case !s.allowed:
			m.dissolveUnfinished(s, now)
		case s.Groups > 0 && s.whole >= s.Groups:
			m.dissolveUnfinished(s, now)
			if g := surplusGroup(s); g != nil {
				m.beginPlannedChange(g, causeSurplus, actionDissolve, now)
			}
		}
	}
}

// dissolveUnfinished dissolves the model's groups that do not serve, except
// broken groups with a member that may only be paused.
func (m *Manager) dissolveUnfinished(s *modelState, now time.Time) {
	for i := len(s.groups) - 1; i >= 0; i-- {
		g := s.groups[i]
		if g.phase == phaseWhole || g.Draining {
			continue
		}
		until := later(g.since, m.listeningSince).Add(m.opts.RepairGrace)
		if g.phase == phaseBroken && now.Before(until) {
			m.balanceAt = until
			continue
		}
		m.dissolve(g, now)
	}
}

// surplusGroup returns the whole group to dissolve, or nil: a group with
// stopping members that another one has replaced, or else the last by ID if
// there are too many.
func surplusGroup(s *modelState) *groupState {
	var last *groupState
	for _, g := range s.groups {
		if g.excluded && g.phase == phaseWhole && !g.Draining {
			return g
		}
		if g.countsAsWhole {
			last = g
		}
	}
	if s.whole > s.Groups {
		return last
	}
	return nil
}
