package group

import (
	"slices"
	"time"
)

// updateSlowSince records since when a member has been slower than its peers.
func (m *Manager) updateSlowSince(v *vm, now time.Time) {
	g := v.group
	if now.Sub(g.medianAt) >= m.opts.StragglerAfter {
		m.markGroup(g)
	}
	if !m.isSlow(v) {
		v.slowSince = time.Time{}
		return
	}
	if v.slowSince.IsZero() {
		v.slowSince = now
		m.wakeGroupAt(g, now.Add(m.opts.StragglerAfter))
	}
}

func (m *Manager) isSlow(v *vm) bool {
	limit := m.opts.StragglerRatio * float64(v.group.median)
	return limit > 0 && float64(v.report.StepLatency) > limit
}

// countPause counts a pause of a member that broke its group. Silence during a
// pause of the coordinator itself does not count.
func (m *Manager) countPause(v *vm, now time.Time) {
	if v.group == nil || v.group.phase != phaseWhole || m.listeningSince.Equal(now) {
		return
	}
	if now.Sub(v.pausesSince) >= m.opts.PauseWindow {
		v.pauses, v.pausesSince = 0, now
	}
	v.pauses++
}

// pausesOften reports whether a member has paused at least MaxPauses times
// within PauseWindow.
func (m *Manager) pausesOften(v *vm, now time.Time) bool {
	return v.pauses >= m.opts.MaxPauses && now.Sub(v.pausesSince) < m.opts.PauseWindow
}

// planStragglerReplacement plans the replacement of the group's worst member
// if there is a spare.
func (m *Manager) planStragglerReplacement(g *groupState, now time.Time) {
	if now.Sub(g.medianAt) >= m.opts.StragglerAfter {
		m.updateMedian(g, now)
	}
	v := m.worstMember(g, now)
	if v == nil || !m.opts.enabled(StragglerSwap) {
		return
	}
	due := v.slowSince.Add(m.opts.StragglerAfter)
	if now.Before(due) && !m.pausesOften(v, now) {
		m.wakeGroupAt(g, due)
		return
	}
	if m.hasFastSpare(g.domain) {
		m.beginPlannedChange(g, causeStraggler, actionSwap, now)
	}
}

// updateMedian sets the group's median to the lower median of the members'
// step latencies and compares each member with it.
func (m *Manager) updateMedian(g *groupState, now time.Time) {
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
		case !m.isSlow(v):
			v.slowSince = time.Time{}
		case v.slowSince.IsZero():
			v.slowSince = now
		}
	}
}

// worstMember returns the member that pauses often if there is exactly one, or
// else the member that has been slow for the longest time, or nil. Several
// members that pause often share a cause that no spare of the domain would
// remove.
func (m *Manager) worstMember(g *groupState, now time.Time) *vm {
	var slowest, unsteady *vm
	count := 0
	for _, v := range g.members {
		if m.pausesOften(v, now) {
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

// hasFastSpare reports whether the domain has a free VM that is not a former
// straggler.
func (m *Manager) hasFastSpare(d *domain) bool {
	if !m.opts.enabled(Spares) {
		return false
	}
	for _, v := range d.free {
		if !v.wasStraggler {
			return true
		}
	}
	return false
}
