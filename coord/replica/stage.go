package replica

import (
	"math"
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// mayLoad reports whether n more loads of a model may begin for a join. Once
// requests come a load takes long, and only a model without any group is worth
// VMs that wait for it; others are staged first.
func (p *Planner) mayLoad(now time.Time, n int, model *catalog.Model) bool {
	if n == 0 || !p.traffic {
		return true
	}
	return p.running(model.Name) == 0 && p.loadRoom(now) >= n
}

// loadRoom returns how many loads may begin now. Loads before the first
// request are quick and not limited.
func (p *Planner) loadRoom(now time.Time) int {
	if !p.traffic {
		return len(p.members)
	}
	under := 0
	for _, m := range p.members {
		if m.loads(now) {
			under++
		}
	}
	window := p.opts.LoadWindow
	p.loads = slices.DeleteFunc(p.loads, func(t time.Time) bool { return now.Sub(t) > window })
	rate := int(p.engine.LoadsPerSecond*window.Seconds()) - len(p.loads)
	return min(p.engine.ConcurrentLoads-under, rate)
}

// loads reports whether a VM loads weights, by this planner's order or by that
// of an earlier one, which its report shows. Loads that run beside more others
// than the store bears take the longer, all of them.
func (m *member) loads(now time.Time) bool {
	switch {
	case m.loading != "":
		return true
	case !m.Busy || m.leaving() || m.silent(now, silentFor):
		return false
	case m.Stage == fleet.Joining:
		return joinCost(m, m.Model) == joinLoad
	}
	return m.group == nil || m.group.Phase == Serving
}

func (p *Planner) beginLoad(now time.Time, m *member, model string) {
	m.loading, m.loadSince = model, now
	if p.traffic {
		p.loads = append(p.loads, now)
	}
}

// stage loads weights onto hosts: onto free ones those whose next loss they
// would mend, and onto those of VMs that hold one model's weights in their
// accelerators another model's, so that they can be members of either.
func (p *Planner) stage(now time.Time) {
	if p.gathering(now) || p.adopting(now) {
		return
	}
	domains := p.domains(now)
	p.stageFree(now, domains, func(m *member) bool { return len(m.Staged) == 0 })
	if p.restageable(now) {
		p.stageFree(now, domains, func(m *member) bool { return len(m.Staged) > 0 })
	}
	if p.traffic && p.anyDeficit() {
		return // loads are few, and VMs without weights need them
	}
	for i := range p.engine.Models {
		p.stageOther(now, &p.engine.Models[i])
	}
}

// anyDeficit reports whether any model has fewer groups than it should.
func (p *Planner) anyDeficit() bool {
	for i := range p.engine.Models {
		if p.hasDeficit(&p.engine.Models[i]) {
			return true
		}
	}
	return false
}

// restageable reports whether hosts that have weights may get others: the lack
// of a group must have lasted, since most are mended without a load.
func (p *Planner) restageable(now time.Time) bool {
	if !p.anyDeficit() {
		p.deficitSince = now
	}
	return !p.traffic || now.Sub(p.deficitSince) >= restageAfter
}

// restageAfter is how long a deficit must last.
const restageAfter = 3 * time.Second

// stageFree loads weights onto those free hosts that match and whose VMs hold
// none.
func (p *Planner) stageFree(now time.Time, domains []*domain, match func(*member) bool) {
	for _, d := range domains {
		for _, m := range d.free {
			if m.LoadedModel != "" || !match(m) || m.loading != "" {
				continue
			}
			if model := p.stageChoice(d, m); model != "" && !p.stageOn(now, m, model) {
				return
			}
		}
	}
}

// stageOther loads a model onto the hosts of VMs that hold another one.
func (p *Planner) stageOther(now time.Time, model *catalog.Model) {
	stocks := make(map[string]*stock)
	for _, vm := range p.table.All() {
		m := p.members[vm.ID]
		if m == nil || !p.mayHoldToo(m, model, stocks) || m.FailedProbes > 0 || !m.idle(now) || m.Stage == fleet.Joining {
			continue
		}
		if p.loadRoom(now) <= loadsForFree || !p.stageOn(now, m, model.Name) {
			return
		}
		if s := stocks[m.LoadedModel]; s != nil && m.HasStaged(m.LoadedModel) {
			s.kept[m.Domain]--
		}
	}
}

// loadsForFree is the number of loads that are kept for VMs without weights.
const loadsForFree = 2

// mayHoldToo reports whether a VM's host should get a model beside the one that
// the VM holds, so that it can be a member of either. Hosts of a larger model's
// groups get a smaller one only while their domain keeps enough weights of the
// larger one to form its groups anew after a restart, which only hosts survive.
// stocks holds what domains keep of the larger models.
func (p *Planner) mayHoldToo(m *member, model *catalog.Model, stocks map[string]*stock) bool {
	held := p.engine.Model(m.LoadedModel)
	if held == nil || held == model || held.GroupSize == model.GroupSize {
		return false
	}
	if m.loading != "" || m.leaving() || m.HasStaged(model.Name) || p.keepsOther(m) {
		return false
	}
	if held.GroupSize < model.GroupSize {
		return true
	}
	if stocks[held.Name] == nil {
		stocks[held.Name] = p.stock(held)
	}
	return stocks[held.Name].spares(m, held)
}

// keepsOther reports whether a VM's host has weights of a model that the VM
// does not hold.
func (p *Planner) keepsOther(m *member) bool {
	for _, name := range m.Staged {
		if name != m.LoadedModel && p.engine.Model(name) != nil {
			return true
		}
	}
	return false
}

// stageOn loads a model onto a VM's host. It returns false if no load may
// begin now.
func (p *Planner) stageOn(now time.Time, m *member, model string) bool {
	if p.loadRoom(now) <= 0 {
		return false
	}
	p.send(now, m, Order{Action: Stage, Model: model})
	p.beginLoad(now, m, model)
	return true
}

// stageChoice returns the model to stage on a free VM, or "".
func (p *Planner) stageChoice(d *domain, m *member) string {
	best, bestScore := "", 0.0
	for i := range p.engine.Models {
		model := &p.engine.Models[i]
		score := p.stageScore(d, model, 0)
		if score > bestScore {
			best, bestScore = model.Name, score
		}
	}
	if best == "" || m.HasStaged(best) {
		return ""
	}
	if len(m.Staged) > 0 && !p.redundant(d, m, best, bestScore) {
		return ""
	}
	return best
}

// stagedPower is how fast the worth of further staged VMs falls.
const stagedPower = 1.5

// restageFactor is how much more other weights have to be worth than those that
// a VM gives up for them.
const restageFactor = 1.3

// stageScore tells how much a domain needs a staged VM of a model, beyond those
// that it has, less some.
func (p *Planner) stageScore(d *domain, model *catalog.Model, less int) float64 {
	staged, room := -less, 0
	for _, m := range p.members {
		if m.Domain != d.name || m.group != nil || m.leaving() || m.FailedProbes > 0 {
			continue
		}
		room++
		if m.keeps(model) {
			staged++
		}
	}
	if room >= model.GroupSize && staged < model.GroupSize && p.hasDeficit(model) {
		return 2 + float64(staged)/float64(model.GroupSize)
	}
	exposed := float64(d.groups[model.Name] * model.GroupSize)
	return exposed / math.Pow(float64(1+max(0, staged)), stagedPower) / 100
}

// redundant reports whether a VM's staged weights are worth clearly less than
// those of another model.
func (p *Planner) redundant(d *domain, m *member, best string, bestScore float64) bool {
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
