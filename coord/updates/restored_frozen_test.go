package updates

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// Guards against a reader that was frozen while the store was restored, and then takes
// back at all nodes that follow it what they have had in force since.
func TestReaderThatMissedARestoreTakesNothingBackElsewhere(t *testing.T) {
	reader := NewRecord()
	put(t, reader, start, VMs{Era: 1, Version: 10, Whole: true, Rows: []fleet.Row{row("a", 1), row("gone", 1)}})
	assert.Assert(t, reader.PutOperators(start, Operators{Era: 1, Version: 10, Whole: true}))
	follower := followed(t, reader)
	assert.Assert(t, follower.PutOperators(start, *reader.OperatorsAfter(Position{})))

	// The reader is frozen. The store is restored, and the follower reads it itself.
	put(t, follower, start, VMs{Era: 2, Version: 9, Whole: true, Rows: []fleet.Row{row("a", 1), row("gone", 1)}})
	assert.Assert(t, follower.PutOperators(start, Operators{Era: 2, Version: 9, Whole: true}))
	follower.Settle(start.Add(rewriteGrace))
	later := start.Add(10 * time.Second)
	put(t, follower, later, VMs{Era: 2, Version: 50, Rows: []fleet.Row{draining(row("a", 1))}, Removed: []string{"gone"}})
	assert.Assert(t, follower.PutOperators(later, Operators{Era: 2, Version: 50, Evacuated: map[string]bool{"dc-a": true}}))
	assert.DeepEqual(t, follower.Evacuated(), map[string]bool{"dc-a": true})

	// The reader goes on, reads the store, and the follower follows it again.
	back := start.Add(20 * time.Second)
	put(t, reader, back, VMs{Era: 2, Version: 60, Whole: true, Rows: []fleet.Row{draining(row("a", 1))}})
	assert.Assert(t, reader.PutOperators(back, Operators{Era: 2, Version: 60, Whole: true, Evacuated: map[string]bool{"dc-a": true}}))
	put(t, follower, back, *reader.VMsAfter(follower.Position().VMs, false))
	assert.Assert(t, follower.PutOperators(back, *reader.OperatorsAfter(follower.Position())))
	assert.Check(t, follower.Evacuated()["dc-a"], "the evacuation is taken back")
	u := follower.VMsAfter(Revision{}, false)
	assert.DeepEqual(t, u.Rows, []fleet.Row{draining(row("a", 1))})
}
