package group

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

// strayKey names a group at a generation.
type strayKey struct {
	group      string
	generation uint64
}

// stray is a group that VMs report and the table does not hold.
type stray struct {
	key     strayKey
	members []*vm // by name
	since   time.Time
	dirty   bool
}

// touchStray keeps the index of VMs that report another place than theirs.
func (m *Manager) touchStray(v *vm, now time.Time) {
	key := strayKey{v.report.Group, v.report.Generation}
	isStray := v.known && !v.gone && v.report.Group != "" && !placedBy(v)
	if v.stray != nil && (!isStray || v.stray.key != key) {
		m.leaveStray(v)
	}
	if !isStray {
		return
	}
	if v.stray == nil {
		m.enterStray(v, key, now)
	}
	m.markStray(v.stray)
}

// placedBy reports whether the VM's last report names its place.
func placedBy(v *vm) bool {
	return v.group != nil && inPlace(&v.group.Group, v.rank, &v.report)
}

func (m *Manager) enterStray(v *vm, key strayKey, now time.Time) {
	s := m.strays[key]
	if s == nil {
		s = &stray{key: key, since: now}
		m.strays[key] = s
	}
	s.members = insertSorted(s.members, v, byName)
	v.stray = s
}

func (m *Manager) leaveStray(v *vm) {
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

// markStrays looks at every stray.
func (m *Manager) markStrays() {
	for _, v := range m.vmList {
		if v.stray != nil {
			m.markStray(v.stray)
		}
	}
}

// adoptStrays adopts the strays that are running groups, and has the members
// of the others told to leave.
func (m *Manager) adoptStrays(now time.Time) {
	dirty := m.dirtyStrays
	m.dirtyStrays = nil
	for _, s := range dirty {
		s.dirty = false
		m.visits++
		if m.complete(s) {
			m.adopt(s, now)
			continue
		}
		for _, v := range s.members {
			m.markVM(v)
		}
	}
}

// complete reports whether the stray is a group with all of its members.
func (m *Manager) complete(s *stray) bool {
	if !m.adoptable(s) {
		return false
	}
	size := m.strayModel(s).GroupSize
	if len(s.members) != size {
		return false
	}
	ranks := make([]bool, size)
	for _, v := range s.members {
		r := &v.report
		sound := v.present() && r.State != member.Idle && r.Model == s.members[0].report.Model
		if !sound || r.Rank < 0 || r.Rank >= size || ranks[r.Rank] {
			return false
		}
		ranks[r.Rank] = true
	}
	return true
}

// adoptable reports whether the stray may be the work of an earlier
// coordinator that nothing decided here contradicts.
func (m *Manager) adoptable(s *stray) bool {
	if !m.opts.enabled(Reconcile) || len(s.members) == 0 || m.own(s.key.generation) {
		return false
	}
	if !m.strayModel(s).allowed {
		return false
	}
	if g := m.byID[s.key.group]; g != nil && !m.yields(g) {
		return false
	}
	for _, v := range s.members {
		if v.domain != s.members[0].domain || v.ended == s.key || (v.group != nil && !m.yields(v.group)) {
			return false
		}
	}
	return true
}

// yields reports whether a group of the row gives way to a running one.
func (m *Manager) yields(g *groupState) bool {
	return g.phase != phaseWhole && !m.own(g.Generation)
}

func (m *Manager) strayModel(s *stray) *modelState {
	state := m.models[s.members[0].report.Model]
	if state == nil {
		return &modelState{}
	}
	return state
}

// heldUntil returns until when the members of a stray are left alone,
// because VMs that are silent may complete it. Zero means not at all.
func (m *Manager) heldUntil(s *stray) time.Time {
	if !m.adoptable(s) {
		return time.Time{}
	}
	d := s.members[0].domain
	silent := d.size - d.present
	if len(s.members)+silent < m.strayModel(s).GroupSize {
		return time.Time{}
	}
	return later(s.since, m.listeningFrom).Add(m.opts.RepairGrace)
}

// adopt enters a complete stray into the table in place of what the row said.
func (m *Manager) adopt(s *stray, now time.Time) {
	members := make([]*vm, len(s.members))
	for _, v := range s.members {
		members[v.report.Rank] = v
	}
	if g := m.byID[s.key.group]; g != nil {
		m.remove(g, now)
	}
	for _, v := range members {
		if v.group != nil {
			m.remove(v.group, now)
		}
	}
	m.admit(Group{
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
