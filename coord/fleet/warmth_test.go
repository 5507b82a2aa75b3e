package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against reports that are larger for good once a VM has said that it is warm:
// nodes with small links pass on those of all groups.
func TestWarmthIsPassedOnForALimitedTime(t *testing.T) {
	table := NewTable()
	table.ApplyRow(at(0), testRow("i-1", "a", 1))
	vm := table.Get("i-1")
	assert.Assert(t, vm.Report(at(0)).Warmth == nil)
	table.ApplyWarmth(at(1), at(1), "i-1", 1, Warmth{ColdLeft: 2 * time.Second})
	assert.DeepEqual(t, vm.Report(at(2)).Warmth, &Warmth{ColdLeft: time.Second, Age: time.Second})
	assert.Assert(t, vm.Report(at(3)).Warmth == nil, "it is warm by now")
	table.ApplyWarmth(at(4), at(4), "i-1", 1, Warmth{})
	assert.DeepEqual(t, vm.Report(at(5)).Warmth, &Warmth{Age: time.Second})
	assert.Assert(t, vm.Report(at(4).Add(warmthTTL+time.Millisecond)).Warmth == nil)
}

// An answer counts for the start that gave it, and not after a later one.
func TestOldAnswersOnWarmthAreIgnored(t *testing.T) {
	table := NewTable()
	table.ApplyRow(at(0), testRow("i-1", "a", 1))
	vm := table.Get("i-1")
	table.ApplyWarmth(at(2), at(2), "i-1", 1, Warmth{ColdLeft: 9 * time.Second})
	table.ApplyWarmth(at(3), at(3), "i-1", 1, Warmth{Age: 2 * time.Second})
	assert.Equal(t, vm.ColdUntil, at(11), "the answer is older")
	table.ApplyWarmth(at(4), at(4), "i-1", 7, Warmth{})
	assert.Equal(t, vm.ColdUntil, at(11), "another start")
	table.ApplyRow(at(5), testRow("i-1", "a", 2))
	assert.Assert(t, vm.WarmSaidAt.IsZero() && vm.ColdSaidAt.IsZero(), "nothing of the earlier start stays")
}
