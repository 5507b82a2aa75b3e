package group

import "time"

// regrouping is a group that could be dissolved to make room for others.
type regrouping struct {
	victim *groupState
	gain   int // value gained minus value lost
}

// scheduleRegroup schedules a regrouping after RegroupAfter if a wanted group
// is missing.
func (m *Manager) scheduleRegroup(now time.Time) {
	if !m.opts.enabled(Regroup) || !m.regroupAt.IsZero() {
		return
	}
	for _, s := range m.modelList {
		if s.wantsGroup() {
			m.regroupAt = now.Add(m.opts.RegroupAfter)
			return
		}
	}
}

// regroup dissolves one whole group if the groups that can be formed from its
// VMs and its domain's free VMs are worth more. Every regrouping raises the
// total value, which is bounded, so that regrouping ends for a stable set of
// VMs.
func (m *Manager) regroup(now time.Time) {
	if m.regroupAt.IsZero() || now.Before(m.regroupAt) || m.isClosed() {
		return
	}
	if m.loads > 0 || len(m.queue) > 0 {
		m.regroupAt = now.Add(m.opts.RegroupAfter)
		return
	}
	m.regroupAt = time.Time{}
	best := m.bestRegrouping()
	if best.gain < 1 {
		return
	}
	m.regroupAt = now.Add(m.opts.RegroupAfter)
	m.beginPlannedChange(best.victim, causeRegroup, actionDissolve, now)
}

func (m *Manager) bestRegrouping() regrouping {
	var best regrouping
	for _, d := range m.domList {
		m.visits++
		previous := (*modelState)(nil)
		for i := len(d.groups) - 1; i >= 0; i-- {
			g := d.groups[i]
			if g.model == previous || !m.canDissolve(g) {
				continue
			}
			previous = g.model
			if net := m.regroupGain(g); net > best.gain {
				best = regrouping{victim: g, gain: net}
			}
		}
	}
	return best
}

// canDissolve reports whether the group may be dissolved for other groups. The
// last whole group of a model may not.
func (m *Manager) canDissolve(g *groupState) bool {
	return g.phase == phaseWhole && !g.Draining && !g.excluded &&
		g.model.planned == nil && g.model.whole > 1
}

// regroupGain returns the value of the best groups that fit into the victim's
// VMs and its domain's available VMs, less the victim's value.
func (m *Manager) regroupGain(victim *groupState) int {
	counted := make([]int, len(m.modelList))
	lost := 0
	for i, s := range m.modelList {
		counted[i] = s.countedGroups()
		if s == victim.model {
			lost = s.groupValue(counted[i])
			counted[i]--
		}
	}
	room := m.availableVMs(victim.domain) + len(victim.members)
	gained := 0
	for {
		i := m.bestFittingModel(counted, room)
		if i < 0 {
			return gained - lost
		}
		counted[i]++
		gained += m.modelList[i].groupValue(counted[i])
		room -= m.modelList[i].GroupSize
	}
}

// bestFittingModel returns the index of the model whose next group is worth
// most among those that fit into the given number of VMs, or -1.
func (m *Manager) bestFittingModel(counted []int, room int) int {
	best, most := -1, 0
	for i, s := range m.modelList {
		value := s.groupValue(counted[i] + 1)
		if value > most && s.GroupSize <= room {
			best, most = i, value
		}
	}
	return best
}
