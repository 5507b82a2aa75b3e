package updates

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// Guards against a VM that stays listed because the reader ended before it took it for gone.
func TestFollowerThatReadsOnRemovesWhatTheCopyLacks(t *testing.T) {
	reader := NewRecord()
	put(t, reader, start, VMs{Era: 1, Version: 10, Whole: true, Rows: []fleet.Row{row("a", 1), row("gone", 1)}})
	follower := followed(t, reader)
	put(t, reader, start, VMs{Era: 2, Version: 8, Whole: true, Rows: []fleet.Row{row("a", 1)}})
	put(t, follower, start, *reader.VMsAfter(follower.Position().VMs, true))
	for i := range 20 { // the reader has ended; the follower reads changes itself
		now := start.Add(time.Duration(i) * time.Second)
		put(t, follower, now, VMs{Era: 2, Version: 8 + uint64(i)})
		follower.Settle(now)
	}
	assert.DeepEqual(t, listedIDs(follower), map[string]bool{"a": true})
}
