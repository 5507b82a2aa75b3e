package group

import "time"

// regrouping is a group that might be dissolved for the sake of others.
type regrouping struct {
	victim *groupState
	net    int // value gained less value lost
}

// noteLack has a regrouping weighed when a lack has lasted for RegroupAfter.
func (m *Manager) noteLack(now time.Time) {
	if !m.opts.enabled(Regroup) || !m.regroupAt.IsZero() {
		return
	}
	for _, s := range m.order {
		if s.unmet() {
			m.regroupAt = now.Add(m.opts.RegroupAfter)
			return
		}
	}
}

// regroup dissolves one whole group if the groups that its VMs and the free
// ones of its domain can form instead are worth more. Every regrouping
// raises the total value, which is bounded, so a stable set of VMs stops
// being regrouped.
func (m *Manager) regroup(now time.Time) {
	if m.regroupAt.IsZero() || now.Before(m.regroupAt) || m.closed() {
		return
	}
	if m.loads > 0 || len(m.queue) > 0 {
		m.regroupAt = now.Add(m.opts.RegroupAfter)
		return
	}
	m.regroupAt = time.Time{}
	best := m.bestRegrouping()
	if best.net < 1 {
		return
	}
	m.regroupAt = now.Add(m.opts.RegroupAfter)
	m.beginPlanned(best.victim, causeRegroup, thenDissolve, now)
}

func (m *Manager) bestRegrouping() regrouping {
	var best regrouping
	for _, d := range m.domList {
		m.visits++
		seen := (*modelState)(nil)
		for i := len(d.groups) - 1; i >= 0; i-- {
			g := d.groups[i]
			if g.model == seen || !m.dissolvable(g) {
				continue
			}
			seen = g.model
			if net := m.net(g); net > best.net {
				best = regrouping{victim: g, net: net}
			}
		}
	}
	return best
}

// dissolvable reports whether the group may make room for others. The last
// group of a model never does.
func (m *Manager) dissolvable(g *groupState) bool {
	return g.phase == phaseWhole && !g.Draining && !g.excluded &&
		g.model.planned == nil && g.model.whole > 1
}

// net returns the value of the best groups that fit into the victim's VMs
// and the free ones of its domain, less the victim's.
func (m *Manager) net(victim *groupState) int {
	counted := make([]int, len(m.order))
	lost := 0
	for i, s := range m.order {
		counted[i] = s.counted()
		if s == victim.model {
			lost = s.value(counted[i])
			counted[i]--
		}
	}
	room := m.available(victim.domain) + len(victim.members)
	gained := 0
	for {
		i := m.fill(counted, room)
		if i < 0 {
			return gained - lost
		}
		counted[i]++
		gained += m.order[i].value(counted[i])
		room -= m.order[i].GroupSize
	}
}

// fill returns the index of the model whose next group is worth most among
// those that fit, or -1.
func (m *Manager) fill(counted []int, room int) int {
	best, most := -1, 0
	for i, s := range m.order {
		value := s.value(counted[i] + 1)
		if value > most && s.GroupSize <= room {
			best, most = i, value
		}
	}
	return best
}
