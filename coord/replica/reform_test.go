package replica

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// Guards against groups that are dissolved for a remnant: after a takeover, two
// survivors of a group of eight cost three whole groups of the other model.
func TestRemnantsTakeNoVMsFromOtherGroups(t *testing.T) {
	for _, test := range []struct {
		lost     int
		dissolve bool
	}{{1, true}, {2, true}, {3, false}} {
		w := newWorldOfSize(t, 1, 3, 2*domainVMs)
		w.run(8 * time.Second)
		w.startTraffic()
		w.run(time.Minute) // hosts of small groups get the large model's weights
		head := w.head(large)
		group := head.state.Group
		for _, vm := range w.vms {
			if vm.isSpare() && vm.row.Domain == head.row.Domain {
				vm.dead = true
			}
		}
		w.killOtherGroups(large, 2)
		w.run(3 * time.Second)
		for _, id := range head.members[4-test.lost:] {
			w.vms[id].dead = true
			for range minSilentProbes {
				w.table.RecordProbeFailure(w.now, id)
			}
		}
		w.now = w.now.Add(silenceTimeout) // all losses become certain at once
		dissolved := false
		w.timeUntil(func() bool {
			for _, g := range w.p.groups {
				dissolved = dissolved || g.For == group
			}
			return dissolved
		})
		assert.Equal(t, dissolved, test.dissolve, "%d VMs lost", test.lost)
	}
}

// killOtherGroups kills all members of the last n serving groups of a model.
func (w *world) killOtherGroups(model string, n int) {
	for _, id := range slices.Backward(w.ids) {
		vm := w.vms[id]
		if n == 0 || vm.dead || vm.state.Stage != fleet.Open || vm.state.Model != model {
			continue
		}
		for _, member := range vm.members {
			w.vms[member].dead = true
		}
		n--
	}
}
