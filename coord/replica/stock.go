package replica

import "github.com/pimentoshore/pimentoshore/coord/catalog"

// stock is what fabric domains keep of a model, by name.
type stock struct {
	// kept is how many hosts have its weights or load them, used how many VMs
	// its groups take.
	kept, used map[string]int
}

// spares reports whether a VM's domain has enough of a model without its host.
func (s *stock) spares(m *member, model *catalog.Model) bool {
	kept := s.kept[m.Domain]
	if m.keeps(model) {
		kept--
	}
	return kept >= s.used[m.Domain]
}

// keeps reports whether a VM's host has a model's weights for a restart, or will.
func (m *member) keeps(model *catalog.Model) bool {
	if m.leaving() || m.FailedProbes > 0 {
		return false
	}
	return m.loading == model.Name || m.loading == "" && m.HasStaged(model.Name)
}

// stock counts what the domains keep of a model.
func (p *Planner) stock(model *catalog.Model) *stock {
	s := &stock{kept: make(map[string]int), used: make(map[string]int)}
	for _, m := range p.members {
		if m.keeps(model) {
			s.kept[m.Domain]++
		}
	}
	for _, g := range p.groups {
		head := p.members[g.Members[0]]
		if g.Model == model.Name && g.Phase != Dissolving && head != nil {
			s.used[head.Domain] += model.GroupSize
		}
	}
	return s
}
