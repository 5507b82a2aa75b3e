package replica

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// dissolve frees the members of groups that were given up.
func (p *Planner) dissolve(now time.Time) {
	for _, g := range p.sorted() {
		if g.Phase == Dissolving {
			p.dissolveGroup(now, g)
		}
	}
}

func (p *Planner) dissolveGroup(now time.Time, g *Group) {
	head := p.members[g.Members[0]]
	switch {
	case !g.ordered && p.wholeAgain(now, g):
		g.enter(now, Serving)
	case !g.ordered && !g.finish && p.reform(now, g):
	case head == nil:
		p.freeSurvivors(now, g)
	case p.headSafe(g, head):
		p.release(g)
	case !g.finish && p.dark(now, head.DataCentre):
	case head.FailedProbes == 0:
		p.stopHead(now, g, head)
	case head.silent(now, headSilentFor):
		p.freeSurvivors(now, g)
	}
}

// headSafe reports whether the head certainly doesn't serve the group and
// won't.
func (p *Planner) headSafe(g *Group, head *member) bool {
	if head.VM.Born != g.born[0] {
		return true
	}
	if g.openUnsettled || head.pending != nil && head.pending.order.Action == Open {
		return false
	}
	if head.ReportedAt.Before(head.settleAt) || head.ReportedAt.Before(g.openedAt) || head.ReportedAt.Before(g.Since) {
		return false // nothing that it has said is new enough
	}
	if !g.holds(head) {
		return true
	}
	if !g.openedAt.IsZero() && head.ReportedAt.Before(g.openedAt.Add(p.engine.FormTime+openMargin)) {
		return false // an order to serve may be about to take effect
	}
	return head.Stage == fleet.Joining || head.Stage == fleet.Ready
}

// stopHead tells a head that answers to stop serving.
func (p *Planner) stopHead(now time.Time, g *Group, head *member) {
	if now.Sub(head.settleAt) < settleFor {
		return
	}
	limit := closeFor
	if g.Lost == "" {
		limit = donorCloseFor
	}
	waiting := g.finish && now.Sub(g.Since) < limit
	switch {
	case waiting && head.Stage == fleet.Open:
		p.send(now, head, Order{Action: Close, Group: g.Name, Epoch: g.Epoch})
	case waiting && head.Stage == fleet.Closing:
	default:
		p.send(now, head, Order{Action: Leave, Group: g.Name, Epoch: g.Epoch})
	}
}

// freeSurvivors takes the members away from a head that doesn't answer. They
// are held until the head, if it still runs, has given up. The group stays
// until each of its members is known to have left it, restarted or gone.
func (p *Planner) freeSurvivors(now time.Time, g *Group) {
	done := true
	for rank, id := range g.Members {
		m := p.members[id]
		switch {
		case m == nil || m.group != g:
		case m.VM.Born != g.born[rank]:
			m.group = nil
		case rank == 0 || m.silent(now, silentFor):
			done = false
		case g.holds(m) || m.ReportedAt.Before(m.settleAt):
			done = false
			p.takeAway(now, g, m)
		default:
			m.coolsUntil = now.Add(p.opts.Stall + stallMargin)
			m.group = nil
		}
	}
	if done {
		p.release(g)
	}
}

// takeAway tells a member to leave its group.
func (p *Planner) takeAway(now time.Time, g *Group, m *member) {
	if now.Sub(m.settleAt) >= settleFor {
		p.send(now, m, Order{Action: Leave, Group: g.Name, Epoch: g.Epoch})
	}
}

// wholeAgain reports whether all members of a group that was out of reach
// answer again as before.
func (p *Planner) wholeAgain(now time.Time, g *Group) bool {
	if g.Lost == "" {
		return false // it was given up for another reason
	}
	for rank := range g.Members {
		if p.fault(now, g, rank) != Sound {
			return false
		}
	}
	return p.members[g.Members[0]].Stage == fleet.Open
}
