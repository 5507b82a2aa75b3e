package group

import "time"

// plan decides whether a whole group has to change.
func (m *Manager) plan(g *groupState, now time.Time) {
	s := g.model
	switch {
	case m.dcOut:
		m.beginDrain(g, causeOut, thenHold, now)
	case m.dcStop:
		m.beginDrain(g, causeUnfit, thenDissolve, now)
	case m.urgent(g):
		m.beginDrain(g, causeUnfit, thenSwap, now)
	case !s.allowed || len(g.members) != s.GroupSize:
		m.beginPlanned(g, causeSurplus, thenDissolve, now)
	case unfitMembers(g) > 0:
		m.planStop(g, now)
	default:
		m.setExcluded(g, false, now)
		m.planStraggler(g, now)
	}
}

// urgent reports whether a member must get no new work at once.
func (m *Manager) urgent(g *groupState) bool {
	m.visits += uint64(len(g.members))
	for _, v := range g.members {
		if v.urgent() {
			return true
		}
	}
	return false
}

// planStop prepares the planned stop of members. Where another group of the
// model fits, it is formed first and this one is dissolved as surplus. Else
// groups with spares are changed first, one at a time.
func (m *Manager) planStop(g *groupState, now time.Time) {
	if m.replaceable(g, now) {
		m.setExcluded(g, true, now)
		m.wakeGroup(g, g.excludedAt.Add(m.opts.LoadTimeout))
		return
	}
	m.setExcluded(g, false, now)
	if m.swappable(g) || !m.othersSwappable(g) {
		m.beginPlanned(g, causeUnfit, thenSwap, now)
	}
}

// replaceable reports whether a whole new group is formed, or can be formed,
// in place of this one.
func (m *Manager) replaceable(g *groupState, now time.Time) bool {
	if g.model.Groups == 0 || !m.opts.enabled(Spares) {
		return false
	}
	if g.excluded {
		return now.Sub(g.excludedAt) < m.opts.LoadTimeout
	}
	return m.roomiest(g.model.GroupSize, now) != nil
}

// swappable reports whether the domain has spares for the stopping members.
func (m *Manager) swappable(g *groupState) bool {
	return m.opts.enabled(Spares) && unfitMembers(g) <= len(g.domain.free)
}

// othersSwappable reports whether another group of the model has stopping
// members and spares for them.
func (m *Manager) othersSwappable(g *groupState) bool {
	for _, other := range g.model.groups {
		m.visits++
		if other != g && other.phase == phaseWhole && !other.Draining && unfitMembers(other) > 0 && m.swappable(other) {
			return true
		}
	}
	return false
}

// balance dissolves what exceeds the wanted number of groups: groups that
// are not whole once enough are, and whole ones beyond the number.
func (m *Manager) balance(now time.Time) {
	for _, s := range m.order {
		switch {
		case !s.allowed:
			m.dropUnfinished(s, now)
		case s.Groups > 0 && s.whole >= s.Groups:
			m.dropUnfinished(s, now)
			if g := surplus(s); g != nil {
				m.beginPlanned(g, causeSurplus, thenDissolve, now)
			}
		}
	}
}

// dropUnfinished dissolves the model's groups that do not serve, but for
// those of which a member may merely pause.
func (m *Manager) dropUnfinished(s *modelState, now time.Time) {
	for i := len(s.groups) - 1; i >= 0; i-- {
		g := s.groups[i]
		if g.phase == phaseWhole || g.Draining {
			continue
		}
		until := later(g.since, m.listeningFrom).Add(m.opts.RepairGrace)
		if g.phase == phaseBroken && now.Before(until) {
			m.balanceAt = until
			continue
		}
		m.dissolve(g, now)
	}
}

// surplus returns the whole group to give up: one with stopping members that
// another has replaced, else the last by ID if there are too many.
func surplus(s *modelState) *groupState {
	var last *groupState
	for _, g := range s.groups {
		if g.excluded && g.phase == phaseWhole && !g.Draining {
			return g
		}
		if g.counts {
			last = g
		}
	}
	if s.whole > s.Groups {
		return last
	}
	return nil
}
