package replica

import "github.com/pimentoshore/pimentoshore/coord/catalog"

// stock counts, by fabric domain, a model's staged weights and the need for
// them.
type stock struct {
	// hosts counts the hosts that have the weights or are loading them,
	// required the VMs that the model's groups use.
	hosts, required map[string]int
}

// canSpare reports whether a VM's domain has enough weights of the model
// without those on the VM's host.
func (s *stock) canSpare(m *member, model *catalog.Model) bool {
	remaining := s.hosts[m.Domain]
	if m.hasOrLoads(model) {
		remaining--
	}
	return remaining >= s.required[m.Domain]
}

// hasOrLoads reports whether a VM's host has a model's weights, or is loading
// them, for use after a restart.
func (m *member) hasOrLoads(model *catalog.Model) bool {
	if m.isLeaving() || m.FailedProbes > 0 {
		return false
	}
	return m.loading == model.Name || m.loading == "" && m.HasStaged(model.Name)
}

// stockOf returns the stock of a model.
func (p *Planner) stockOf(model *catalog.Model) *stock {
	s := &stock{hosts: make(map[string]int), required: make(map[string]int)}
	for _, m := range p.members {
		if m.hasOrLoads(model) {
			s.hosts[m.Domain]++
		}
	}
	for _, g := range p.groups {
		head := p.members[g.Members[0]]
		if g.Model == model.Name && g.Phase != Dissolving && head != nil {
			s.required[head.Domain] += model.GroupSize
		}
	}
	return s
}
