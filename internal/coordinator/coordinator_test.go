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
	c := &Coordinator{opts: Options{ProbeEvery: 450 * time.Millisecond, FastEvery: 80 * time.Millisecond, MemberEvery: 1500 * time.Millisecond, ProbesPerSecond: 280}}
	for vms, want := range map[int]struct{ regular, member time.Duration }{
		48:   {450 * time.Millisecond, 1500 * time.Millisecond},
		558:  {probeMost, 2 * time.Second},
		5000: {probeMost, 3 * time.Second},
	} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			all := map[string]replica.ProbePriority{"awaited": replica.Urgent, "member": replica.Background}
			for i := range vms {
				all[fmt.Sprint("i-", i)] = replica.Regular
			}
			got := c.pace(all)
			assert.Equal(t, got["i-0"], want.regular)
			assert.Equal(t, got["member"], want.member)
			assert.Equal(t, got["awaited"], 80*time.Millisecond)
			assert.Equal(t, len(got), vms+2)
		})
	}
}
