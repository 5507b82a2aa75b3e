package replica

import (
	"math"
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// canLoad reports whether n more loads of a model may start for a join. Once
// requests have started, loads are slow, and only a model without any group
// justifies VMs that wait for one. For other models the weights are staged
// first.
func (p *Planner) canLoad(now time.Time, n int, model *catalog.Model) bool {
	if n == 0 || !p.hasTraffic {
		return true
	}
	return p.activeGroups(model.Name) == 0 && p.availableLoads(now) >= n
}

// availableLoads returns how many loads may start now. Loads before the first
// request are fast and unlimited.
func (p *Planner) availableLoads(now time.Time) int {
	if !p.hasTraffic {
		return len(p.members)
	}
	inProgress := 0
	for _, m := range p.members {
		if m.isLoading(now) {
			inProgress++
		}
	}
	window := p.opts.LoadWindow
	p.loadStarts = slices.DeleteFunc(p.loadStarts, func(t time.Time) bool { return now.Sub(t) > window })
	rateLeft := int(p.engine.LoadsPerSecond*window.Seconds()) - len(p.loadStarts)
	return min(p.engine.ConcurrentLoads-inProgress, rateLeft)
}

// isLoading reports whether a VM is loading weights, on an order of this
// planner or, judging by the VM's report, of an earlier one. If more loads run
// at once than the store can sustain, all of them slow down. A VM that doesn't
// answer is not counted, since it has most likely stopped.
func (m *member) isLoading(now time.Time) bool {
	switch {
	case m.isLeaving() || m.isSilent(now, silenceTimeout):
		return false
	case m.loading != "":
		return true
	case !m.Busy:
		return false
	case m.Stage == fleet.Joining:
		return !m.hasWeights()
	}
	return m.group == nil || m.group.Phase == Serving
}

// hasWeights reports whether the VM holds a model or its host has weights of
// one. A VM that joins a group does not report the group's model, but with
// weights it has most likely no need to load any.
func (m *member) hasWeights() bool { return m.LoadedModel != "" || len(m.Staged) > 0 }

func (p *Planner) startLoad(now time.Time, m *member, model string) {
	m.loading, m.loadSince = model, now
	if p.hasTraffic {
		p.loadStarts = append(p.loadStarts, now)
	}
}

// stage loads weights onto hosts. Free VMs get the model for which a
// replacement is most needed. VMs that hold one model in their accelerators
// also get another model's weights on their host, so that they can join groups
// of either.
func (p *Planner) stage(now time.Time) {
	if p.isStartingUp(now) || p.isAdopting(now) {
		return
	}
	domains := p.domains(now)
	p.stageFree(now, domains, func(m *member) bool { return m.LoadedModel == "" && len(m.Staged) == 0 })
	if p.canRestage(now) {
		p.stageFree(now, domains, p.mayRestage)
	}
	if p.load.follow {
		// A model that is short gets groups only from hosts that have its weights,
		// so staging them can't wait until no model is. VMs without weights come
		// first all the same.
		if p.hasTraffic && hasEmptyVM(domains) {
			return
		}
		for _, model := range p.modelsByCoverage() {
			p.stageSecondModel(now, model)
		}
		return
	}
	if p.hasTraffic && p.anyDeficit() {
		return // loads are scarce and needed for VMs without weights
	}
	for i := range p.engine.Models {
		p.stageSecondModel(now, &p.engine.Models[i])
	}
}

// hasEmptyVM reports whether a free VM has no weights.
func hasEmptyVM(domains []*domain) bool {
	for _, d := range domains {
		for _, m := range d.free {
			if !m.hasWeights() {
				return true
			}
		}
	}
	return false
}

// anyDeficit reports whether any model has fewer groups than its target.
func (p *Planner) anyDeficit() bool {
	for i := range p.engine.Models {
		if p.hasDeficit(&p.engine.Models[i]) {
			return true
		}
	}
	return false
}

// canRestage reports whether hosts that have weights may get others. The
// deficit must have lasted for restageDelay, since most deficits are resolved
// without a load.
func (p *Planner) canRestage(now time.Time) bool {
	if !p.anyDeficit() {
		p.deficitSince = now
	}
	return !p.hasTraffic || now.Sub(p.deficitSince) >= restageDelay
}

// restageDelay is how long a deficit must last before staged weights are
// replaced.
const restageDelay = 3 * time.Second

// mayRestage reports whether a free VM's host may get other weights than it has.
// VMs that hold the model of a group they were in keep theirs, so that the group
// can form again. Before the first request, standby VMs get a second model like
// the members of groups do.
func (p *Planner) mayRestage(m *member) bool {
	return len(m.Staged) > 0 && (m.LoadedModel == "" || p.hasTraffic && m.IsStandby())
}

// stageFree loads weights onto the hosts of matching free VMs.
func (p *Planner) stageFree(now time.Time, domains []*domain, match func(*member) bool) {
	for _, d := range domains {
		for _, m := range d.free {
			if !match(m) || m.loading != "" {
				continue
			}
			if model := p.modelToStage(d, m); model != "" && !p.stageOn(now, m, model) {
				return
			}
		}
	}
}

// stageSecondModel loads a model onto the hosts of VMs that hold a different
// one.
func (p *Planner) stageSecondModel(now time.Time, model *catalog.Model) {
	stocks := make(map[string]*stock)
	for _, vm := range p.table.All() {
		m := p.members[vm.ID]
		if m == nil || !p.shouldStageSecond(m, model, stocks) || m.FailedProbes > 0 || !m.canTakeOrder(now) || m.Stage == fleet.Joining {
			continue
		}
		if p.availableLoads(now) <= reservedLoads || !p.stageOn(now, m, model.Name) {
			return
		}
		if s := stocks[m.LoadedModel]; s != nil && m.HasStaged(m.LoadedModel) {
			s.hosts[m.Domain]--
		}
	}
}

// reservedLoads is the number of loads kept available for VMs without weights.
const reservedLoads = 2

// shouldStageSecond reports whether a VM's host should get a model in addition
// to the one that the VM holds, so that it can join groups of either. Hosts of
// a larger model's groups get a smaller one only while their domain keeps
// enough weights of the larger model to form its groups again after a restart,
// since only weights on hosts survive one. stocks caches the stock of larger
// models by name.
func (p *Planner) shouldStageSecond(m *member, model *catalog.Model, stocks map[string]*stock) bool {
	loaded := p.engine.Model(m.LoadedModel)
	if loaded == nil || loaded == model || loaded.GroupSize == model.GroupSize {
		return false
	}
	if m.loading != "" || m.isLeaving() || m.HasStaged(model.Name) || p.hasOtherStaged(m) {
		return false
	}
	if loaded.GroupSize < model.GroupSize {
		return true
	}
	if stocks[loaded.Name] == nil {
		stocks[loaded.Name] = p.stockOf(loaded)
	}
	return stocks[loaded.Name].canSpare(m, loaded)
}

// hasOtherStaged reports whether a VM's host has the weights of a model other
// than the one the VM holds.
func (p *Planner) hasOtherStaged(m *member) bool {
	for _, name := range m.Staged {
		if name != m.LoadedModel && p.engine.Model(name) != nil {
			return true
		}
	}
	return false
}

// stageOn orders a VM to load a model onto its host. It returns false if no
// load may start now.
func (p *Planner) stageOn(now time.Time, m *member, model string) bool {
	if p.availableLoads(now) <= 0 {
		return false
	}
	p.send(now, m, Order{Action: Stage, Model: model})
	p.startLoad(now, m, model)
	return true
}

// modelToStage returns the model to stage on a free VM, or "".
func (p *Planner) modelToStage(d *domain, m *member) string {
	best, bestScore := "", 0.0
	for i := range p.engine.Models {
		model := &p.engine.Models[i]
		score := p.stageScore(d, model, 0)
		if score > bestScore {
			best, bestScore = model.Name, score
		}
	}
	if best == "" || m.HasStaged(best) || m.LoadedModel == best {
		return ""
	}
	if len(m.Staged) > 0 && !p.canReplaceStaged(d, m, best, bestScore) {
		return ""
	}
	return best
}

// stagedDecayPower is the exponent with which the score of a model falls as more
// VMs have it staged.
const stagedDecayPower = 1.5

// restageFactor is the factor by which the score of new weights must exceed that
// of the weights they replace.
const restageFactor = 1.3

// stageScore rates how much a domain needs another VM with a model's staged
// weights. excluded is the number of VMs to leave out when counting those that
// the domain already has.
func (p *Planner) stageScore(d *domain, model *catalog.Model, excluded int) float64 {
	staged, available := -excluded, 0
	for _, m := range p.members {
		if m.Domain != d.name || m.group != nil || m.isLeaving() || m.FailedProbes > 0 {
			continue
		}
		available++
		if m.hasOrLoads(model) {
			staged++
		}
	}
	if available >= model.GroupSize && staged < model.GroupSize && p.hasDeficit(model) {
		return 2 + float64(staged)/float64(model.GroupSize)
	}
	exposed := float64(d.groups[model.Name] * model.GroupSize)
	return exposed / math.Pow(float64(1+max(0, staged)), stagedDecayPower) / 100
}

// canReplaceStaged reports whether a VM's staged weights are worth clearly less
// than those of the best model.
func (p *Planner) canReplaceStaged(d *domain, m *member, best string, bestScore float64) bool {
	for _, name := range m.Staged {
		model := p.engine.Model(name)
		if model == nil {
			continue
		}
		if name == best || restageFactor*p.stageScore(d, model, 1) >= bestScore {
			return false
		}
	}
	return true
}
