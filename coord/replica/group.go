package replica

import (
	"slices"
	"strconv"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// Phase is how far a group is.
type Phase string

// Phases of a group.
const (
	Forming    Phase = "forming"    // members are joining
	Opening    Phase = "opening"    // all were ready; the head is told to serve
	Serving    Phase = "serving"    // the head has reported that it serves
	Dissolving Phase = "dissolving" // members are to be freed
)

// Reason says why a group is dissolved.
type Reason string

// Reasons to dissolve a group.
const (
	Sound           Reason = "" // there is none
	MemberGone      Reason = "gone"
	MemberRestarted Reason = "restarted"
	MemberSilent    Reason = "silent"
	NotMember       Reason = "not a member"
	HeadGaveUp      Reason = "head gave up"
	HeadStopped     Reason = "head stopped serving"
	MemberLeaving   Reason = "leaving"
	OrdersRefused   Reason = "orders refused"
	HeadClosing     Reason = "closing"
	NeededElsewhere Reason = "needed elsewhere"
)

// Group is a set of VMs that run one model together.
type Group struct {
	Name  string
	Epoch uint64
	Model string
	// Members are VM IDs, the head's first; unknownMember for the lost ones of
	// a group that was adopted without them.
	Members []string
	Phase   Phase
	// Since is when the phase began.
	Since time.Time
	// Reason says why the group is dissolved.
	Reason Reason
	// Lost is the member that was lost, if that is the reason.
	Lost string
	// For is the group or model that needs the VMs, if that is the reason.
	For string

	// finish lets the head finish its work before it is freed.
	finish bool
	// openUnsettled is whether an order to serve may yet take effect.
	openUnsettled bool
	openedAt      time.Time
	// awaits is whether other groups were given up for this one.
	awaits bool
	// ordered is whether an order to dissolve the group may have taken effect.
	ordered  bool
	refusals int
	// born holds each member's start.
	born []int64
}

const unknownMember = ""

// groupKey names one formation of a group.
type groupKey struct {
	name  string
	epoch uint64
}

func (g *Group) key() groupKey { return groupKey{g.Name, g.Epoch} }

// keyOf returns the formation that a VM reports to be in.
func keyOf(m *member) groupKey { return groupKey{m.Group, m.Epoch} }

func (g *Group) enter(now time.Time, phase Phase) {
	g.Phase, g.Since = phase, now
}

// holds reports whether a VM reports its membership of the group.
func (g *Group) holds(m *member) bool {
	return keyOf(m) == g.key()
}

// giveUp begins to dissolve a group.
func (g *Group) giveUp(now time.Time, reason Reason, lost string, finish bool) {
	if g.Phase == Dissolving {
		g.finish = g.finish && finish
		return
	}
	g.Reason, g.Lost, g.finish, g.ordered, g.awaits = reason, lost, finish, false, false
	g.enter(now, Dissolving)
}

// yield begins to dissolve a sound group, once its work is done, for another
// group or model.
func (g *Group) yield(now time.Time, to string) {
	g.For = to
	g.giveUp(now, NeededElsewhere, "", true)
}

// newGroup enters a group in the table. Without a name it gets one of its own.
func (p *Planner) newGroup(now time.Time, name, model string, members []*member) *Group {
	epoch := p.opts.Epochs.next()
	if name == "" {
		name = "g" + strconv.FormatUint(epoch, 36)
	}
	g := &Group{Name: name, Epoch: epoch, Model: model}
	for _, m := range members {
		g.Members = append(g.Members, m.ID)
		g.born = append(g.born, m.VM.Born)
		m.group = g
	}
	g.enter(now, Forming)
	p.groups[g.key()] = g
	return g
}

// release frees a group's members. One that was adopted without some of them
// may yet be reported by these.
func (p *Planner) release(g *Group) {
	for _, id := range g.Members {
		if m := p.members[id]; m != nil && m.group == g {
			m.group = nil
		}
	}
	if !slices.Contains(g.Members, unknownMember) {
		p.released[g.key()] = true
	}
	delete(p.groups, g.key())
}

// advance moves forming groups on towards serving.
func (p *Planner) advance(now time.Time) {
	for _, g := range p.sorted() {
		switch g.Phase {
		case Forming:
			p.form(now, g)
		case Opening:
			p.open(now, g)
		}
	}
}

func (p *Planner) form(now time.Time, g *Group) {
	all := true
	for _, id := range g.Members {
		m := p.members[id]
		if !g.holds(m) {
			p.sendJoin(now, g, m)
			all = false
			continue
		}
		all = all && m.Stage != fleet.Joining
	}
	if all {
		g.enter(now, Opening)
		p.open(now, g)
	}
}

func (p *Planner) sendJoin(now time.Time, g *Group, m *member) {
	if now.Sub(m.settleAt) < settleFor {
		return
	}
	p.send(now, m, Order{Action: Join, Group: g.Name, Epoch: g.Epoch, Model: g.Model, Members: g.Members})
}

func (p *Planner) open(now time.Time, g *Group) {
	head := p.members[g.Members[0]]
	switch {
	case head.Stage == fleet.Open:
		g.enter(now, Serving)
	case now.Sub(head.settleAt) >= settleFor+p.engine.FormTime:
		p.send(now, head, Order{Action: Open, Group: g.Name, Epoch: g.Epoch})
	}
}
