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

func (s *site) mustPick(t *testing.T) *Ticket {
	t.Helper()
	ticket, refusal := s.pick(1)
	assert.Assert(t, refusal == nil, "%v", refusal)
	return ticket
}

// Load: the only endpoint has turned a request away and asks for two seconds.
// Callers hear at once how long that is.
func TestPausedEndpointGetsNothingAndCallersHearHowLong(t *testing.T) {
	s := newSite(1)
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

func TestOthersGetTheRequestsOfAPausedEndpoint(t *testing.T) {
	s := newSite(2)
	first := s.mustPick(t)
	s.table.Pause(s.now, first, time.Second)
	s.table.Done(s.now, first, Rejected)
	for range 5 {
		assert.Assert(t, s.mustPick(t).Target != first.Target)
	}
}

// Load: many requests wait for the end of a pause. One tries; the others follow
// once it is answered, or wait again if it's turned away.
func TestOneRequestTriesAfterAPause(t *testing.T) {
	s := newSite(1)
	s.now = s.now.Add(time.Second)
	s.report(vmID(0, 0), 0)
	ticket := s.mustPick(t)
	s.table.Pause(s.now, ticket, time.Second)
	s.table.Done(s.now, ticket, Rejected)
	s.now = s.now.Add(time.Second)
	trial := s.mustPick(t)
	_, refusal := s.pick(2)
	assert.Assert(t, refusal != nil, "one request tries")
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

func TestTrialThatIsNotAnsweredDoesNotHoldOthersForLong(t *testing.T) {
	s := newSite(1)
	ticket := s.mustPick(t)
	s.table.Pause(s.now, ticket, time.Second)
	s.table.Done(s.now, ticket, Rejected)
	s.now = s.now.Add(time.Second)
	s.mustPick(t)
	s.now = s.now.Add(trialMost)
	s.mustPick(t)
}

func TestPauseIsBoundedAndEndsWithARestart(t *testing.T) {
	s := newSite(1)
	ticket := s.mustPick(t)
	assert.Equal(t, s.table.Pause(s.now, ticket, math.MaxInt64), fleet.MaxPause)
	s.table.Done(s.now, ticket, Rejected)
	row := s.rowOf(vmID(0, 0))
	row.Born = 2
	s.vms.ApplyRow(s.now, row)
	s.update()
	assert.Equal(t, s.table.Pause(s.now, ticket, time.Second), time.Duration(0), "the start that asked has ended")
	s.mustPick(t)
}

// rowOf returns a row that says what is known of a VM, and no more.
func (s *site) rowOf(id string) fleet.Row {
	vm := s.vms.Get(id)
	return fleet.Row{
		ID: id, Service: vm.Service, Address: vm.Address, DataCentre: vm.DataCentre, Slots: vm.Slots, Engine: true, State: vm.State,
	}
}

// A VM that has said in an answer that it leaves gets nothing more, whatever
// rows or other nodes say that know less, until it starts again.
func TestLeavingEndpointGetsNothing(t *testing.T) {
	s := newSite(1)
	ticket := s.mustPick(t)
	assert.Assert(t, s.table.MarkLeaving(s.now, ticket))
	assert.Assert(t, !s.table.MarkLeaving(s.now, ticket), "it is known already")
	_, refusal := s.pick(2)
	assert.Assert(t, refusal != nil, "at once, before the next tick")

	s.vms.ApplyRow(s.now, s.rowOf(vmID(0, 0)))
	s.report(vmID(0, 0), 1)
	_, refusal = s.pick(3)
	assert.Assert(t, refusal != nil, "an older row says nothing of it")

	row := s.rowOf(vmID(0, 0))
	row.Born = 2
	s.vms.ApplyRow(s.now, row)
	s.update()
	s.mustPick(t)
	assert.Assert(t, !s.table.MarkLeaving(s.now, ticket), "that start has ended")
}

// In random runs of requests, pauses, departures, restarts and late rows, no
// request goes to an endpoint inside its pause or after it said that it leaves.
func TestNoSendInsideAPauseOrPastADeparture(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playPauses(t, rand.New(rand.NewPCG(seed, 1))) })
	}
}

// asked is what an endpoint has asked for, as the run remembers it.
type asked struct {
	until   time.Time
	leaving bool
}

func playPauses(t *testing.T, rng *rand.Rand) {
	const groups = 4
	s := newSite(groups)
	said := make(map[string]asked)
	var open []*Ticket
	for range 300 {
		s.now = s.now.Add(time.Duration(rng.IntN(120)) * time.Millisecond)
		id := vmID(rng.IntN(groups), 0)
		switch rng.IntN(6) {
		case 0:
			row := s.rowOf(id)
			row.Born++
			s.vms.ApplyRow(s.now, row)
			s.update()
			delete(said, id)
		case 1:
			s.vms.ApplyRow(s.now, s.rowOf(id))
			s.update()
		case 2:
			s.report(id, rng.IntN(30))
		case 3:
			open = s.answerOne(rng, open, said)
		default:
			ticket, refusal := s.pick(rng.Int())
			if refusal != nil {
				assert.Assert(t, refusal.RetryAfter > 0)
				continue
			}
			a := said[ticket.Target.ID]
			assert.Assert(t, !s.now.Before(a.until), "sent %s inside the pause", a.until.Sub(s.now))
			assert.Assert(t, !a.leaving)
			open = append(open, ticket)
		}
	}
}

// answerOne ends one of the open requests by an answer that may ask for
// something.
func (s *site) answerOne(rng *rand.Rand, open []*Ticket, said map[string]asked) []*Ticket {
	if len(open) == 0 {
		return open
	}
	i := rng.IntN(len(open))
	ticket := open[i]
	id, outcome := ticket.Target.ID, Outcome(1+rng.IntN(4))
	current := s.vms.Get(id).Born == ticket.born
	switch a := said[id]; rng.IntN(3) {
	case 0:
		d := time.Duration(rng.IntN(3000)) * time.Millisecond
		s.table.Pause(s.now, ticket, d)
		if until := s.now.Add(d); current && until.After(a.until) {
			a.until = until
			said[id] = a
		}
	case 1:
		s.table.MarkLeaving(s.now, ticket)
		if current {
			a.leaving = true
			said[id] = a
		}
	default:
		s.table.RecordProgress(s.now, ticket)
	}
	s.table.Done(s.now, ticket, outcome)
	return append(open[:i], open[i+1:]...)
}
