package coordinator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/replica"
)

// The probe interval grows with the number of VMs that need fresh reports. Urgent
// probes keep their interval, and members of serving groups have the longest.
func TestProbeRateIsBounded(t *testing.T) {
	c := &Coordinator{opts: Options{ProbeInterval: 450 * time.Millisecond, FastProbeInterval: 80 * time.Millisecond, MemberProbeInterval: 1500 * time.Millisecond, ProbesPerSecond: 280}}
	for vms, want := range map[int]struct{ regular, member time.Duration }{
		48:   {450 * time.Millisecond, 1500 * time.Millisecond},
		558:  {maxProbeInterval, 2 * time.Second},
		5000: {maxProbeInterval, 3 * time.Second},
	} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			all := map[string]replica.ProbePriority{"awaited": replica.Urgent, "member": replica.Background}
			for i := range vms {
				all[fmt.Sprint("i-", i)] = replica.Regular
			}
			got := c.probeIntervals(all)
			assert.Equal(t, got["i-0"], want.regular)
			assert.Equal(t, got["member"], want.member)
			assert.Equal(t, got["awaited"], 80*time.Millisecond)
			assert.Equal(t, len(got), vms+2)
		})
	}
}
