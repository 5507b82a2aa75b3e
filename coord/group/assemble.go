package group

import "time"

// Values of one more group, by what the data centre gains from it. They
// decide which model is served first and when a regrouping pays.
const (
	firstGroupValue  = 4 // the model's only group
	wantedGroupValue = 2 // one of the wanted number
	extraGroupValue  = 1 // one of as many as fit
)

// value returns what the n-th group of the model is worth, from 1.
func (s *modelState) value(n int) int {
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

// assemble forms wanted groups while some domain has room, the most valuable
// first and each in the domain with the most free VMs.
func (m *Manager) assemble(now time.Time) {
	for len(m.roomy) > 0 {
		s, d := m.nextGroup(now)
		if s == nil {
			break
		}
		m.form(s, d, now)
	}
	m.noteLack(now)
}

// nextGroup returns the model and domain of the group to form next.
func (m *Manager) nextGroup(now time.Time) (*modelState, *domain) {
	var best *modelState
	var where *domain
	for _, s := range m.order {
		if !s.unmet() || (best != nil && !formsBefore(s, best)) {
			continue
		}
		if d := m.roomiest(s.GroupSize, now); d != nil {
			best, where = s, d
		}
	}
	return best, where
}

// formsBefore orders models by the value of their next group, then by the
// fewest groups, then by the document.
func formsBefore(a, b *modelState) bool {
	va, vb := a.value(a.counted()+1), b.value(b.counted()+1)
	if va != vb {
		return va > vb
	}
	if a.counted() != b.counted() {
		return a.counted() < b.counted()
	}
	return a.position < b.position
}

// roomiest returns the domain with the most VMs available for a new group.
func (m *Manager) roomiest(size int, now time.Time) *domain {
	var best *domain
	most := size - 1
	for _, d := range m.roomy {
		m.visits++
		n := m.available(d)
		if n > most && !m.departing(d, now) {
			best, most = d, n
		}
	}
	return best
}

// available is the number of free VMs that no broken group of the domain is
// about to need.
func (m *Manager) available(d *domain) int {
	n := len(d.free)
	for _, g := range d.needy {
		if !g.excluded {
			n -= g.need
		}
	}
	return n
}

// departing reports whether members of a dissolved group are not idle yet.
func (m *Manager) departing(d *domain, now time.Time) bool {
	for len(d.departing) > 0 {
		v := d.departing[0]
		if now.Before(d.departUntil) && v.present() && v.group == nil && v.report.Group != "" {
			return true
		}
		d.departing = d.departing[1:]
	}
	return false
}
