package group

import "time"

// requestStop marks the VMs of a planned stop. The stop remains in force until
// it is cancelled, also when the lease is lost and gained.
func (m *Manager) requestStop(now time.Time, ev StopRequested) {
	switch ev.Scope {
	case ScopeVM:
		m.stops[ev.Name] = true
		m.updateStopping(now, ev.Name)
	case ScopeGroup:
		m.stopGroup(now, ev.Name)
	case ScopeDataCentre:
		m.dcStop = true
		m.updateAllStopping(now)
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
		m.updateStopping(now, name)
	}
}

// cancelStop cancels a planned stop.
func (m *Manager) cancelStop(now time.Time, ev StopCancelled) {
	switch ev.Scope {
	case ScopeVM:
		delete(m.stops, ev.Name)
		m.updateStopping(now, ev.Name)
	case ScopeGroup:
		for _, name := range m.groupStops[ev.Name] {
			delete(m.stops, name)
			m.updateStopping(now, name)
		}
		delete(m.groupStops, ev.Name)
	case ScopeDataCentre:
		m.dcStop = false
		m.updateAllStopping(now)
	}
}

func (m *Manager) updateAllStopping(now time.Time) {
	for _, v := range m.vmList {
		m.updateStopping(now, v.name)
	}
}

func (m *Manager) updateStopping(now time.Time, name string) {
	v := m.vms[name]
	if v == nil {
		return
	}
	stopping := m.dcStop || m.stops[name]
	if v.stopping != stopping {
		v.stopping = stopping
		m.reevaluateVM(v, now)
	}
}
