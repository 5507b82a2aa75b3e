package replica

import (
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// adopt takes over the groups of earlier planners, as reported to this planner
// by their VMs, and removes VMs from incomplete groups that cannot be adopted.
func (p *Planner) adopt(now time.Time) {
	p.pruneReleased()
	unadopted := make(map[groupKey][]*member)
	for _, vm := range p.table.All() {
		m := p.members[vm.ID]
		if m == nil || !p.isUnadopted(m) {
			continue
		}
		unadopted[keyOf(m)] = append(unadopted[keyOf(m)], m)
	}
	for key := range p.incompleteSince {
		if unadopted[key] == nil {
			delete(p.incompleteSince, key)
		}
	}
	allProbed := p.allProbed(now)
	for key, members := range unadopted {
		if modelOf(members) == "" {
			continue // all are still joining
		}
		if p.adoptGroup(now, members) {
			continue
		}
		since, seen := p.incompleteSince[key]
		if !seen {
			p.incompleteSince[key] = now
			continue
		}
		if now.Sub(since) < adoptGrace || !allProbed {
			continue
		}
		if !p.adoptIncomplete(now, members) {
			p.expel(now, members)
		}
	}
}

// isUnadopted reports whether a VM has told this planner that it belongs to a
// group which the planner does not know.
func (p *Planner) isUnadopted(m *member) bool {
	return m.group == nil && m.Group != "" && !m.IsStandby() && !p.released[keyOf(m)] && !m.ReportedAt.Before(p.startedAt)
}

// isAdopting reports whether groups of earlier planners may still have to be
// adopted.
func (p *Planner) isAdopting(now time.Time) bool {
	return p.opts.Epochs.Term() > 1 && !p.allProbed(now)
}

// allProbed reports whether every VM has answered this planner or has had time
// to do so. Before that, a group can appear incomplete although it is not.
func (p *Planner) allProbed(now time.Time) bool {
	since := now.Sub(p.startedAt)
	if since < adoptGrace || since >= adoptTimeout {
		return since >= adoptTimeout
	}
	for _, m := range p.members {
		if p.isUnprobed(m) {
			return false
		}
	}
	return true
}

// isUnprobed reports whether a VM has neither answered this planner nor failed
// enough probes to count as silent.
func (p *Planner) isUnprobed(m *member) bool {
	return m.Listed && m.ReportedAt.Before(p.startedAt) && m.FailedProbes < minSilentProbes
}

// pruneReleased drops released groups that no VM reports any more.
func (p *Planner) pruneReleased() {
	named := make(map[groupKey]bool)
	for _, m := range p.members {
		if p.released[keyOf(m)] {
			named[keyOf(m)] = true
		}
	}
	p.released = named
}

// adoptGroup adopts a group if all its members report it. If its head is not
// serving, the group forms again: delayed orders of an earlier planner could
// still move its members elsewhere, and members refuse them once they have
// accepted another order.
func (p *Planner) adoptGroup(now time.Time, members []*member) bool {
	byRank := p.byRank(members)
	if byRank == nil || slices.Contains(byRank, nil) {
		return false
	}
	head := byRank[0]
	if head.Stage != fleet.Open && head.Stage != fleet.Closing {
		p.newGroup(now, head.Group, modelOf(members), byRank)
		return true
	}
	g := p.addAdopted(head.Membership, modelOf(members), byRank)
	g.setPhase(now, Serving)
	if head.Stage == fleet.Closing {
		g.startDissolving(now, HeadClosing, "", true)
	}
	return true
}

// adoptIncomplete adopts a group of an earlier planner that has lost members,
// so that spares can replace them. The lost members are recorded as
// unknownMember. VMs left behind by a later formation of the same group are not
// adopted. A serving group of which no member seems to be missing finishes its
// requests: the configuration may have required fewer VMs when it was formed.
func (p *Planner) adoptIncomplete(now time.Time, members []*member) bool {
	byRank := p.byRank(members)
	if byRank == nil || p.hasFormation(members[0].Group) {
		return false
	}
	if n := len(members); byRank[0] != nil && byRank[0].Stage == fleet.Open && !slices.Contains(byRank[:n], nil) {
		g := p.addAdopted(members[0].Membership, modelOf(members), byRank[:n])
		g.startDissolving(now, SizeChanged, "", true)
		return true
	}
	g := p.addAdopted(members[0].Membership, modelOf(members), byRank)
	g.startDissolving(now, MemberGone, "", false)
	return true
}

// hasFormation reports whether the planner knows any formation of the named
// group.
func (p *Planner) hasFormation(name string) bool {
	for key := range p.groups {
		if key.name == name {
			return true
		}
	}
	return false
}

// byRank returns the members of an earlier planner's group by rank, with nil
// for members that have not reported. It returns nil if the reports contradict
// each other.
func (p *Planner) byRank(members []*member) []*member {
	model := p.engine.Model(modelOf(members))
	if model == nil {
		return nil
	}
	byRank := make([]*member, model.GroupSize)
	for _, m := range members {
		if m.Rank < 0 || m.Rank >= len(byRank) || byRank[m.Rank] != nil || m.Model != "" && m.Model != model.Name {
			return nil
		}
		byRank[m.Rank] = m
	}
	return byRank
}

// modelOf returns the model of a group, or "" if no member reports it: a VM
// doesn't report the model while it joins.
func modelOf(members []*member) string {
	for _, m := range members {
		if m.Model != "" {
			return m.Model
		}
	}
	return ""
}

// addAdopted adds a group of an earlier planner to the table.
func (p *Planner) addAdopted(membership fleet.Membership, model string, byRank []*member) *Group {
	g := &Group{Name: membership.Group, Epoch: membership.Epoch, Model: model}
	for _, m := range byRank {
		if m == nil {
			g.Members, g.born = append(g.Members, unknownMember), append(g.born, 0)
			continue
		}
		g.Members, g.born = append(g.Members, m.ID), append(g.born, m.VM.Born)
		m.group, m.groupModel = g, model
	}
	p.groups[g.key()] = g
	return g
}

// expel orders the VMs of an incomplete group to leave it. If the head cannot
// be reached, the other members get a cooldown that lasts until the head must
// have given up.
func (p *Planner) expel(now time.Time, members []*member) {
	headReported := false
	for _, m := range members {
		headReported = headReported || m.Rank == 0
	}
	for _, m := range members {
		if m.isSilent(now, silenceTimeout) || now.Sub(m.acceptedAt) < settleTime {
			continue
		}
		if m.Rank > 0 && headReported {
			continue // the head leaves first
		}
		if m.Rank > 0 {
			m.cooldownUntil = now.Add(p.opts.Stall + stallMargin)
		}
		p.sendExpulsion(now, m)
	}
}

// sendExpulsion orders a VM to leave its group. A head that serves finishes its
// requests first: the configuration may have changed since they began.
func (p *Planner) sendExpulsion(now time.Time, m *member) {
	action := Leave
	switch {
	case m.Rank != 0:
	case m.Stage == fleet.Open:
		action = Close
	case m.Stage == fleet.Closing:
		return
	}
	p.send(now, m, Order{Action: action, Group: m.Group, Epoch: m.Epoch})
}
