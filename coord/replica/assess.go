package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// darkShare is the part of a data centre's VMs whose silence is taken for a
// loss of the way there, not of the VMs.
const darkShare = 0.7

// darkAfter is how long it takes until all VMs of a data centre that can be
// reached again have been probed.
const darkAfter = time.Second

// unlistedGrace is how long a head may be missing from the platform's list until
// its group is formed anew: no requests are sent to it meanwhile. Other members
// may be missing as long as they answer, since they may only have lost touch
// with the platform.
const unlistedGrace = 1500 * time.Millisecond

// sorted returns the groups by epoch, so that runs repeat.
func (p *Planner) sorted() []*Group {
	out := make([]*Group, 0, len(p.groups))
	for _, g := range p.groups {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b *Group) int { return cmp.Compare(a.Epoch, b.Epoch) })
	return out
}

// assess finds the groups that have lost a member or are about to.
func (p *Planner) assess(now time.Time) {
	for _, g := range p.sorted() {
		p.assessGroup(now, g)
	}
}

func (p *Planner) assessGroup(now time.Time, g *Group) {
	for i, id := range g.Members {
		reason := p.fault(now, g, i)
		switch reason {
		case Sound:
		case MemberLeaving:
			g.giveUp(now, reason, id, true)
		default:
			g.giveUp(now, reason, id, false)
			return
		}
	}
	if g.refusals > maxRefusals {
		g.giveUp(now, OrdersRefused, "", false)
	}
}

// fault says what is wrong with a group's member.
func (p *Planner) fault(now time.Time, g *Group, rank int) Reason {
	m := p.members[g.Members[rank]]
	switch {
	case m == nil:
		return MemberGone
	case m.VM.Born != g.born[rank]:
		return MemberRestarted
	case m.silent(now, silentFor):
		return MemberSilent
	case g.Phase == Serving && !g.holds(m), g.Phase == Opening && !g.holds(m):
		return NotMember
	case rank == 0 && m.Stage == fleet.Broken && g.holds(m):
		return HeadGaveUp
	case g.Phase == Serving && rank == 0 && m.Stage != fleet.Open:
		return HeadStopped
	case m.Departing(), rank == 0 && m.unlistedFor(now) >= unlistedGrace:
		return MemberLeaving
	}
	return Sound
}

// unlistedFor returns for how long the platform hasn't listed the VM.
func (m *member) unlistedFor(now time.Time) time.Duration {
	if m.Listed {
		return 0
	}
	return now.Sub(m.ListedAt)
}

// dark reports whether most VMs of a data centre are silent, or were a moment
// ago, so that not all of them have been heard again.
func (p *Planner) dark(now time.Time, dataCentre string) bool {
	if p.mostlySilent(now, dataCentre) {
		p.darkAt[dataCentre] = now
	}
	at, was := p.darkAt[dataCentre]
	return was && now.Sub(at) < darkAfter
}

func (p *Planner) mostlySilent(now time.Time, dataCentre string) bool {
	silent, all := 0, 0
	for _, m := range p.members {
		if m.DataCentre != dataCentre {
			continue
		}
		all++
		if m.silent(now, silentFor) {
			silent++
		}
	}
	return all > 0 && float64(silent) >= darkShare*float64(all)
}
