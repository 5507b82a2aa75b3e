package group

import (
	"slices"
	"time"
)

// State is the state of a group as shown to operators.
type State string

// States of a group.
const (
	StateWhole    State = "whole"
	StateForming  State = "forming"
	StateDraining State = "draining"
	StateBroken   State = "broken"
)

// Condition describes one group to operators.
type Condition struct {
	Group  Group
	State  State
	Reason Reason
	// Since is when the state began.
	Since time.Time
}

// VMStatus explains why a VM of the data centre is in no group.
type VMStatus struct {
	VM     string
	Reason Reason
}

// Status describes the manager, its groups sorted by ID and the VMs in no group
// sorted by name, for operators.
type Status struct {
	Coordinating bool
	Term         uint64
	// PlatformDown is set while the row cannot be read or written.
	PlatformDown bool
	// Loads is the number of groups that are loading; Queued is the number
	// that wait for a load slot.
	Loads  int
	Queued int
	Groups []Condition
	// Stranded lists the VMs in no group.
	Stranded []VMStatus
}

// Groups returns the groups sorted by ID. It returns none while the manager
// does not hold the lease or has not reconciled yet. The caller must not
// change the result.
func (m *Manager) Groups() []Group {
	if m.stage != stageActive {
		return nil
	}
	if m.view != nil && m.viewVersion == m.row.version {
		return m.view
	}
	m.visits += uint64(len(m.groups))
	m.view = make([]Group, len(m.groups))
	for i, g := range m.groups {
		m.view[i] = g.Group
	}
	m.viewVersion = m.row.version
	return m.view
}

// Status returns the current status. It visits every VM and is therefore meant
// for operators' requests only.
func (m *Manager) Status(now time.Time) Status {
	s := Status{
		Coordinating: m.stage == stageActive,
		Term:         m.term,
		PlatformDown: m.row.unreachable,
		Loads:        m.loads,
		Queued:       len(m.queue),
	}
	for _, g := range m.groups {
		s.Groups = append(s.Groups, m.condition(g, now))
	}
	for _, v := range m.vmList {
		if v.group == nil {
			s.Stranded = append(s.Stranded, VMStatus{VM: v.name, Reason: m.strandedReason(v, now)})
		}
	}
	return s
}

func (m *Manager) condition(g *groupState, now time.Time) Condition {
	out := Condition{Group: g.Group, Since: g.since, State: StateBroken}
	out.Group.Members = slices.Clone(g.Members)
	switch {
	case g.Draining:
		out.State, out.Since = StateDraining, g.drainStartedAt
		out.Reason = Reason{Code: GroupDraining}
		return out
	case g.phase == phaseWhole:
		out.State = StateWhole
		out.Reason = Reason{Code: OK}
		return out
	case g.phase == phaseForming:
		out.State = StateForming
	}
	out.Reason = m.notWholeReason(g, now)
	return out
}

func (m *Manager) notWholeReason(g *groupState, now time.Time) Reason {
	if g.queued {
		return Reason{Code: LoadQueued}
	}
	if g.excluded {
		return Reason{Code: NoSpare, VM: m.firstMissing(g, now), Need: g.need}
	}
	for rank, v := range g.members {
		if code := memberCode(g, rank, v); code != OK {
			return Reason{Code: code, VM: v.name, Need: g.need}
		}
	}
	return Reason{Code: Waiting}
}

func memberCode(g *groupState, rank int, v *vm) Code {
	switch {
	case !v.fresh:
		return NotReporting
	case v.refused:
		return EngineRefused
	case v.wasInPlace && v.report.Group == "":
		return TurnedCold
	}
	return placeCode(&g.Group, rank, &v.report)
}

// firstMissing returns the name of the first member that needs replacement.
func (m *Manager) firstMissing(g *groupState, now time.Time) string {
	for _, v := range g.members {
		if m.needsReplacement(v, now) {
			return v.name
		}
	}
	return ""
}

// strandedReason returns the first reason that keeps a VM out of a group.
func (m *Manager) strandedReason(v *vm, now time.Time) Reason {
	switch {
	case m.stage == stageOff:
		return Reason{Code: NoCoordinator}
	case !v.fresh:
		return Reason{Code: NotReporting, VM: v.name}
	case v.refused:
		return Reason{Code: EngineRefused, VM: v.name}
	case m.stage == stageReconciling:
		return Reason{Code: Reconciling}
	case v.out:
		return Reason{Code: VMOut, VM: v.name}
	case v.leaving:
		return Reason{Code: VMLeaving, VM: v.name}
	case v.stopping:
		return Reason{Code: VMStopping, VM: v.name}
	}
	return m.spareReason(v, now)
}

// spareReason returns why an eligible VM has no group to join.
func (m *Manager) spareReason(v *vm, now time.Time) Reason {
	switch {
	case m.dcOut:
		return Reason{Code: DataCentreOut}
	case v.report.Group != "":
		return Reason{Code: LeavingEarlier, VM: v.name}
	case now.Before(v.skipUntil):
		return Reason{Code: LoadFailed, VM: v.name}
	case m.smallestGroupSize == 0:
		return Reason{Code: NoModel}
	}
	return m.noRoomReason(v.domain)
}

func (m *Manager) noRoomReason(d *domain) Reason {
	need := 0
	for _, s := range m.modelList {
		if s.wantsGroup() && (need == 0 || s.GroupSize < need) {
			need = s.GroupSize
		}
	}
	switch {
	case need == 0:
		return Reason{Code: WantedReached}
	case m.availableVMs(d) < need:
		return Reason{Code: TooFewInDomain, Need: need - max(m.availableVMs(d), 0)}
	}
	return Reason{Code: Waiting}
}
