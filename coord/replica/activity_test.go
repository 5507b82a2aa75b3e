package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Every listed VM is counted exactly once, including during failures.
func TestActivitiesCountEachListedVMOnce(t *testing.T) {
	w := newServingWorld(t)
	w.vms[w.head(small).members[0]].dead = true
	w.vms[w.head(large).members[1]].dead = true
	w.addVM(0)
	for range 100 {
		w.run(100 * time.Millisecond)
		listed, counted := 0, 0
		for _, vm := range w.table.All() {
			if vm.Listed {
				listed++
			}
		}
		for _, n := range w.p.Activities(w.now) {
			counted += n
		}
		assert.Equal(t, counted, listed)
	}
}

func TestActivitiesOfSpareLoadingAndAwayVMs(t *testing.T) {
	w := newServingWorld(t)
	assert.DeepEqual(t, w.p.Activities(w.now), map[Activity]int{ActivityServing: 36, ActivitySpare: 12})
	vm := w.addVM(0)
	w.run(time.Second)
	assert.Equal(t, w.p.Activities(w.now)[ActivityLoading], 1)
	vm.dead = true
	w.run(2 * time.Second)
	assert.Equal(t, w.p.Activities(w.now)[ActivityAway], 1)
}
