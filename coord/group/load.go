package group

import (
	"slices"
	"time"
)

// enqueue has the group wait for a load slot.
func (m *Manager) enqueue(g *groupState) {
	if !g.queued && !g.loading {
		g.queued = true
		m.queue = append(m.queue, g)
	}
}

// takeSlot lets a group load, over the limit if it loads already.
func (m *Manager) takeSlot(g *groupState, now time.Time) {
	g.loading = true
	g.loadFrom = now
	m.loads++
	m.wakeGroup(g, now.Add(m.opts.LoadTimeout))
}

// releaseSlot takes the group out of the queue and frees its slot.
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

// startLoads hands free slots to the waiting groups in order of loadsBefore.
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

// loadsBefore orders groups by what a load gains: first the model with the
// fewest whole groups, then the group with the fewest failed loads, then one
// that served before, whose accelerators would idle longest, then by ID.
func loadsBefore(a, b *groupState) bool {
	if a.model.whole != b.model.whole {
		return a.model.whole < b.model.whole
	}
	if a.failures != b.failures {
		return a.failures < b.failures
	}
	if a.servedOnce != b.servedOnce {
		return a.servedOnce
	}
	return a.ID < b.ID
}

// loadTimedOut ends a load and passes over the members that are not ready.
func (m *Manager) loadTimedOut(g *groupState, now time.Time) {
	m.releaseSlot(g)
	g.failures++
	g.reload = true
	for _, v := range g.members {
		if !v.ready {
			v.passUntil = now.Add(m.opts.LoadBackoff)
		}
	}
	m.setPhase(g, phaseBroken, now)
}
