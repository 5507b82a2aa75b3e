package replica

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

const (
	// demandWeight is the weight of the newest sample in the moving averages.
	demandWeight   = 0.2
	demandInterval = 250 * time.Millisecond
	// Between these values of a model's slot use, the share of spares falls
	// linearly from its configured value to zero in favour of more groups.
	fullSparesUse = 0.85
	noSparesUse   = 1.05
)

// demand tracks the fraction of each model's slots in use. It exceeds 1 while
// requests are waiting.
type demand struct {
	sampledAt time.Time
	use       map[string]float64
}

// sampleDemand updates the averages from the heads' reports.
func (p *Planner) sampleDemand(now time.Time) {
	d := &p.demand
	if !p.hasTraffic || now.Sub(d.sampledAt) < demandInterval {
		return
	}
	d.sampledAt = now
	p.sampleLoad(now)
	for i := range p.engine.Models {
		model := &p.engine.Models[i]
		requests, slots := p.slotUsage(model.Name)
		if slots == 0 {
			continue
		}
		use := float64(requests) / float64(slots)
		if _, known := d.use[model.Name]; !known {
			d.use[model.Name] = use
			continue
		}
		d.use[model.Name] += demandWeight * (use - d.use[model.Name])
	}
}

// slotUsage returns the number of requests at a model's serving groups and the
// number of requests that these groups can run at once.
func (p *Planner) slotUsage(model string) (requests, slots int) {
	for _, g := range p.groups {
		head := p.members[g.Members[0]]
		if g.Model == model && g.Phase == Serving && head != nil && head.Stage == fleet.Open && !p.evacuated[head.DataCentre] {
			requests += head.Running + head.Waiting
			slots += p.groupSlots(model)
		}
	}
	return requests, slots
}

// groupSlots returns the number of requests that a group of a model can run at
// once, within the objectives while shares follow the load.
func (p *Planner) groupSlots(name string) int {
	if model := p.engine.Model(name); p.load.follow && model != nil {
		return p.capacity(model)
	}
	return p.engine.Slots
}

// share returns the fraction of the work to plan for a model.
func (p *Planner) share(model *catalog.Model) float64 {
	if share, known := p.load.shares[model.Name]; known {
		return share
	}
	return p.configuredShare(model)
}

// configuredShare returns the fraction of the work that is configured for a model.
func (p *Planner) configuredShare(model *catalog.Model) float64 { return model.Share / p.totalShare() }

// totalShare returns the sum of the configured shares, or 1 if it isn't
// positive.
func (p *Planner) totalShare() float64 {
	sum := 0.0
	for _, m := range p.engine.Models {
		sum += m.Share
	}
	if sum <= 0 {
		return 1
	}
	return sum
}

// spareShare returns the fraction of VMs to keep out of groups. It shrinks
// while any model's slots are nearly or fully used.
func (p *Planner) spareShare() float64 {
	use := 0.0
	for _, u := range p.demand.use {
		use = max(use, u)
	}
	scale := (noSparesUse - use) / (noSparesUse - fullSparesUse)
	return p.opts.SpareShare * min(1, max(0, scale))
}
