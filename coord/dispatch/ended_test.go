package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against answers that are ended although they make progress: an endpoint that
// drains stops listening before it has finished its requests.
func TestDrainingEndpointThatStopsListeningKeepsItsAnswers(t *testing.T) {
	for rank := range 2 {
		s := newScenario(1)
		ticket, refusal := s.pick(1)
		assert.Assert(t, refusal == nil)
		id := vmID(0, rank)
		s.vms.Get(id).Draining = true
		for range 10 {
			s.now = s.now.Add(100 * time.Millisecond)
			s.table.RecordProgress(s.now, ticket)
			s.vms.RecordProbeFailure(s.now, id)
			s.vms.RecordRefusal(id, 1)
			for _, l := range s.update() {
				assert.Assert(t, !l.Reason.IsCertain(), "rank %d: %s, though an event has just arrived", rank, l.Reason)
			}
		}
	}
}
