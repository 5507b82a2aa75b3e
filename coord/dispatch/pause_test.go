package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

func (s *scenario) mustPick(t *testing.T) *Ticket {
	t.Helper()
	ticket, refusal := s.pick(1)
	assert.Assert(t, refusal == nil, "%v", refusal)
	return ticket
}

// The only endpoint has rejected a request and asked for a pause of two seconds.
// New requests are refused immediately with the remaining time.
func TestPausedEndpointGetsNoRequests(t *testing.T) {
	s := newScenario(1)
	ticket := s.mustPick(t)
	assert.Equal(t, s.table.Pause(s.now, ticket, 2*time.Second), 2*time.Second)
	s.table.Done(s.now, ticket, Rejected)
	s.now = s.now.Add(500 * time.Millisecond)
	s.report(vmID(0, 0), 0)
	for _, q := range []Query{
		{Service: "llm", Model: "m"}, {Service: "llm", Model: "m", Begun: true}, {Service: "llm", Model: "m", Repeat: true},
	} {
		_, refusal := s.table.Pick(s.now, q)
		assert.Assert(t, refusal != nil)
		assert.Equal(t, refusal.Reason, Paused)
		assert.Equal(t, refusal.RetryAfter, 1500*time.Millisecond)
		assert.Assert(t, !refusal.MayClearWithin(time.Second))
		assert.Assert(t, refusal.MayClearWithin(2*time.Second))
	}
}

func TestRequestsGoToOtherEndpointsDuringPause(t *testing.T) {
	s := newScenario(2)
	first := s.mustPick(t)
	s.table.Pause(s.now, first, time.Second)
	s.table.Done(s.now, first, Rejected)
	for range 5 {
		assert.Assert(t, s.mustPick(t).Target != first.Target)
	}
}

// Many requests wait for the end of a pause. One is sent as a trial; the others
// follow once it is answered, or keep waiting if it is rejected.
func TestOneRequestTriesAfterAPause(t *testing.T) {
	s := newScenario(1)
	s.now = s.now.Add(time.Second)
	s.report(vmID(0, 0), 0)
	ticket := s.mustPick(t)
	s.table.Pause(s.now, ticket, time.Second)
	s.table.Done(s.now, ticket, Rejected)
	s.now = s.now.Add(time.Second)
	trial := s.mustPick(t)
	_, refusal := s.pick(2)
	assert.Assert(t, refusal != nil, "only one request is sent as a trial")
	assert.Equal(t, refusal.Reason, AllFull)

	s.table.Pause(s.now, trial, time.Second)
	s.table.Done(s.now, trial, Rejected)
	_, refusal = s.pick(3)
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Reason, Paused)

	s.now = s.now.Add(time.Second)
	trial = s.mustPick(t)
	s.table.RecordProgress(s.now, trial)
	s.mustPick(t)
	s.mustPick(t)
}

func TestUnansweredTrialTimesOut(t *testing.T) {
	s := newScenario(1)
	ticket := s.mustPick(t)
	s.table.Pause(s.now, ticket, time.Second)
	s.table.Done(s.now, ticket, Rejected)
	s.now = s.now.Add(time.Second)
	s.mustPick(t)
	s.now = s.now.Add(trialTimeout)
	s.mustPick(t)
}

func TestPauseIsBoundedAndEndsWithARestart(t *testing.T) {
	s := newScenario(1)
	ticket := s.mustPick(t)
	assert.Equal(t, s.table.Pause(s.now, ticket, math.MaxInt64), fleet.MaxPause)
	s.table.Done(s.now, ticket, Rejected)
	row := s.currentRow(vmID(0, 0))
	row.Born = 2
	s.vms.ApplyRow(s.now, row)
	s.update()
	assert.Equal(t, s.table.Pause(s.now, ticket, time.Second), time.Duration(0), "the endpoint has restarted since it asked for the pause")
	s.mustPick(t)
}

// currentRow returns a row with the present state of a VM.
func (s *scenario) currentRow(id string) fleet.Row {
	vm := s.vms.Get(id)
	return fleet.Row{
		ID: id, Service: vm.Service, Address: vm.Address, DataCentre: vm.DataCentre, Slots: vm.Slots, Engine: true, State: vm.State,
	}
}

// A VM that has announced in an answer that it is leaving gets no more requests
// until it restarts, even if older rows or reports from other nodes don't contain
// the announcement.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	s := newScenario(1)
	ticket := s.mustPick(t)
	assert.Assert(t, s.table.MarkLeaving(s.now, ticket))
	assert.Assert(t, !s.table.MarkLeaving(s.now, ticket), "the VM is already known to be leaving")
	_, refusal := s.pick(2)
	assert.Assert(t, refusal != nil, "the announcement applies before the next Update")

	s.vms.ApplyRow(s.now, s.currentRow(vmID(0, 0)))
	s.report(vmID(0, 0), 1)
	_, refusal = s.pick(3)
	assert.Assert(t, refusal != nil, "a row without the announcement does not revoke it")

	row := s.currentRow(vmID(0, 0))
	row.Born = 2
	s.vms.ApplyRow(s.now, row)
	s.update()
	s.mustPick(t)
	assert.Assert(t, !s.table.MarkLeaving(s.now, ticket), "the VM has restarted since the announcement")
}

// In random sequences of requests, pauses, departures, restarts and late rows, no
// request goes to an endpoint during its pause or after it has announced that it
// is leaving.
func TestNoRequestDuringPauseOrAfterLeaving(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runRandomPauses(t, rand.New(rand.NewPCG(seed, 1))) })
	}
}

// endpointRequest is what an endpoint has requested, as tracked by the test.
type endpointRequest struct {
	until   time.Time
	leaving bool
}

func runRandomPauses(t *testing.T, rng *rand.Rand) {
	const groups = 4
	s := newScenario(groups)
	expected := make(map[string]endpointRequest)
	var open []*Ticket
	for range 300 {
		s.now = s.now.Add(time.Duration(rng.IntN(120)) * time.Millisecond)
		id := vmID(rng.IntN(groups), 0)
		switch rng.IntN(6) {
		case 0:
			row := s.currentRow(id)
			row.Born++
			s.vms.ApplyRow(s.now, row)
			s.update()
			delete(expected, id)
		case 1:
			s.vms.ApplyRow(s.now, s.currentRow(id))
			s.update()
		case 2:
			s.report(id, rng.IntN(30))
		case 3:
			open = s.answerRandomRequest(rng, open, expected)
		default:
			ticket, refusal := s.pick(rng.Int())
			if refusal != nil {
				assert.Assert(t, refusal.RetryAfter > 0)
				continue
			}
			want := expected[ticket.Target.ID]
			assert.Assert(t, !s.now.Before(want.until), "sent %s before the end of the pause", want.until.Sub(s.now))
			assert.Assert(t, !want.leaving)
			open = append(open, ticket)
		}
	}
}

// answerRandomRequest ends one of the open requests with an answer that may
// request a pause or announce that the endpoint is leaving.
func (s *scenario) answerRandomRequest(rng *rand.Rand, open []*Ticket, expected map[string]endpointRequest) []*Ticket {
	if len(open) == 0 {
		return open
	}
	i := rng.IntN(len(open))
	ticket := open[i]
	id, outcome := ticket.Target.ID, Outcome(1+rng.IntN(4))
	current := s.vms.Get(id).Born == ticket.born
	switch want := expected[id]; rng.IntN(3) {
	case 0:
		d := time.Duration(rng.IntN(3000)) * time.Millisecond
		s.table.Pause(s.now, ticket, d)
		if until := s.now.Add(d); current && until.After(want.until) {
			want.until = until
			expected[id] = want
		}
	case 1:
		s.table.MarkLeaving(s.now, ticket)
		if current {
			want.leaving = true
			expected[id] = want
		}
	default:
		s.table.RecordProgress(s.now, ticket)
	}
	s.table.Done(s.now, ticket, outcome)
	return append(open[:i], open[i+1:]...)
}
