package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a candidate that writes and reads without a pause while the table
// applies its writes and loses all answers to them.
func TestLostAnswersAreNoReasonToWriteWithoutAPause(t *testing.T) {
	const roundTrip, duration = 2 * time.Millisecond, 5 * time.Second
	o := testOptions("e1")
	o.WithoutPromises = true
	m := New(o)
	now := time.Unix(1000, 0)
	var row *Row
	revision, writes, reads := uint64(0), 0, 0
	held := time.Duration(0)
	events := []Event{Tick{}}
	for end := now.Add(duration); now.Before(end); now = now.Add(roundTrip) {
		var next []Event
		for _, ev := range append(events, Tick{}) {
			for _, e := range m.Step(now, ev) {
				switch e := e.(type) {
				case ReadRows:
					reads++
					answer := RowsRead{Read: e.ID, Era: FirstEra, Revision: revision}
					if row != nil {
						copied := *row
						answer.Row = &copied
					}
					next = append(next, answer)
				case WriteRow:
					writes++
					if e.Revision == revision {
						copied := e.Row
						row = &copied
						revision++
					}
					next = append(next, WriteAnswered{Token: e.Row.Token, Outcome: Unknown})
				}
			}
		}
		if _, ok := m.Held(now); ok {
			held += roundTrip
		}
		events = next
	}
	limit := int(duration/o.RetryEvery) + 2
	assert.Assert(t, writes <= limit && reads <= 2*limit, "%d writes and %d reads in %s", writes, reads, duration)
	assert.Assert(t, held > duration-2*o.RetryEvery, "the lease was held for %s", held)
}
