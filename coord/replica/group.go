package replica

import (
	"slices"
	"strconv"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// Phase is a stage in the life of a group.
type Phase string

// Phases of a group.
const (
	Forming    Phase = "forming"    // members are joining
	Opening    Phase = "opening"    // all members were ready; the head is ordered to serve
	Serving    Phase = "serving"    // the head has reported that it serves
	Dissolving Phase = "dissolving" // members are being freed
)

// Reason is the reason for which a group is dissolved.
type Reason string

// Reasons for dissolving a group.
const (
	NoFault         Reason = "" // no reason to dissolve the group
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
	// SizeChanged means that the configuration requires more VMs.
	SizeChanged Reason = "another size required"
)

// Group is a set of VMs that run one model together.
type Group struct {
	Name  string
	Epoch uint64
	Model string
	// Members holds the VM IDs by rank, starting with the head. Lost members of
	// a group that was adopted without them are unknownMember.
	Members []string
	Phase   Phase
	// Since is when the current phase began.
	Since  time.Time
	Reason Reason
	// Lost is the ID of the lost member, if that is the reason.
	Lost string
	// For is the group or model that needs the VMs, if that is the reason.
	For string

	// drain lets the head finish its requests before it is freed.
	drain bool
	// openOutcomeUnknown is whether an Open order with an unknown outcome may
	// still take effect.
	openOutcomeUnknown bool
	openedAt           time.Time
	// awaitsDonors is whether other groups are being dissolved to supply this
	// one.
	awaitsDonors bool
	// dissolveOrdered is whether an order to dissolve the group may have taken
	// effect.
	dissolveOrdered bool
	refusals        int
	// born holds, by rank, each member's Born as of when the group was formed
	// or adopted.
	born []int64
}

const unknownMember = ""

// groupKey identifies one formation of a group.
type groupKey struct {
	name  string
	epoch uint64
}

func (g *Group) key() groupKey { return groupKey{g.Name, g.Epoch} }

// keyOf returns the formation that a VM reports as its own.
func keyOf(m *member) groupKey { return groupKey{m.Group, m.Epoch} }

func (g *Group) setPhase(now time.Time, phase Phase) {
	g.Phase, g.Since = phase, now
}

// isReportedBy reports whether a VM reports that it belongs to this formation.
func (g *Group) isReportedBy(m *member) bool {
	return keyOf(m) == g.key()
}

// startDissolving moves the group to the Dissolving phase. If it is there
// already, only drain may change, from true to false.
func (g *Group) startDissolving(now time.Time, reason Reason, lost string, drain bool) {
	if g.Phase == Dissolving {
		g.drain = g.drain && drain
		return
	}
	g.Reason, g.Lost, g.drain, g.dissolveOrdered, g.awaitsDonors = reason, lost, drain, false, false
	g.setPhase(now, Dissolving)
}

// donate starts to dissolve a healthy group, once its requests have finished,
// so that its VMs can serve another group or model.
func (g *Group) donate(now time.Time, recipient string) {
	g.For = recipient
	g.startDissolving(now, NeededElsewhere, "", true)
}

// newGroup adds a group to the table. If name is empty, it is derived from the
// epoch.
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
		m.setGroupModel(now, model)
	}
	g.setPhase(now, Forming)
	p.groups[g.key()] = g
	return g
}

// setGroupModel records the model of a VM's new group.
func (m *member) setGroupModel(now time.Time, model string) {
	if m.groupModel != "" && m.groupModel != model {
		m.modelChangedAt = now
	}
	m.groupModel = model
}

// release frees a group's members and removes the group. A group with unknown
// members is not marked as released, because those members may still report it.
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

// advance moves forming groups towards serving.
func (p *Planner) advance(now time.Time) {
	for _, g := range p.sortedGroups() {
		switch g.Phase {
		case Forming:
			p.advanceForming(now, g)
		case Opening:
			p.advanceOpening(now, g)
		}
	}
}

func (p *Planner) advanceForming(now time.Time, g *Group) {
	allReady := true
	for _, id := range g.Members {
		m := p.members[id]
		if !g.isReportedBy(m) {
			p.sendJoin(now, g, m)
			allReady = false
			continue
		}
		allReady = allReady && m.Stage != fleet.Joining
	}
	if allReady {
		g.setPhase(now, Opening)
		p.advanceOpening(now, g)
	}
}

func (p *Planner) sendJoin(now time.Time, g *Group, m *member) {
	if now.Sub(m.acceptedAt) < settleTime {
		return
	}
	p.send(now, m, Order{Action: Join, Group: g.Name, Epoch: g.Epoch, Model: g.Model, Members: g.Members})
}

func (p *Planner) advanceOpening(now time.Time, g *Group) {
	head := p.members[g.Members[0]]
	switch {
	case head.Stage == fleet.Open:
		g.setPhase(now, Serving)
	case now.Sub(head.acceptedAt) >= settleTime+p.engine.FormTime:
		p.send(now, head, Order{Action: Open, Group: g.Name, Epoch: g.Epoch})
	}
}
