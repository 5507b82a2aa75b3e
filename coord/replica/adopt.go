package replica

import (
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// adopt takes over the groups of earlier planners from what VMs have reported
// to this one, and takes VMs out of what is left of broken ones.
func (p *Planner) adopt(now time.Time) {
	p.forgetReleased()
	unknown := make(map[groupKey][]*member)
	for _, vm := range p.table.All() {
		m := p.members[vm.ID]
		if m == nil || m.group != nil || m.Group == "" || p.released[keyOf(m)] || m.ReportedAt.Before(p.started) {
			continue
		}
		unknown[keyOf(m)] = append(unknown[keyOf(m)], m)
	}
	for key := range p.strays {
		if unknown[key] == nil {
			delete(p.strays, key)
		}
	}
	settled := p.heardAll(now)
	for key, members := range unknown {
		if p.adoptGroup(now, members) {
			continue
		}
		since, seen := p.strays[key]
		if !seen {
			p.strays[key] = now
			continue
		}
		if now.Sub(since) < adoptGrace || !settled {
			continue
		}
		if !p.adoptBroken(now, members) {
			p.expel(now, members)
		}
	}
}

// adopting reports whether groups of earlier planners may not have been taken
// over yet.
func (p *Planner) adopting(now time.Time) bool {
	return p.opts.Epochs.Term() > 1 && !p.heardAll(now)
}

// heardAll reports whether every VM has answered this planner, or has had the
// time to: until then a group may only seem to lack members.
func (p *Planner) heardAll(now time.Time) bool {
	since := now.Sub(p.started)
	if since < adoptGrace || since >= adoptMost {
		return since >= adoptMost
	}
	for _, m := range p.members {
		if p.unheard(m) {
			return false
		}
	}
	return true
}

// unheard reports whether a VM has neither answered this planner nor failed to.
func (p *Planner) unheard(m *member) bool {
	return m.Listed && m.ReportedAt.Before(p.started) && m.FailedProbes < silentProbes
}

// forgetReleased drops the released groups that no VM names any more.
func (p *Planner) forgetReleased() {
	named := make(map[groupKey]bool)
	for _, m := range p.members {
		if p.released[keyOf(m)] {
			named[keyOf(m)] = true
		}
	}
	p.released = named
}

// adoptGroup takes a group over if all its members report it. One whose head
// doesn't serve joins anew: orders of an earlier planner that still arrive late
// may take its members elsewhere, and are refused once these have accepted
// another order.
func (p *Planner) adoptGroup(now time.Time, members []*member) bool {
	byRank := p.byRank(members)
	if byRank == nil || slices.Contains(byRank, nil) {
		return false
	}
	head := byRank[0]
	if head.Stage != fleet.Open && head.Stage != fleet.Closing {
		p.newGroup(now, head.Group, head.Model, byRank)
		return true
	}
	g := p.enterAdopted(head.Membership, head.Model, byRank)
	g.enter(now, Serving)
	if head.Stage == fleet.Closing {
		g.giveUp(now, HeadClosing, "", true)
	}
	return true
}

// adoptBroken takes over a group of an earlier planner some of whose members
// are lost, so that spares may replace them. The lost ones are unknown. VMs that
// a later formation of the group has left behind are no group.
func (p *Planner) adoptBroken(now time.Time, members []*member) bool {
	byRank := p.byRank(members)
	if byRank == nil || p.formedAgain(members[0].Group) {
		return false
	}
	g := p.enterAdopted(members[0].Membership, members[0].Model, byRank)
	g.giveUp(now, MemberGone, "", false)
	return true
}

// formedAgain reports whether a formation of a group is known.
func (p *Planner) formedAgain(name string) bool {
	for key := range p.groups {
		if key.name == name {
			return true
		}
	}
	return false
}

// byRank orders the members of a group of an earlier planner, nil for those
// that have not reported. It returns nil if they contradict each other.
func (p *Planner) byRank(members []*member) []*member {
	model := p.engine.Model(members[0].Model)
	if model == nil {
		return nil
	}
	byRank := make([]*member, model.GroupSize)
	for _, m := range members {
		if m.Rank < 0 || m.Rank >= len(byRank) || byRank[m.Rank] != nil || m.Model != model.Name {
			return nil
		}
		byRank[m.Rank] = m
	}
	return byRank
}

// enterAdopted enters the group of an earlier planner in the table.
func (p *Planner) enterAdopted(of fleet.Membership, model string, byRank []*member) *Group {
	g := &Group{Name: of.Group, Epoch: of.Epoch, Model: model}
	for _, m := range byRank {
		if m == nil {
			g.Members, g.born = append(g.Members, unknownMember), append(g.born, 0)
			continue
		}
		g.Members, g.born = append(g.Members, m.ID), append(g.born, m.VM.Born)
		m.group = g
	}
	p.groups[g.key()] = g
	return g
}

// expel tells the VMs of an incomplete group to leave it. Those whose head
// can't be asked are held until it has given up.
func (p *Planner) expel(now time.Time, members []*member) {
	headHere := false
	for _, m := range members {
		headHere = headHere || m.Rank == 0
	}
	for _, m := range members {
		if m.silent(now, silentFor) || now.Sub(m.settleAt) < settleFor {
			continue
		}
		if m.Rank > 0 && headHere {
			continue // its head goes first
		}
		if m.Rank > 0 {
			m.coolsUntil = now.Add(p.opts.Stall + stallMargin)
		}
		p.send(now, m, Order{Action: Leave, Group: m.Group, Epoch: m.Epoch})
	}
}
