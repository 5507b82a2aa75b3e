package group

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

// groupKey identifies a group at a generation.
type groupKey struct {
	group      string
	generation uint64
}

// stray is a group that VMs report but that is not in the manager's table at
// that generation.
type stray struct {
	key     groupKey
	members []*vm // sorted by name
	since   time.Time
	dirty   bool
}

// updateStray maintains the index of VMs that report a place other than the one
// assigned to them.
func (m *Manager) updateStray(v *vm, now time.Time) {
	key := groupKey{v.report.Group, v.report.Generation}
	isStray := v.hasReport && !v.removed && v.report.Group != "" && !reportMatchesPlace(v)
	if v.stray != nil && (!isStray || v.stray.key != key) {
		m.removeFromStray(v)
	}
	if !isStray {
		return
	}
	if v.stray == nil {
		m.addToStray(v, key, now)
	}
	m.markStray(v.stray)
}

// reportMatchesPlace reports whether the VM's last report names its assigned
// place.
func reportMatchesPlace(v *vm) bool {
	return v.group != nil && matchesPlace(&v.group.Group, v.rank, &v.report)
}

func (m *Manager) addToStray(v *vm, key groupKey, now time.Time) {
	s := m.strays[key]
	if s == nil {
		s = &stray{key: key, since: now}
		m.strays[key] = s
	}
	s.members = insertSorted(s.members, v, byName)
	v.stray = s
}

func (m *Manager) removeFromStray(v *vm) {
	s := v.stray
	v.stray = nil
	s.members = removeSorted(s.members, v, byName)
	if len(s.members) == 0 {
		delete(m.strays, s.key)
	}
	m.markStray(s)
}

func (m *Manager) markStray(s *stray) {
	if !s.dirty && m.stage != stageOff {
		s.dirty = true
		m.dirtyStrays = append(m.dirtyStrays, s)
	}
}

// markStrays marks every stray.
func (m *Manager) markStrays() {
	for _, v := range m.vmList {
		if v.stray != nil {
			m.markStray(v.stray)
		}
	}
}

// adoptStrays adopts the marked strays that are complete running groups and
// schedules leave orders for the members of the others.
func (m *Manager) adoptStrays(now time.Time) {
	dirty := m.dirtyStrays
	m.dirtyStrays = nil
	for _, s := range dirty {
		s.dirty = false
		m.visits++
		if m.isComplete(s) {
			m.adopt(s, now)
			continue
		}
		for _, v := range s.members {
			m.markVM(v)
		}
	}
}

// isComplete reports whether the stray can be adopted and all of its members
// are present, one at each rank.
func (m *Manager) isComplete(s *stray) bool {
	if !m.isAdoptable(s) {
		return false
	}
	size := m.strayModel(s).GroupSize
	if len(s.members) != size {
		return false
	}
	ranks := make([]bool, size)
	for _, v := range s.members {
		r := &v.report
		healthy := v.isPresent() && r.State != member.Idle && r.Model == s.members[0].report.Model
		if !healthy || r.Rank < 0 || r.Rank >= size || ranks[r.Rank] {
			return false
		}
		ranks[r.Rank] = true
	}
	return true
}

// isAdoptable reports whether the stray may be a group of an earlier
// coordinator that does not contradict a decision of this one.
func (m *Manager) isAdoptable(s *stray) bool {
	if !m.opts.enabled(Reconcile) || len(s.members) == 0 || m.isOwnGeneration(s.key.generation) {
		return false
	}
	if !m.strayModel(s).allowed {
		return false
	}
	if g := m.byID[s.key.group]; g != nil && !m.canBeSuperseded(g) {
		return false
	}
	for _, v := range s.members {
		if v.domain != s.members[0].domain || v.revoked == s.key || (v.group != nil && !m.canBeSuperseded(v.group)) {
			return false
		}
	}
	return true
}

// canBeSuperseded reports whether a running group may take the place of this
// group, which was read from the row.
func (m *Manager) canBeSuperseded(g *groupState) bool {
	return g.phase != phaseWhole && !m.isOwnGeneration(g.Generation)
}

func (m *Manager) strayModel(s *stray) *modelState {
	state := m.models[s.members[0].report.Model]
	if state == nil {
		return &modelState{}
	}
	return state
}

// leaveNotBefore returns the time before which the stray's members must not be
// ordered to leave, because VMs that are silent may still complete it. Zero
// means that they may be ordered to leave now.
func (m *Manager) leaveNotBefore(s *stray) time.Time {
	if !m.isAdoptable(s) {
		return time.Time{}
	}
	d := s.members[0].domain
	silent := d.size - d.present
	if len(s.members)+silent < m.strayModel(s).GroupSize {
		return time.Time{}
	}
	return later(s.since, m.listeningSince).Add(m.opts.RepairGrace)
}

// adopt adds a complete stray to the table and removes the groups of the row
// that conflict with it.
func (m *Manager) adopt(s *stray, now time.Time) {
	members := make([]*vm, len(s.members))
	for _, v := range s.members {
		members[v.report.Rank] = v
	}
	if g := m.byID[s.key.group]; g != nil {
		m.removeGroup(g, now)
	}
	for _, v := range members {
		if v.group != nil {
			m.removeGroup(v.group, now)
		}
	}
	m.addRunning(Group{
		ID:           s.key.group,
		Generation:   s.key.generation,
		Model:        members[0].report.Model,
		FabricDomain: members[0].domain.name,
		Members:      memberNames(members),
	}, members, now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
