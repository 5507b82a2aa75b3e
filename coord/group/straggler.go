package group

import (
	"slices"
	"time"
)

// compareLatency notes since when a member has been slower than its peers.
func (m *Manager) compareLatency(v *vm, now time.Time) {
	g := v.group
	if now.Sub(g.medianAt) >= m.opts.StragglerAfter {
		m.markGroup(g)
	}
	if !m.slower(v) {
		v.slowSince = time.Time{}
		return
	}
	if v.slowSince.IsZero() {
		v.slowSince = now
		m.wakeGroup(g, now.Add(m.opts.StragglerAfter))
	}
}

func (m *Manager) slower(v *vm) bool {
	limit := m.opts.StragglerRatio * float64(v.group.median)
	return limit > 0 && float64(v.report.StepLatency) > limit
}

// countPause counts the pauses by which a member broke its group. What the
// coordinator missed in a pause of its own is none.
func (m *Manager) countPause(v *vm, now time.Time) {
	if v.group == nil || v.group.phase != phaseWhole || m.listeningFrom.Equal(now) {
		return
	}
	if now.Sub(v.pausesFrom) >= m.opts.PauseWindow {
		v.pauses, v.pausesFrom = 0, now
	}
	v.pauses++
}

// unsteady reports whether a member has paused too often of late.
func (m *Manager) unsteady(v *vm, now time.Time) bool {
	return v.pauses >= m.opts.MaxPauses && now.Sub(v.pausesFrom) < m.opts.PauseWindow
}

// planStraggler drains a group to replace its weakest member if a spare is
// there.
func (m *Manager) planStraggler(g *groupState, now time.Time) {
	if now.Sub(g.medianAt) >= m.opts.StragglerAfter {
		m.measureMedian(g, now)
	}
	v := m.weakest(g, now)
	if v == nil || !m.opts.enabled(StragglerSwap) {
		return
	}
	due := v.slowSince.Add(m.opts.StragglerAfter)
	if now.Before(due) && !m.unsteady(v, now) {
		m.wakeGroup(g, due)
		return
	}
	if m.hasSwiftSpare(g.domain) {
		m.beginPlanned(g, causeStraggler, thenSwap, now)
	}
}

// measureMedian takes the lower median of the members' latencies and
// compares each with it.
func (m *Manager) measureMedian(g *groupState, now time.Time) {
	m.visits += uint64(len(g.members))
	m.scratch = m.scratch[:0]
	for _, v := range g.members {
		if v.report.StepLatency > 0 {
			m.scratch = append(m.scratch, v.report.StepLatency)
		}
	}
	g.median, g.medianAt = 0, now
	if len(m.scratch) > 1 {
		slices.Sort(m.scratch)
		g.median = m.scratch[(len(m.scratch)-1)/2]
	}
	for _, v := range g.members {
		switch {
		case !m.slower(v):
			v.slowSince = time.Time{}
		case v.slowSince.IsZero():
			v.slowSince = now
		}
	}
}

// weakest returns the one member that pauses often, or else the one that has
// been a straggler for longest. Members that pause often together share a
// cause that no spare of the domain would mend.
func (m *Manager) weakest(g *groupState, now time.Time) *vm {
	var slowest, unsteady *vm
	count := 0
	for _, v := range g.members {
		if m.unsteady(v, now) {
			unsteady = v
			count++
		}
		if !v.slowSince.IsZero() && (slowest == nil || v.slowSince.Before(slowest.slowSince)) {
			slowest = v
		}
	}
	if count == 1 {
		return unsteady
	}
	return slowest
}

// hasSwiftSpare reports whether the domain has a free VM that is not itself
// a former straggler.
func (m *Manager) hasSwiftSpare(d *domain) bool {
	if !m.opts.enabled(Spares) {
		return false
	}
	for _, v := range d.free {
		if !v.slow {
			return true
		}
	}
	return false
}
