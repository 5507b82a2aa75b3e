package group

import (
	"slices"
	"time"
)

// enqueue adds a group to the queue for load slots.
func (m *Manager) enqueue(g *groupState) {
	if !g.queued && !g.loading {
		g.queued = true
		m.queue = append(m.queue, g)
	}
}

// takeSlot gives a group a load slot. A group that is already loading gets one
// even above the limit.
func (m *Manager) takeSlot(g *groupState, now time.Time) {
	g.loading = true
	g.loadStartedAt = now
	m.loads++
	m.wakeGroupAt(g, now.Add(m.opts.LoadTimeout))
}

// releaseSlot removes the group from the queue and frees its slot.
func (m *Manager) releaseSlot(g *groupState) {
	if g.queued {
		g.queued = false
		i := slices.Index(m.queue, g)
		m.queue = slices.Delete(m.queue, i, i+1)
	}
	if g.loading {
		g.loading = false
		m.loads--
	}
}

// startLoads gives free slots to the queued groups in the order of
// loadsBefore.
func (m *Manager) startLoads(now time.Time) {
	for len(m.queue) > 0 && (m.loads < m.opts.MaxLoads || !m.opts.enabled(LoadLimit)) {
		first := 0
		for i := range m.queue {
			m.visits++
			if loadsBefore(m.queue[i], m.queue[first]) {
				first = i
			}
		}
		g := m.queue[first]
		m.queue = slices.Delete(m.queue, first, first+1)
		g.queued = false
		m.takeSlot(g, now)
		for _, v := range g.members {
			m.markVM(v)
		}
	}
}

// loadsBefore orders groups by the benefit of loading them: first the model
// with the fewest whole groups, then the group with the fewest failed loads,
// then a group that has served before, whose accelerators would otherwise stay
// idle longest, then by ID.
func loadsBefore(a, b *groupState) bool {
	if a.model.whole != b.model.whole {
		return a.model.whole < b.model.whole
	}
	if a.failures != b.failures {
		return a.failures < b.failures
	}
	if a.servedBefore != b.servedBefore {
		return a.servedBefore
	}
	return a.ID < b.ID
}

// handleLoadTimeout ends a load that took too long and excludes the members
// that are not ready from use for LoadBackoff.
func (m *Manager) handleLoadTimeout(g *groupState, now time.Time) {
	m.releaseSlot(g)
	g.failures++
	g.reload = true
	for _, v := range g.members {
		if !v.ready {
			v.skipUntil = now.Add(m.opts.LoadBackoff)
		}
	}
	m.setPhase(g, phaseBroken, now)
}
