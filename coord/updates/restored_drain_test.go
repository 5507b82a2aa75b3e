package updates

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// Guards against a drain, written before the first read after a restore, that has to wait.
func TestDrainWrittenBeforeTheFirstReadIsApplied(t *testing.T) {
	r := NewRecord()
	put(t, r, start, VMs{Era: 1, Version: 10, Whole: true, Rows: []fleet.Row{row("a", 1)}})
	apply := put(t, r, start, VMs{Era: 2, Version: 9, Whole: true, Rows: []fleet.Row{draining(row("a", 1))}})
	assert.DeepEqual(t, apply.Rows, []fleet.Row{draining(row("a", 1))})
}
