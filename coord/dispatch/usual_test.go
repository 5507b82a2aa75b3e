package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The usual time to an answer is a running mean over the endpoints of a model,
// counted once a request.
func TestUsualTimeFollowsFirstBytes(t *testing.T) {
	s := newSite(2)
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
	usual := s.table.MeanFirstByteTime("llm", "m")
	assert.Assert(t, usual > 235*time.Millisecond && usual <= 240*time.Millisecond, "%v", usual)
	assert.Equal(t, s.table.MeanFirstByteTime("llm", "other"), time.Duration(0))
}
