package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// Guards against loads that wait although the store has capacity: a VM does not
// report the model that it joins, and every joining VM was counted as loading.
func TestJoinsFromHeldWeightsAreNoLoads(t *testing.T) {
	w := newServingWorld(t)
	w.run(time.Minute)
	all := w.p.availableLoads(w.now)
	head := w.head(large)
	w.vms[head.members[1]].dead = true
	group := head.state.Group
	w.timeUntil(func() bool { return w.phaseOf(group) == Forming })
	w.run(2 * tick)
	assert.Equal(t, w.vms[head.members[2]].state.Stage, fleet.Joining)
	assert.Equal(t, w.p.availableLoads(w.now), all)
}

// Guards against VMs that were lost while they loaded and kept others from
// loading.
func TestLostVMsAreNotLoading(t *testing.T) {
	w := newServingWorld(t)
	w.run(time.Minute)
	all := w.p.availableLoads(w.now)
	vm := w.addVM(0)
	w.timeUntil(func() bool { return vm.staging != "" })
	assert.Equal(t, w.p.availableLoads(w.now), all-1)
	vm.dead = true
	w.run(2 * time.Second)
	assert.Equal(t, w.p.availableLoads(w.now), all)
}

// A takeover while a group forms must not send its members away, although none
// of them reports the model yet.
func TestTakeoverAdoptsJoiningGroup(t *testing.T) {
	w := newServingWorld(t)
	head := w.head(small)
	group := head.state.Group
	w.vms[head.members[1]].dead = true
	w.timeUntil(func() bool { return w.phaseOf(group) == Forming })
	joining := 0
	for _, id := range w.ids {
		vm := w.vms[id]
		if vm.state.Group == group && !vm.dead {
			vm.readyAt = w.now.Add(2 * time.Second)
			joining++
		}
	}
	assert.Equal(t, joining, 2)
	w.takeover()
	w.run(1500 * time.Millisecond)
	for _, id := range w.ids {
		if vm := w.vms[id]; vm.state.Group == group && !vm.dead {
			joining--
		}
	}
	assert.Equal(t, joining, 0, "members have left the group")
	w.run(3 * time.Second)
	w.requireServing(group)
}
