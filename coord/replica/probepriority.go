package replica

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// ProbePriority is how soon the planner needs a VM's next report.
type ProbePriority int

// Probe priorities, lowest first.
const (
	// Background is for members of serving groups. If any member fails,
	// requests at the group stall, and the nodes that sent them detect it.
	Background ProbePriority = iota
	// Regular is for VMs whose reports must be fresh for planning decisions.
	Regular
	// Urgent is for VMs whose next report the planner is waiting for.
	Urgent
)

// joinLookahead is how long before the expected end of a join the VM is probed
// urgently.
const joinLookahead = 150 * time.Millisecond

// joinHeldDuration is how long a VM takes to join a group of the model it
// holds.
const joinHeldDuration = 200 * time.Millisecond

// idleLoadSpeedup is the factor by which loads are faster before the first
// request.
const idleLoadSpeedup = 10

// ProbePriority returns how soon the VM's next report is needed.
func (p *Planner) ProbePriority(now time.Time, id string) ProbePriority {
	m := p.members[id]
	switch {
	case m == nil:
		return Regular
	case p.isUnprobed(m) && now.Sub(p.startedAt) < adoptTimeout, p.isReportAwaited(now, m):
		return Urgent
	case p.isServingMember(m) && m.Listed && m.FailedProbes == 0:
		return Background
	}
	return Regular
}

// isServingMember reports whether a VM is a member, but not the head, of a
// serving group.
func (p *Planner) isServingMember(m *member) bool {
	return m.group != nil && m.group.Phase == Serving && m.group.Members[0] != m.ID
}

// isReportAwaited reports whether the VM's next report may let the planner
// proceed with the VM or its group.
func (p *Planner) isReportAwaited(now time.Time, m *member) bool {
	g := m.group
	if g == nil {
		return m.ReportedAt.Before(m.acceptedAt)
	}
	isHead := g.Members[0] == m.ID
	switch g.Phase {
	case Forming:
		return !g.isReportedBy(m) || m.Stage == fleet.Joining && p.isLikelyJoinedBy(now.Add(joinLookahead), m)
	case Opening:
		return isHead
	case Dissolving:
		return isHead || m.ReportedAt.Before(g.Since) || m.ReportedAt.Before(m.acceptedAt)
	}
	return false
}

// isLikelyJoinedBy reports whether a VM has probably joined its group by the
// given time.
func (p *Planner) isLikelyJoinedBy(by time.Time, m *member) bool {
	model := p.engine.Model(m.group.Model)
	if model == nil {
		return true
	}
	duration := joinHeldDuration
	switch joinCost(m, model.Name) {
	case joinStaged:
		duration = model.WarmTime
	case joinLoad:
		if p.hasTraffic {
			return false // its duration depends on the other loads
		}
		duration = model.LoadTime / idleLoadSpeedup
	}
	return !by.Before(m.acceptedAt.Add(duration))
}
