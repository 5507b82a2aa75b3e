package replica

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// dissolve frees the members of groups that are being dissolved.
func (p *Planner) dissolve(now time.Time) {
	for _, g := range p.sortedGroups() {
		if g.Phase == Dissolving {
			p.dissolveGroup(now, g)
		}
	}
}

func (p *Planner) dissolveGroup(now time.Time, g *Group) {
	head := p.members[g.Members[0]]
	switch {
	case !g.dissolveOrdered && p.hasRecovered(now, g):
		g.setPhase(now, Serving)
	case !g.dissolveOrdered && !g.drain && p.reform(now, g):
	case head == nil:
		p.freeSurvivors(now, g)
	case p.isHeadStopped(g, head):
		p.release(g)
	case !g.drain && p.isUnreachable(now, head.DataCentre):
	case head.FailedProbes == 0:
		p.stopHead(now, g, head)
	case head.isSilent(now, headSilenceTimeout):
		p.freeSurvivors(now, g)
	}
}

// isHeadStopped reports whether it is certain that the head is not serving the
// group and won't start to.
func (p *Planner) isHeadStopped(g *Group, head *member) bool {
	if head.VM.Born != g.born[0] {
		return true
	}
	if g.openOutcomeUnknown || head.pending != nil && head.pending.order.Action == Open {
		return false
	}
	if head.ReportedAt.Before(head.acceptedAt) || head.ReportedAt.Before(g.openedAt) || head.ReportedAt.Before(g.Since) {
		return false // the head's last report is too old to decide
	}
	if !g.isReportedBy(head) {
		return true
	}
	if !g.openedAt.IsZero() && head.ReportedAt.Before(g.openedAt.Add(p.engine.FormTime+openMargin)) {
		return false // an accepted Open order may be about to take effect
	}
	return head.Stage == fleet.Joining || head.Stage == fleet.Ready
}

// stopHead orders a head that answers probes to stop serving.
func (p *Planner) stopHead(now time.Time, g *Group, head *member) {
	if now.Sub(head.acceptedAt) < settleTime {
		return
	}
	timeout := closeTimeout
	if g.Lost == "" {
		timeout = donorCloseTimeout
	}
	draining := g.drain && now.Sub(g.Since) < timeout
	switch {
	case draining && head.Stage == fleet.Open:
		p.send(now, head, Order{Action: Close, Group: g.Name, Epoch: g.Epoch})
	case draining && head.Stage == fleet.Closing:
	default:
		p.send(now, head, Order{Action: Leave, Group: g.Name, Epoch: g.Epoch})
	}
}

// freeSurvivors frees the members of a group whose head doesn't answer. They
// get a cooldown that lasts until the head, if it still runs, must have given
// up. The group is kept until every member is known to have left it, restarted
// or disappeared.
func (p *Planner) freeSurvivors(now time.Time, g *Group) {
	done := true
	for rank, id := range g.Members {
		m := p.members[id]
		switch {
		case m == nil || m.group != g:
		case m.VM.Born != g.born[rank]:
			m.group = nil
		case rank == 0 || m.isSilent(now, silenceTimeout):
			done = false
		case g.isReportedBy(m) || m.ReportedAt.Before(m.acceptedAt):
			done = false
			p.sendLeave(now, g, m)
		default:
			m.cooldownUntil = now.Add(p.opts.Stall + stallMargin)
			m.group = nil
		}
	}
	if done {
		p.release(g)
	}
}

// sendLeave orders a member to leave its group.
func (p *Planner) sendLeave(now time.Time, g *Group, m *member) {
	if now.Sub(m.acceptedAt) >= settleTime {
		p.send(now, m, Order{Action: Leave, Group: g.Name, Epoch: g.Epoch})
	}
}

// hasRecovered reports whether all members of a group that was unreachable
// answer again and the head still serves.
func (p *Planner) hasRecovered(now time.Time, g *Group) bool {
	if g.Lost == "" {
		return false // the group is dissolved for another reason
	}
	for rank := range g.Members {
		if p.memberFault(now, g, rank) != NoFault {
			return false
		}
	}
	return p.members[g.Members[0]].Stage == fleet.Open
}
