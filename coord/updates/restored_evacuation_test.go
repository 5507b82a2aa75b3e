package updates

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an evacuation, written before the first read after a restore, that has to wait.
func TestEvacuationWrittenBeforeTheFirstReadIsInForce(t *testing.T) {
	r := NewRecord()
	assert.Assert(t, r.PutOperators(start, Operators{Era: 1, Version: 10, Whole: true}))
	assert.Assert(t, r.PutOperators(start, Operators{Era: 2, Version: 9, Whole: true, Evacuated: map[string]bool{"dc-a": true}}))
	r.Settle(start.Add(rewriteGrace - time.Millisecond))
	assert.DeepEqual(t, r.Evacuated(), map[string]bool{"dc-a": true})
}
