package replica

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a group that is taken apart, and its answers with it, because one of
// its VMs was silent for a second and then went on.
func TestSilenceOfSoundMemberEndsNoGroup(t *testing.T) {
	for rank := range 2 {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint("rank ", rank, " seed ", seed), func(t *testing.T) {
				w := newWorld(t, 1+seed, 3)
				w.run(8 * time.Second)
				w.startTraffic()
				w.run(30 * time.Second)
				head := w.head(large)
				formation := head.state.Formation()
				silent := w.vms[head.members[rank]]
				silent.unreachable = true
				w.run(1100 * time.Millisecond)
				silent.unreachable = false
				w.run(3 * time.Second)
				assert.Equal(t, head.state.Formation(), formation)
				assert.Equal(t, string(head.state.Stage), "open")
			})
		}
	}
}
