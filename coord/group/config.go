package group

import (
	"slices"
	"strings"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
)

// configure applies a new inventory. It costs one pass over the data centre.
func (m *Manager) configure(now time.Time, ev Configuration) {
	if ev.Number <= m.configNumber && m.configNumber != 0 {
		return
	}
	first := m.configNumber == 0
	m.configNumber = ev.Number
	m.dcOut = false
	for _, dc := range ev.Document.DataCentres {
		if dc.Name == m.opts.DataCentre {
			m.dcOut = dc.Out
		}
	}
	m.configureModels(ev.Document)
	m.configureVMs(now, ev.Document)
	if first && m.stage == stageReconciling {
		m.awaitReports(now)
	}
	m.markAll(now)
}

func (m *Manager) configureModels(doc *inventory.Document) {
	for _, s := range m.modelList {
		s.allowed = false
	}
	m.smallestGroupSize = 0
	declared := make([]*modelState, 0, len(doc.Models))
	for i, model := range doc.Models {
		s := m.getOrAddModel(model.Name)
		s.Model = model
		s.position = i
		s.allowed = model.Allows(m.opts.DataCentre) && model.GroupSize > 0
		declared = append(declared, s)
		if s.allowed && (m.smallestGroupSize == 0 || model.GroupSize < m.smallestGroupSize) {
			m.smallestGroupSize = model.GroupSize
		}
	}
	for _, s := range m.modelList {
		if !slices.Contains(declared, s) && len(s.groups) > 0 {
			s.position = len(declared)
			declared = append(declared, s)
		}
	}
	m.modelList = declared
}

// getOrAddModel returns the state of a model and adds it if necessary. A model
// that is not in the inventory is not allowed anywhere.
func (m *Manager) getOrAddModel(name string) *modelState {
	s := m.models[name]
	if s == nil {
		s = &modelState{Model: inventory.Model{Name: name}, position: len(m.modelList)}
		m.models[name] = s
		m.modelList = append(m.modelList, s)
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
			m.removeVM(v, now)
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
		m.removeVM(v, now)
		v = nil
	}
	if v == nil {
		v = m.addVM(declared)
	}
	v.checksFencing = declared.ChecksFencing
	v.out = declared.Out
}

func (m *Manager) addVM(declared *inventory.VM) *vm {
	d := m.getOrAddDomain(declared.FabricDomain)
	d.size++
	_, leaving := slices.BinarySearch(m.leaving, declared.Name)
	v := &vm{
		name:     declared.Name,
		domain:   d,
		leaving:  leaving,
		stopping: m.dcStop || m.stops[declared.Name],
	}
	m.vms[v.name] = v
	m.unreported++
	return v
}

func (m *Manager) getOrAddDomain(name string) *domain {
	d := m.domains[name]
	if d == nil {
		d = &domain{name: name}
		m.domains[name] = d
		m.domList = insertSorted(m.domList, d, byDomainName)
	}
	return d
}

// removeVM removes a VM that left the inventory. It remains a member of its
// group until the group is repaired.
func (m *Manager) removeVM(v *vm, now time.Time) {
	if v.isPresent() {
		v.domain.present--
	}
	if v.fresh {
		m.ages.remove(v)
	}
	if !v.reported {
		m.unreported--
	}
	v.domain.size--
	v.fresh, v.removed = false, true
	delete(m.vms, v.name)
	m.updateDerived(v, now)
	m.markGroup(v.group)
}

// markAll schedules every VM, group and domain for reevaluation after a change
// of the configuration.
func (m *Manager) markAll(now time.Time) {
	for _, v := range m.vmList {
		m.updateDerived(v, now)
		m.markVM(v)
	}
	for _, g := range m.groups {
		m.markGroup(g)
	}
	for _, d := range m.domList {
		m.updateCandidate(d)
		m.markDomain(d)
	}
	m.unbalanced = true
}

// setLeavingVMs replaces the list of VMs that the platform is about to take
// away.
func (m *Manager) setLeavingVMs(now time.Time, ev LeavingVMs) {
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
	m.reevaluateVM(v, now)
}

// reevaluateVM updates the state derived from a VM whose eligibility may have
// changed, and schedules the VM, its group and its domain for reevaluation.
func (m *Manager) reevaluateVM(v *vm, now time.Time) {
	m.updateDerived(v, now)
	m.markVM(v)
	m.markGroup(v.group)
	m.markDomain(v.domain)
}
