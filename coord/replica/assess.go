package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// unreachableShare is the fraction of a data centre's VMs that must be silent
// for the network path to the data centre, rather than the VMs, to be
// considered lost.
const unreachableShare = 0.7

// reprobeTime is how long it takes to probe all VMs of a data centre once it is
// reachable again.
const reprobeTime = time.Second

// unlistedGrace is how long a head may be missing from the platform's list
// before its group is formed again, since an unlisted head gets no requests.
// Other members may be missing for as long as they answer probes: they may only
// have lost their connection to the platform.
const unlistedGrace = 1500 * time.Millisecond

// sortedGroups returns the groups by epoch, to keep runs reproducible.
func (p *Planner) sortedGroups() []*Group {
	out := make([]*Group, 0, len(p.groups))
	for _, g := range p.groups {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b *Group) int { return cmp.Compare(a.Epoch, b.Epoch) })
	return out
}

// assess starts to dissolve groups that have lost a member or are about to lose
// one.
func (p *Planner) assess(now time.Time) {
	for _, g := range p.sortedGroups() {
		p.assessGroup(now, g)
	}
}

func (p *Planner) assessGroup(now time.Time, g *Group) {
	for i, id := range g.Members {
		reason := p.memberFault(now, g, i)
		switch reason {
		case NoFault:
		case MemberLeaving:
			g.startDissolving(now, reason, id, true)
		default:
			g.startDissolving(now, reason, id, false)
			return
		}
	}
	if g.refusals > maxRefusals {
		g.startDissolving(now, OrdersRefused, "", false)
	}
}

// memberFault returns why the member of the given rank makes its group
// unusable, or NoFault.
func (p *Planner) memberFault(now time.Time, g *Group, rank int) Reason {
	m := p.members[g.Members[rank]]
	switch {
	case m == nil:
		return MemberGone
	case m.VM.Born != g.born[rank]:
		return MemberRestarted
	case m.isSilent(now, silenceTimeout):
		return MemberSilent
	case g.Phase == Serving && !g.isReportedBy(m), g.Phase == Opening && !g.isReportedBy(m):
		return NotMember
	case rank == 0 && m.Stage == fleet.Broken && g.isReportedBy(m):
		return HeadGaveUp
	case g.Phase == Serving && rank == 0 && m.Stage != fleet.Open:
		return HeadStopped
	case m.Departing(), rank == 0 && m.unlistedDuration(now) >= unlistedGrace:
		return MemberLeaving
	}
	return NoFault
}

// unlistedDuration returns how long the platform has not listed the VM.
func (m *member) unlistedDuration(now time.Time) time.Duration {
	if m.Listed {
		return 0
	}
	return now.Sub(m.ListedAt)
}

// isUnreachable reports whether most VMs of a data centre are silent or were
// within the last reprobeTime, in which case some may not have been probed
// again.
func (p *Planner) isUnreachable(now time.Time, dataCentre string) bool {
	if p.exceedsSilentShare(now, dataCentre) {
		p.unreachableAt[dataCentre] = now
	}
	at, seen := p.unreachableAt[dataCentre]
	return seen && now.Sub(at) < reprobeTime
}

func (p *Planner) exceedsSilentShare(now time.Time, dataCentre string) bool {
	silent, total := 0, 0
	for _, m := range p.members {
		if m.DataCentre != dataCentre {
			continue
		}
		total++
		if m.isSilent(now, silenceTimeout) {
			silent++
		}
	}
	return total > 0 && float64(silent) >= unreachableShare*float64(total)
}
