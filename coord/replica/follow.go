package replica

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/engineload"
)

const (
	// meanWindow is the window of the mean of a model's load. It spans two or
	// three reports of each head.
	meanWindow = 2 * time.Second
	// peakWindow is the window of the highest mean. It is longer than the period
	// of 15 s with which demand may swing, and than the 14 s for which it may
	// shift to another model.
	peakWindow = 20 * time.Second
	// minLoadAge is how long a planner must have seen load before it changes the
	// model of a group.
	minLoadAge = 3 * time.Second
	// fullLoadAge is when the peaks that a new planner has seen are taken to be
	// complete: 12 s of a swing with a period of 15 s include at least 0.93 of its
	// peak. Until then the load is assumed to be able to rise by swingFactor, that
	// of a swing by 55% from its lowest to its highest point.
	fullLoadAge = 12 * time.Second
	swingFactor = 1.55 / 0.45
	// minShareFactor is the fraction of its configured share that a model always
	// keeps.
	minShareFactor = 0.25
	// Between these fractions of the fleet's capacity, the shares go from the
	// configured ones to those by load.
	calmUse = 0.10
	busyUse = 0.30
	// minCapacityFactor bounds the capacity of a group, as a fraction of its slots.
	// Where an objective can't be met at all, the predicted capacity is 1, and all
	// models would always appear full.
	minCapacityFactor = 0.25
	// shortUse is the fraction of a model's capacity from which on it may get
	// groups of another one. Below it, requests find free capacity anyway, and
	// closing a group would cost more than it gains.
	shortUse = 0.60
	// fullUse is the fraction from which on a model's demand may exceed its load,
	// because callers are refused.
	fullUse = 0.95
	// reportedShareChange is the change of a share from which on it is reported.
	reportedShareChange = 0.05
)

// loadSample is the number of requests at a model's groups at a time.
type loadSample struct {
	at       time.Time
	requests float64
}

// loadHistory holds the recent load of a model.
type loadHistory struct {
	samples []loadSample // within meanWindow
	means   []loadSample // means over meanWindow, within peakWindow
}

// add appends a sample and removes those that are too old.
func (h *loadHistory) add(now time.Time, requests float64) {
	h.samples = appendRecent(h.samples, loadSample{now, requests}, meanWindow)
	sum := 0.0
	for _, s := range h.samples {
		sum += s.requests
	}
	h.means = appendRecent(h.means, loadSample{now, sum / float64(len(h.samples))}, peakWindow)
}

func appendRecent(samples []loadSample, s loadSample, window time.Duration) []loadSample {
	samples = slices.DeleteFunc(samples, func(old loadSample) bool { return s.at.Sub(old.at) > window })
	return append(samples, s)
}

// mean returns the mean load over meanWindow.
func (h *loadHistory) mean() float64 {
	if h == nil || len(h.means) == 0 {
		return 0
	}
	return h.means[len(h.means)-1].requests
}

// peak returns the highest mean within peakWindow.
func (h *loadHistory) peak() float64 {
	if h == nil {
		return 0
	}
	peak := 0.0
	for _, s := range h.means {
		peak = max(peak, s.requests)
	}
	return peak
}

// ModelShare is a model's share of the work and the inputs from which it follows.
type ModelShare struct {
	Model string `json:"model"`
	// Configured is the share by configuration, Before the share that was last
	// reported.
	Configured float64 `json:"configured"`
	Before     float64 `json:"before"`
	Share      float64 `json:"share"`
	// Load is the mean number of requests that run and wait, Peak its highest
	// value.
	Load float64 `json:"load"`
	Peak float64 `json:"peak"`
	// Groups is the number of groups that serve or are about to, Capacity the
	// number of requests that each of them can serve.
	Groups   int `json:"groups"`
	Capacity int `json:"capacity"`
	// ReportAge is the age of the oldest report of a serving group's head.
	ReportAge time.Duration `json:"report_age"`
}

// shareState is the planner's state for shares that follow the load.
type shareState struct {
	follow bool
	// capacities holds the capacity of a group by model, where known.
	capacities map[string]int
	history    map[string]*loadHistory
	// seenAt is when load was first seen, or zero.
	seenAt time.Time
	// shares holds the shares by model. It is empty while they are the configured
	// ones.
	shares map[string]float64
	// triedAt is when groups to move were last looked for.
	triedAt  time.Time
	reported map[string]float64
	changes  []ModelShare
}

// SetFollowDemand sets whether the shares of the models follow their load. Without
// it they are the configured ones.
func (p *Planner) SetFollowDemand(follow bool) {
	if follow != p.load.follow {
		p.load = shareState{follow: follow, history: make(map[string]*loadHistory)}
	}
}

// SetWorkloads sets the mean requests of each model with the objectives of the
// routes, one per route. They determine the capacity of the model's groups.
func (p *Planner) SetWorkloads(workloads map[string][]engineload.Workload) {
	p.workloads = workloads
}

// capacity returns the number of requests that one group of a model can serve
// within the objectives.
func (p *Planner) capacity(m *catalog.Model) int {
	if c, known := p.load.capacities[m.Name]; known {
		return c
	}
	return p.engine.Slots
}

// updateCapacities predicts the capacities: the mean over the routes, whose parts
// in the load the planner doesn't know.
func (p *Planner) updateCapacities() {
	p.load.capacities = make(map[string]int, len(p.engine.Models))
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		sum, n := 0, 0
		for _, w := range p.workloads[m.Name] {
			sum += engineload.Capacity(p.engine, m, w)
			n++
		}
		if n > 0 {
			least := int(math.Ceil(minCapacityFactor * float64(p.engine.Slots)))
			p.load.capacities[m.Name] = max(1, least, sum/n)
		}
	}
}

// sampleLoad records the load of the models and updates their shares.
func (p *Planner) sampleLoad(now time.Time) {
	s := &p.load
	if !s.follow {
		return
	}
	p.updateCapacities()
	for i := range p.engine.Models {
		model := &p.engine.Models[i]
		requests, slots := p.slotUsage(model.Name)
		if requests > 0 && s.seenAt.IsZero() {
			s.seenAt = now
		}
		if s.seenAt.IsZero() || slots == 0 && s.history[model.Name] == nil {
			continue
		}
		h := s.history[model.Name]
		if h == nil {
			h = &loadHistory{}
			s.history[model.Name] = h
		}
		h.add(now, float64(requests))
	}
	if p.hasSeenLoad(now) {
		s.shares = p.sharesByLoad(nil)
	}
	p.reportShares(now)
}

// hasSeenLoad reports whether load has been seen for minLoadAge.
func (p *Planner) hasSeenLoad(now time.Time) bool {
	return !p.load.seenAt.IsZero() && now.Sub(p.load.seenAt) >= minLoadAge
}

// sharesByLoad returns the models' shares of the VMs that their peak loads need.
// For the receiver, if it isn't nil, the mean load counts instead: a model may
// keep groups for its last peak, but not get any for a peak that has passed.
func (p *Planner) sharesByLoad(receiver *catalog.Model) map[string]float64 {
	needs := make(map[string]float64, len(p.engine.Models))
	total := 0.0
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		h := p.load.history[m.Name]
		requests := h.peak()
		if m == receiver {
			requests = h.mean()
		}
		needs[m.Name] = p.neededVMs(m, requests)
		total += needs[m.Name]
	}
	shares := make(map[string]float64, len(needs))
	weight := p.loadWeight()
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		configured := p.configuredShare(m)
		shares[m.Name] = configured
		if total > 0 {
			shares[m.Name] += weight * (needs[m.Name]/total - configured)
		}
		// Callers may be refused, so the load doesn't show the whole demand.
		if m == receiver && p.use(m) >= fullUse {
			shares[m.Name] = max(shares[m.Name], configured)
		}
	}
	p.raiseToMinimum(shares)
	return shares
}

// neededVMs returns the number of VMs whose groups can serve a number of requests
// of a model.
func (p *Planner) neededVMs(m *catalog.Model, requests float64) float64 {
	return requests * float64(m.GroupSize) / float64(max(1, p.capacity(m)))
}

// loadWeight returns the weight of the load in the shares, from 0 while there is
// hardly any load to 1. It is based on the peaks, so that it doesn't swing with
// the demand.
func (p *Planner) loadWeight() float64 {
	needed, vms := 0.0, 0
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		needed += p.neededVMs(m, p.load.history[m.Name].peak())
		vms += p.activeGroups(m.Name) * m.GroupSize
	}
	if vms == 0 {
		return 0
	}
	use := needed / float64(vms)
	return min(1, max(0, (use-calmUse)/(busyUse-calmUse)))
}

// raiseToMinimum raises shares below minShareFactor of the configured ones, and
// reduces the others so that the sum is 1.
func (p *Planner) raiseToMinimum(shares map[string]float64) {
	sum, above := 0.0, 0.0
	minimum := make(map[string]float64, len(shares))
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		minimum[m.Name] = minShareFactor * p.configuredShare(m)
		shares[m.Name] = max(shares[m.Name], minimum[m.Name])
		sum += shares[m.Name]
		above += shares[m.Name] - minimum[m.Name]
	}
	if above <= 0 {
		return
	}
	for name, share := range shares {
		shares[name] = share - (sum-1)*(share-minimum[name])/above
	}
}

// use returns a model's mean load as a fraction of the capacity of its serving
// groups.
func (p *Planner) use(m *catalog.Model) float64 {
	_, slots := p.slotUsage(m.Name)
	if slots == 0 {
		return 0
	}
	return p.load.history[m.Name].mean() / float64(slots)
}

// reportShares records the shares if one of them has changed by more than
// reportedShareChange since the last report.
func (p *Planner) reportShares(now time.Time) {
	s := &p.load
	changed := false
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		changed = changed || math.Abs(p.share(m)-p.reportedShare(m)) > reportedShareChange
	}
	if !changed {
		return
	}
	s.changes = nil
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		h := s.history[m.Name]
		s.changes = append(s.changes, ModelShare{
			Model: m.Name, Configured: p.configuredShare(m), Before: p.reportedShare(m), Share: p.share(m), Load: h.mean(), Peak: h.peak(),
			Groups: p.activeGroups(m.Name), Capacity: p.capacity(m), ReportAge: p.oldestHeadReport(now, m.Name),
		})
	}
	s.reported = p.Shares()
}

// reportedShare returns the share that was last reported for a model, at first the
// configured one.
func (p *Planner) reportedShare(m *catalog.Model) float64 {
	if share, known := p.load.reported[m.Name]; known {
		return share
	}
	return p.configuredShare(m)
}

// oldestHeadReport returns the age of the oldest report of the heads of a model's
// serving groups.
func (p *Planner) oldestHeadReport(now time.Time, model string) time.Duration {
	var oldest time.Duration
	for _, g := range p.groups {
		if head := p.members[g.Members[0]]; g.Model == model && g.Phase == Serving && head != nil && !head.ReportedAt.IsZero() {
			oldest = max(oldest, now.Sub(head.ReportedAt))
		}
	}
	return oldest
}

// TakeShareChange returns the shares if they have changed by more than
// reportedShareChange since they were last returned, else nil.
func (p *Planner) TakeShareChange() []ModelShare {
	changes := p.load.changes
	p.load.changes = nil
	return changes
}

// Shares returns the share of the work of each model for which the planner plans.
func (p *Planner) Shares() map[string]float64 {
	shares := make(map[string]float64)
	if p.engine == nil {
		return shares
	}
	for i := range p.engine.Models {
		shares[p.engine.Models[i].Name] = p.share(&p.engine.Models[i])
	}
	return shares
}

// LoadAge returns how long the planner has seen load.
func (p *Planner) LoadAge(now time.Time) time.Duration {
	if p.load.seenAt.IsZero() {
		return 0
	}
	return now.Sub(p.load.seenAt)
}

// SlotUse returns the fraction of each model's slots in use, or of its capacity
// while shares follow the load.
func (p *Planner) SlotUse() map[string]float64 { return maps.Clone(p.demand.use) }
