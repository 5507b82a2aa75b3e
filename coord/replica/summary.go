package replica

import (
	"slices"
	"strings"
	"time"
)

// DomainSummary counts the VMs of a fabric domain by activity.
type DomainSummary struct {
	Domain string `json:"domain"`
	// Groups, Spare and Loading count by model: groups, free VMs with its
	// weights, and VMs that are loading it.
	Groups  map[string]int `json:"groups"`
	Spare   map[string]int `json:"spare"`
	Loading map[string]int `json:"loading"`
	// CoolingDown counts VMs that wait until the head of their last group must
	// have given up.
	CoolingDown int `json:"cooling_down"`
	// Empty counts VMs without weights, Away VMs that are silent or leaving.
	Empty int `json:"empty"`
	Away  int `json:"away"`
}

// Summary returns a summary of each fabric domain, sorted by name.
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
	case ActivityAway:
		d.Away++
	case ActivityServing, ActivityJoining, ActivityFinishing:
		if m.group.Members[0] == m.ID {
			d.Groups[m.group.Model]++
		}
	case ActivityCoolingDown:
		d.CoolingDown++
	case ActivityLoading:
		d.Loading[m.loading]++
	case ActivityEmpty:
		d.Empty++
	case ActivitySpare:
		d.Spare[m.nearestModel()]++
	}
}

// nearestModel returns the model whose weights a VM can use soonest: the one it
// holds, or else the first one staged on its host.
func (m *member) nearestModel() string {
	if m.LoadedModel != "" {
		return m.LoadedModel
	}
	return m.Staged[0]
}
