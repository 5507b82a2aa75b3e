package group

import "time"

// Values of adding a group to a model. They decide which model gets a group
// first and whether a regrouping is worthwhile.
const (
	firstGroupValue  = 4 // the model's only group
	wantedGroupValue = 2 // a further group up to the wanted number
	extraGroupValue  = 1 // a further group of a model without a wanted number
)

// groupValue returns the value of the model's n-th group, counted from 1.
func (s *modelState) groupValue(n int) int {
	switch {
	case !s.allowed || (s.Groups > 0 && n > s.Groups):
		return 0
	case n == 1:
		return firstGroupValue
	case s.Groups > 0:
		return wantedGroupValue
	}
	return extraGroupValue
}

// assemble forms wanted groups while some domain has enough free VMs. The most
// valuable group is formed first, in the domain with the most available VMs.
func (m *Manager) assemble(now time.Time) {
	for len(m.candidates) > 0 {
		s, d := m.nextGroup(now)
		if s == nil {
			break
		}
		m.formGroup(s, d, now)
	}
	m.scheduleRegroup(now)
}

// nextGroup returns the model and domain of the group to form next, or nil if
// there is none.
func (m *Manager) nextGroup(now time.Time) (*modelState, *domain) {
	var best *modelState
	var where *domain
	for _, s := range m.modelList {
		if !s.wantsGroup() || (best != nil && !formsBefore(s, best)) {
			continue
		}
		if d := m.domainWithMostFree(s.GroupSize, now); d != nil {
			best, where = s, d
		}
	}
	return best, where
}

// formsBefore orders models by the value of their next group, then by fewest
// groups, then by position in the inventory.
func formsBefore(a, b *modelState) bool {
	va, vb := a.groupValue(a.countedGroups()+1), b.groupValue(b.countedGroups()+1)
	if va != vb {
		return va > vb
	}
	if a.countedGroups() != b.countedGroups() {
		return a.countedGroups() < b.countedGroups()
	}
	return a.position < b.position
}

// domainWithMostFree returns the domain with the most VMs available for a new
// group of the given size, or nil if no domain has enough.
func (m *Manager) domainWithMostFree(size int, now time.Time) *domain {
	var best *domain
	most := size - 1
	for _, d := range m.candidates {
		m.visits++
		n := m.availableVMs(d)
		if n > most && !m.hasDeparting(d, now) {
			best, most = d, n
		}
	}
	return best
}

// availableVMs returns the number of free VMs less those needed to repair the
// domain's incomplete groups. The result may be negative.
func (m *Manager) availableVMs(d *domain) int {
	n := len(d.free)
	for _, g := range d.incomplete {
		if !g.excluded {
			n -= g.need
		}
	}
	return n
}

// hasDeparting reports whether former members of a dissolved group of the domain
// are not idle yet.
func (m *Manager) hasDeparting(d *domain, now time.Time) bool {
	for len(d.departing) > 0 {
		v := d.departing[0]
		if now.Before(d.departUntil) && v.isPresent() && v.group == nil && v.report.Group != "" {
			return true
		}
		d.departing = d.departing[1:]
	}
	return false
}
