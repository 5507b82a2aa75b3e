package coordinator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The more VMs there are, the less often the holder probes each; VMs whose
// reports are awaited are probed as often as ever.
func TestProbesAreBounded(t *testing.T) {
	c := &Coordinator{opts: Options{ProbeEvery: 450 * time.Millisecond, FastEvery: 80 * time.Millisecond, ProbesPerSecond: 280}}
	for vms, every := range map[int]time.Duration{
		48: 450 * time.Millisecond, 224: 800 * time.Millisecond, 5000: probeMost,
	} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			var all []string
			for i := range vms {
				all = append(all, fmt.Sprint("i-", i))
			}
			want := c.pace(all, []string{"i-3"})
			assert.Equal(t, want["i-0"], every)
			assert.Equal(t, want["i-3"], 80*time.Millisecond)
			assert.Equal(t, len(want), vms)
		})
	}
}
