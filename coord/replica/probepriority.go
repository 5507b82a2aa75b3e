package replica

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// ProbePriority is how soon a planner needs a VM's next report.
type ProbePriority int

// Degrees of probe priority.
const (
	// Background is for members of groups that serve: requests at a group stand
	// still without any one of them, and whoever sent these finds it out.
	Background ProbePriority = iota
	// Regular is for VMs whose reports must be fresh for decisions.
	Regular
	// Urgent is for VMs whose next report is awaited.
	Urgent
)

// joinSoon is how long before a join is likely to be done its report is awaited.
const joinSoon = 150 * time.Millisecond

// joinHeldTime is how long a VM takes to join a group of the model that it holds.
const joinHeldTime = 200 * time.Millisecond

// idleLoadPart is by how much a load is shorter before the first request.
const idleLoadPart = 10

// ProbePriority returns how soon a VM's next report is needed.
func (p *Planner) ProbePriority(now time.Time, id string) ProbePriority {
	m := p.members[id]
	switch {
	case m == nil:
		return Regular
	case p.unheard(m) && now.Sub(p.started) < adoptMost, p.awaited(now, m):
		return Urgent
	case p.servesAlong(m) && m.Listed && m.FailedProbes == 0:
		return Background
	}
	return Regular
}

// servesAlong reports whether a VM is a member of a group that serves, and not
// its head.
func (p *Planner) servesAlong(m *member) bool {
	return m.group != nil && m.group.Phase == Serving && m.group.Members[0] != m.ID
}

// awaited reports whether a VM's next report may let its group go on.
func (p *Planner) awaited(now time.Time, m *member) bool {
	g := m.group
	if g == nil {
		return m.ReportedAt.Before(m.settleAt)
	}
	head := g.Members[0] == m.ID
	switch g.Phase {
	case Forming:
		return !g.holds(m) || m.Stage == fleet.Joining && p.joinsBy(now.Add(joinSoon), m)
	case Opening:
		return head
	case Dissolving:
		return head || m.ReportedAt.Before(g.Since) || m.ReportedAt.Before(m.settleAt)
	}
	return false
}

// joinsBy reports whether a VM is likely to have joined its group by a time.
func (p *Planner) joinsBy(by time.Time, m *member) bool {
	model := p.engine.Model(m.group.Model)
	if model == nil {
		return true
	}
	took := joinHeldTime
	switch joinCost(m, model.Name) {
	case joinStaged:
		took = model.WarmTime
	case joinLoad:
		if p.traffic {
			return false // how long it takes depends on the other loads
		}
		took = model.LoadTime / idleLoadPart
	}
	return !by.Before(m.settleAt.Add(took))
}
