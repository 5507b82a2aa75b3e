package replica

import (
	"slices"
	"strings"
	"time"
)

// DomainSummary counts the VMs of a fabric domain by what they are doing.
type DomainSummary struct {
	Domain string `json:"domain"`
	// Groups, Spare and Loading count by model: groups, free VMs that hold
	// its weights, and VMs that load it.
	Groups  map[string]int `json:"groups"`
	Spare   map[string]int `json:"spare"`
	Loading map[string]int `json:"loading"`
	// CoolingDown VMs wait until the head of their last group has given up.
	CoolingDown int `json:"cooling_down"`
	// Empty VMs hold no weights; Away are silent or leaving.
	Empty int `json:"empty"`
	Away  int `json:"away"`
}

// Summary describes the fabric domains, by name.
func (p *Planner) Summary(now time.Time) []DomainSummary {
	byName := make(map[string]*DomainSummary)
	for _, vm := range p.table.All() {
		m := p.members[vm.ID]
		if m == nil {
			continue
		}
		d := byName[m.Domain]
		if d == nil {
			d = &DomainSummary{Domain: m.Domain, Groups: map[string]int{}, Spare: map[string]int{}, Loading: map[string]int{}}
			byName[m.Domain] = d
		}
		d.count(now, m)
	}
	out := make([]DomainSummary, 0, len(byName))
	for _, d := range byName {
		out = append(out, *d)
	}
	slices.SortFunc(out, func(a, b DomainSummary) int { return strings.Compare(a.Domain, b.Domain) })
	return out
}

func (d *DomainSummary) count(now time.Time, m *member) {
	switch m.activity(now) {
	case IsAway:
		d.Away++
	case Serves, Joins, Finishes:
		if m.group.Members[0] == m.ID {
			d.Groups[m.group.Model]++
		}
	case CoolsDown:
		d.CoolingDown++
	case Loads:
		d.Loading[m.loading]++
	case HasNoWeights:
		d.Empty++
	case IsSpare:
		d.Spare[m.weights()]++
	}
}

// weights names the model whose weights a VM has nearest.
func (m *member) weights() string {
	if m.LoadedModel != "" {
		return m.LoadedModel
	}
	return m.Staged[0]
}
