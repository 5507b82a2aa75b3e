package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The newest answer decides on a limit, in whatever order nodes hear of answers.
func TestNewestAnswerDecidesOnLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable()
	table.ApplyRow(now, Row{ID: "a", Address: "1", State: State{Born: 1}})
	vm := table.Get("a")
	assert.Assert(t, table.SetLimit(now, now, "a", 1, 4))
	assert.Assert(t, !table.SetLimit(now, now.Add(-time.Second), "a", 1, 0)) // an older answer
	assert.Assert(t, !table.SetLimit(now, now, "a", 2, 7))                   // another start
	assert.Equal(t, vm.Limit.PerSecond, 4.0)
	assert.Assert(t, vm.Limit.IsInForce(now) && !vm.Limit.IsInForce(now.Add(limitTTL)))

	changedAt := vm.Limit.ChangedAt
	assert.Assert(t, !table.SetLimit(now.Add(time.Second), now.Add(time.Second), "a", 1, 4))
	assert.Equal(t, vm.Limit.ChangedAt, changedAt) // other nodes need not hear of it yet
	later := now.Add(limitRefresh)
	assert.Assert(t, !table.SetLimit(later, later, "a", 1, 4))
	assert.Equal(t, vm.Limit.ChangedAt, later)

	assert.Assert(t, table.SetLimit(later, later, "a", 1, 0))
	assert.Assert(t, !vm.Limit.IsInForce(later))
	assert.Assert(t, table.SetLimit(later, later, "a", 1, 2))
	table.ApplyRow(later, Row{ID: "a", Address: "1", State: State{Born: 2}})
	assert.Assert(t, !vm.Limit.IsInForce(later)) // a new start has said nothing yet
}
