package coordinator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/replica"
)

// The more VMs there are whose reports must be fresh, the less often the holder
// probes each; VMs whose reports are awaited are probed as often as ever, and
// members of groups that serve seldom.
func TestProbesAreBounded(t *testing.T) {
	c := &Coordinator{opts: Options{ProbeEvery: 450 * time.Millisecond, FastEvery: 80 * time.Millisecond, MemberEvery: 3 * time.Second, ProbesPerSecond: 280}}
	for vms, every := range map[int]time.Duration{
		48: 450 * time.Millisecond, 224: 800 * time.Millisecond, 5000: probeMost,
	} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			all := map[string]replica.Attention{"awaited": replica.Urgent, "member": replica.Background}
			for i := range vms {
				all[fmt.Sprint("i-", i)] = replica.Regular
			}
			want := c.pace(all)
			assert.Equal(t, want["i-0"], every)
			assert.Equal(t, want["awaited"], 80*time.Millisecond)
			assert.Equal(t, want["member"], 3*time.Second)
			assert.Equal(t, len(want), vms+2)
		})
	}
}
