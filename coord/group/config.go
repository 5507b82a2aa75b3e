package group

import (
	"slices"
	"strings"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
)

// configure takes over an inventory. It costs one pass over the data centre.
func (m *Manager) configure(now time.Time, ev Configuration) {
	if ev.Number <= m.number && m.number != 0 {
		return
	}
	m.number = ev.Number
	m.dcOut = false
	for _, dc := range ev.Document.DataCentres {
		if dc.Name == m.opts.DataCentre {
			m.dcOut = dc.Out
		}
	}
	m.configureModels(ev.Document)
	m.configureVMs(now, ev.Document)
	m.markAll(now)
}

func (m *Manager) configureModels(doc *inventory.Document) {
	for _, s := range m.order {
		s.allowed = false
	}
	m.smallest = 0
	declared := make([]*modelState, 0, len(doc.Models))
	for i, model := range doc.Models {
		s := m.model(model.Name)
		s.Model = model
		s.position = i
		s.allowed = model.Allows(m.opts.DataCentre) && model.GroupSize > 0
		declared = append(declared, s)
		if s.allowed && (m.smallest == 0 || model.GroupSize < m.smallest) {
			m.smallest = model.GroupSize
		}
	}
	for _, s := range m.order {
		if !slices.Contains(declared, s) && len(s.groups) > 0 {
			s.position = len(declared)
			declared = append(declared, s)
		}
	}
	m.order = declared
}

// model returns the state of a model. One that is not in the inventory is
// allowed nowhere.
func (m *Manager) model(name string) *modelState {
	s := m.models[name]
	if s == nil {
		s = &modelState{Model: inventory.Model{Name: name}, position: len(m.order)}
		m.models[name] = s
		m.order = append(m.order, s)
	}
	return s
}

func (m *Manager) configureVMs(now time.Time, doc *inventory.Document) {
	kept := make(map[string]bool, len(m.vms))
	for i := range doc.VMs {
		declared := &doc.VMs[i]
		if declared.Role != inventory.RoleModel || declared.DataCentre != m.opts.DataCentre {
			continue
		}
		kept[declared.Name] = true
		m.configureVM(now, declared)
	}
	for _, v := range m.vmList {
		if !kept[v.name] {
			m.retire(v, now)
		}
	}
	m.vmList = m.vmList[:0]
	for _, v := range m.vms {
		m.vmList = append(m.vmList, v)
	}
	slices.SortFunc(m.vmList, byName)
}

func (m *Manager) configureVM(now time.Time, declared *inventory.VM) {
	v := m.vms[declared.Name]
	if v != nil && v.domain.name != declared.FabricDomain {
		m.retire(v, now)
		v = nil
	}
	if v == nil {
		v = m.addVM(declared)
	}
	v.checksFencing = declared.ChecksFencing
	v.out = declared.Out
}

func (m *Manager) addVM(declared *inventory.VM) *vm {
	d := m.domain(declared.FabricDomain)
	d.size++
	_, leaving := slices.BinarySearch(m.leaving, declared.Name)
	v := &vm{
		name:     declared.Name,
		domain:   d,
		leaving:  leaving,
		stopping: m.dcStop || m.stops[declared.Name],
	}
	m.vms[v.name] = v
	m.unseen++
	return v
}

func (m *Manager) domain(name string) *domain {
	d := m.domains[name]
	if d == nil {
		d = &domain{name: name}
		m.domains[name] = d
		m.domList = insertSorted(m.domList, d, byDomainName)
	}
	return d
}

// retire drops a VM that left the inventory. Its group keeps it until it is
// repaired.
func (m *Manager) retire(v *vm, now time.Time) {
	if v.present() {
		v.domain.present--
	}
	if v.fresh {
		m.ages.remove(v)
	}
	if !v.seen {
		m.unseen--
	}
	v.domain.size--
	v.fresh, v.gone = false, true
	delete(m.vms, v.name)
	m.touch(v, now)
	m.markGroup(v.group)
}

// markAll looks at everything once after a change of the configuration.
func (m *Manager) markAll(now time.Time) {
	for _, v := range m.vmList {
		m.touch(v, now)
		m.markVM(v)
	}
	for _, g := range m.groups {
		m.markGroup(g)
	}
	for _, d := range m.domList {
		m.touchRoomy(d)
		m.markDomain(d)
	}
	m.unbalanced = true
}

// leavingVMs takes over the platform's list of leaving VMs.
func (m *Manager) leavingVMs(now time.Time, ev LeavingVMs) {
	old := m.leaving
	m.leaving = slices.Clone(ev.Names)
	slices.SortFunc(m.leaving, strings.Compare)
	for _, name := range old {
		if _, still := slices.BinarySearch(m.leaving, name); !still {
			m.setLeaving(now, name, false)
		}
	}
	for _, name := range m.leaving {
		m.setLeaving(now, name, true)
	}
}

func (m *Manager) setLeaving(now time.Time, name string, leaving bool) {
	v := m.vms[name]
	if v == nil || v.leaving == leaving {
		return
	}
	v.leaving = leaving
	m.flagged(v, now)
}

// flagged looks again at a VM whose fitness changed.
func (m *Manager) flagged(v *vm, now time.Time) {
	m.touch(v, now)
	m.markVM(v)
	m.markGroup(v.group)
	m.markDomain(v.domain)
}
