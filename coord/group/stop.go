package group

import "time"

// requestStop marks the VMs of a planned stop. It holds until it is
// cancelled, over changes of the lease as well.
func (m *Manager) requestStop(now time.Time, ev StopRequested) {
	switch ev.Scope {
	case ScopeVM:
		m.stops[ev.Name] = true
		m.setStopping(now, ev.Name)
	case ScopeGroup:
		m.stopGroup(now, ev.Name)
	case ScopeDataCentre:
		m.dcStop = true
		m.markStops(now)
	}
}

func (m *Manager) stopGroup(now time.Time, id string) {
	g := m.byID[id]
	if g == nil {
		return
	}
	m.groupStops[id] = g.Members
	for _, name := range g.Members {
		m.stops[name] = true
		m.setStopping(now, name)
	}
}

// cancelStop takes a planned stop back.
func (m *Manager) cancelStop(now time.Time, ev StopCancelled) {
	switch ev.Scope {
	case ScopeVM:
		delete(m.stops, ev.Name)
		m.setStopping(now, ev.Name)
	case ScopeGroup:
		for _, name := range m.groupStops[ev.Name] {
			delete(m.stops, name)
			m.setStopping(now, name)
		}
		delete(m.groupStops, ev.Name)
	case ScopeDataCentre:
		m.dcStop = false
		m.markStops(now)
	}
}

func (m *Manager) markStops(now time.Time) {
	for _, v := range m.vmList {
		m.setStopping(now, v.name)
	}
}

func (m *Manager) setStopping(now time.Time, name string) {
	v := m.vms[name]
	if v == nil {
		return
	}
	stopping := m.dcStop || m.stops[name]
	if v.stopping != stopping {
		v.stopping = stopping
		m.flagged(v, now)
	}
}
