package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/dispatch"
)

// Load: all places are taken. A request waits for one only as long as its response
// can still meet its objective, so that it is refused at once if endpoints are
// slow, and never beyond its deadline.
func TestPlaceDeadlineLeavesTimeForResponse(t *testing.T) {
	s := newHarness(t)
	s.add(answerOK)
	began := s.state.now()
	req := &request{
		started: began, deadline: began.Add(time.Second), service: &catalog.Service{Name: "shop"},
		route: &catalog.Route{Objective: 300 * time.Millisecond},
	}
	assert.Equal(t, s.server.placeDeadline(req).Sub(began), 150*time.Millisecond)

	ticket, refusal := s.state.pick(dispatch.Query{Service: "shop"}, func(dispatch.LossReason) {}, func(*dispatch.Ticket, dispatch.LossReason) {})
	assert.Assert(t, refusal == nil)
	s.clockOffset.Add(int64(200 * time.Millisecond))
	s.state.recordProgress(ticket)
	left := s.server.placeDeadline(req).Sub(began)
	assert.Assert(t, left > 20*time.Millisecond && left <= 50*time.Millisecond, "%v", left)

	req.deadline = began.Add(20 * time.Millisecond)
	assert.Equal(t, s.server.placeDeadline(req), req.deadline)
	req.responseBegun, req.deadline = true, began.Add(time.Minute)
	assert.Assert(t, s.server.placeDeadline(req).Sub(began) >= maxResumeWait)
}
