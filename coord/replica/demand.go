package replica

import (
	"maps"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

const (
	// demandWeight is the weight of the newest sample in the running means.
	demandWeight = 0.2
	demandEvery  = 250 * time.Millisecond
	// busyFrom and busyTo are the use of a model's places between which
	// spares are given up for more groups.
	busyFrom = 0.85
	busyTo   = 1.05
)

// demand follows how much of the models' places is in use, 0 to 1 and more
// where requests wait.
type demand struct {
	sampledAt time.Time
	use       map[string]float64
}

// sampleDemand takes in what the heads report.
func (p *Planner) sampleDemand(now time.Time) {
	d := &p.demand
	if !p.traffic || now.Sub(d.sampledAt) < demandEvery {
		return
	}
	d.sampledAt = now
	for i := range p.engine.Models {
		model := &p.engine.Models[i]
		requests, places := p.places(model.Name)
		if places == 0 {
			continue
		}
		use := float64(requests) / float64(places)
		if _, known := d.use[model.Name]; !known {
			d.use[model.Name] = use
			continue
		}
		d.use[model.Name] += demandWeight * (use - d.use[model.Name])
	}
}

// places returns the requests at a model's serving groups and what they take
// at once.
func (p *Planner) places(model string) (requests, places int) {
	for _, g := range p.groups {
		head := p.members[g.Members[0]]
		if g.Model == model && g.Phase == Serving && head != nil && head.Stage == fleet.Open && !p.evacuated[head.DataCentre] {
			requests += head.Running + head.Waiting
			places += p.engine.Slots
		}
	}
	return requests, places
}

// share returns a model's part of the work.
func (p *Planner) share(model *catalog.Model) float64 { return model.Share / p.shares() }

// shares returns the sum of the configured shares.
func (p *Planner) shares() float64 {
	sum := 0.0
	for _, m := range p.engine.Models {
		sum += m.Share
	}
	if sum <= 0 {
		return 1
	}
	return sum
}

// spareShare returns the part of the VMs to keep out of groups: less while
// some model's places are used up.
func (p *Planner) spareShare() float64 {
	use := 0.0
	for _, u := range p.demand.use {
		use = max(use, u)
	}
	free := (busyTo - use) / (busyTo - busyFrom)
	return p.opts.SpareShare * min(1, max(0, free))
}

// SlotUse returns the part of each model's places in use.
func (p *Planner) SlotUse() map[string]float64 { return maps.Clone(p.demand.use) }
