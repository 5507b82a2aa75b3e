package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The typical time to the first byte is a running mean over the endpoints of a
// model, with one sample per request.
func TestTypicalFirstByteTime(t *testing.T) {
	s := newScenario(2)
	assert.Equal(t, s.table.MeanFirstByteTime("llm", "m"), time.Duration(0))
	answer := func(took time.Duration) {
		ticket, refusal := s.pick(1)
		assert.Assert(t, refusal == nil)
		s.table.RecordProgress(s.now.Add(took), ticket)
		s.table.RecordProgress(s.now.Add(time.Minute), ticket)
		s.table.Done(s.now.Add(time.Minute), ticket, Succeeded)
	}
	answer(160 * time.Millisecond)
	assert.Equal(t, s.table.MeanFirstByteTime("llm", "m"), 160*time.Millisecond)
	for range 200 {
		answer(240 * time.Millisecond)
	}
	mean := s.table.MeanFirstByteTime("llm", "m")
	assert.Assert(t, mean > 235*time.Millisecond && mean <= 240*time.Millisecond, "%v", mean)
	assert.Equal(t, s.table.MeanFirstByteTime("llm", "other"), time.Duration(0))
}
