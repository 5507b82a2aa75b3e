package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// Guards against spares that load the weights from their hosts only once a
// member is lost: the group then stayed down for WarmTime longer.
func TestSpareReplacesLostMemberWithoutWarmUp(t *testing.T) {
	w := newServingWorld(t)
	head := w.head(large)
	group := head.state.Group
	w.vms[head.members[1]].dead = true
	forming := w.timeUntil(func() bool { return w.phaseOf(group) == Forming })
	assert.Assert(t, forming < 2*time.Second, "the loss was noticed after %s", forming)
	repair := w.timeUntil(func() bool { return w.phaseOf(group) == Serving })
	assert.Assert(t, repair < warmTime, "the group was formed again in %s", repair)
	assert.Equal(t, w.serving(large), 6)
}

// timeUntil runs the world until the condition holds, for at most 10 s, and
// returns how long that took.
func (w *world) timeUntil(done func() bool) time.Duration {
	start := w.now
	for !done() && w.now.Sub(start) < 10*time.Second {
		w.run(tick)
	}
	return w.now.Sub(start)
}

// phaseOf returns the phase of the newest formation of a group, or "".
func (w *world) phaseOf(name string) Phase {
	var newest *Group
	for _, g := range w.p.Groups() {
		if g.Name == name {
			newest = g
		}
	}
	if newest == nil {
		return ""
	}
	return newest.Phase
}

func TestStandbyGroupsNeverServe(t *testing.T) {
	w := newServingWorld(t)
	standby := 0
	for _, vm := range w.vms {
		if !vm.state.IsStandby() {
			continue
		}
		standby++
		assert.Equal(t, vm.state.Stage, fleet.Ready)
		assert.DeepEqual(t, vm.members, []string{vm.row.ID})
	}
	assert.Equal(t, standby, 12)
	for _, g := range w.p.Groups() {
		assert.Assert(t, len(g.Members) > 1, "group %s", g.Name)
	}
	assert.Equal(t, w.p.Activities(w.now)[ActivitySpare], 12)
}

// A new planner must not take the standby groups of an earlier one for the
// remains of broken groups.
func TestStandbyGroupsSurviveTakeover(t *testing.T) {
	w := newServingWorld(t)
	before := map[string]fleet.Membership{}
	for id, vm := range w.vms {
		if vm.state.IsStandby() {
			before[id] = vm.state.Membership
		}
	}
	w.takeover()
	w.run(5 * time.Second)
	for id, m := range before {
		assert.Equal(t, w.vms[id].state.Membership, m, id)
	}
	assert.Equal(t, w.p.Activities(w.now)[ActivitySpare], len(before))
}

// Guards against spares that are of no use to a model with a lasting deficit,
// since they hold the other model and their hosts have its weights.
func TestSparesGetWeightsOfModelWithDeficit(t *testing.T) {
	w := newServingWorld(t)
	w.run(time.Minute)
	domain := w.head(small).row.Domain
	for _, id := range w.ids {
		vm := w.vms[id]
		if vm.row.Domain != domain {
			continue
		}
		switch vm.state.Model {
		case small:
			vm.dead = true
		case large:
			vm.state.Staged = []string{large}
		}
	}
	for range 2 {
		vm := w.addVM(int(domain[2] - '0'))
		vm.state.Staged = []string{large}
		w.applyRow(vm)
	}
	w.run(silenceTimeout + restageDelay + loadTime + 2500*time.Millisecond)
	n := 0
	for _, id := range w.ids {
		if vm := w.vms[id]; vm.row.Domain == domain && !vm.dead && vm.state.Stage == fleet.Open && vm.state.Model == small {
			n++
		}
	}
	assert.Assert(t, n > 0, "no group of the small model in domain %s", domain)
}
