package updates

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// Guards against a node that was cut off during a restore and takes a late list for an older copy.
func TestNodeCutOffDuringARestoreTakesTheListAsItIs(t *testing.T) {
	r := NewRecord()
	put(t, r, start, VMs{Era: 1, Version: 10, Whole: true, Rows: []fleet.Row{row("a", 1), row("b", 1)}})
	assert.Assert(t, r.PutOperators(start, Operators{Era: 1, Version: 10, Whole: true}))
	back := start.Add(time.Minute)
	put(t, r, back, VMs{Era: 2, Version: 900, Whole: true, Rows: []fleet.Row{draining(row("a", 1))}})
	assert.Assert(t, r.PutOperators(back, Operators{Era: 2, Version: 900, Whole: true, Evacuated: map[string]bool{"dc-a": true}}))
	r.Settle(back.Add(4 * time.Second))
	u := r.VMsAfter(Revision{}, false)
	assert.DeepEqual(t, u.Rows, []fleet.Row{draining(row("a", 1))})
	assert.DeepEqual(t, r.Evacuated(), map[string]bool{"dc-a": true})
}
