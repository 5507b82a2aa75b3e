package entry

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/dispatch"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// chain is a line of entry VMs, each of which asks the one before it.
type chain struct {
	sites []*fleetSite
	marks []int64
}

func newChain(t *testing.T, n, groups int) *chain {
	c := &chain{marks: make([]int64, n)}
	for range n {
		c.sites = append(c.sites, newFleetSite(t, groups))
	}
	return c
}

// ask lets one node ask the one before it.
func (c *chain) ask(i int) {
	after := c.sites[i].state.Position()
	after.Mark = c.marks[i]
	a := c.sites[i-1].state.Answer(after)
	c.marks[i] = a.Mark
	c.sites[i].state.ApplyAnswer(c.sites[i].clock(), true, a)
}

// run lets time pass: nodes tick, and ask every 200 ms.
func (c *chain) run(d time.Duration) {
	const every = 200 * time.Millisecond
	for range d / every {
		for _, s := range c.sites {
			s.run(every)
		}
		for i := len(c.sites) - 1; i > 0; i-- {
			c.ask(i)
		}
	}
}

// Reports that have come by way of another node were not told on if they were
// older than the last question, so that all nodes but those one step from the
// first probed all heads by themselves.
func TestReportsAreToldOverSeveralSteps(t *testing.T) {
	const groups = 5
	c := newChain(t, 4, groups)
	c.run(20 * time.Second)
	for i, s := range c.sites {
		probes := 0
		for g := range groups {
			probes += s.engines.count(string(rune('a'+g)) + "0")
		}
		if i == 0 {
			assert.Assert(t, probes >= 15*groups, "the first node probes heads every second: %d", probes)
			continue
		}
		assert.Assert(t, probes <= 2*groups, "node %d probes what others tell: %d", i, probes)
	}
}

// stall lets a request at a group make no progress at a node.
func (s *fleetSite) stall(group string) *dispatch.Ticket {
	var stalled *dispatch.Ticket
	var others []*dispatch.Ticket
	for stalled == nil {
		ticket, refusal := s.state.pick(dispatch.Query{Service: "llm", Model: "m", Draw: uint64(len(others))}, func() {})
		assert.Assert(s.t, refusal == nil)
		if ticket.Target.Group == group {
			stalled = ticket
			continue
		}
		others = append(others, ticket)
	}
	for _, ticket := range others {
		s.state.done(ticket, dispatch.Neutral)
	}
	return stalled
}

// serves reports whether a node sends requests to a group.
func (s *fleetSite) serves(group string) bool {
	serves := false
	s.state.Locked(func(k LockedState) {
		for _, id := range k.Targets.Heads() {
			serves = serves || id == group+"0"
		}
	})
	return serves
}

// Every node used to probe all VMs of a group at which its requests made no
// progress, twelve times a second. Now one does for its data centre, and the
// others hear what it found.
func TestOneNodeExaminesAGroupForItsDataCentre(t *testing.T) {
	c := newChain(t, 4, 2)
	lost := func() (fleet.Report, error) { return fleet.Report{}, errors.New("no answer") }
	for _, s := range c.sites {
		answer := s.engines.answer
		s.engines.answer = func(id string) (fleet.Report, error) {
			if id == "a1" {
				return lost()
			}
			return answer(id)
		}
	}
	c.run(time.Second)
	for _, s := range c.sites[1:] {
		s.stall("a")
	}
	c.run(2 * time.Second)
	assert.Assert(t, c.sites[0].engines.count("a1") >= 2, "the first node verifies what others suspect")
	for i, s := range c.sites {
		assert.Assert(t, !s.serves("a"), "node %d", i)
		assert.Assert(t, s.serves("b"), "node %d", i)
		if i > 0 {
			assert.Equal(t, s.engines.count("a1"), 0, "node %d", i)
		}
	}
}

// A node whose own requests make progress at a group doesn't believe that it
// lacks a VM: the one that tells may have lost its way there.
func TestProgressGoesBeforeWhatIsTold(t *testing.T) {
	c := newChain(t, 2, 1)
	c.sites[0].engines.answer = func(string) (fleet.Report, error) { return fleet.Report{}, errors.New("no answer") }
	working := c.sites[1].stall("a")
	for range 10 {
		c.run(200 * time.Millisecond)
		c.sites[1].state.progress(working)
	}
	assert.Assert(t, !c.sites[0].serves("a"))
	assert.Assert(t, c.sites[1].serves("a"))
}

// A node whose data centre has no other verifies by itself.
func TestNodeThatIsToldNothingExamines(t *testing.T) {
	s := newFleetSite(t, 1)
	s.stall("a")
	s.run(2 * time.Second)
	assert.Assert(t, s.engines.count("a1") >= 3)
	assert.Assert(t, s.engines.count("a1") <= 7, "not more often than needed: %d", s.engines.count("a1"))
}

// Where VMs turn slow, requests at most groups stand still at the same time.
// That is no reason to probe all VMs several times a second.
func TestExaminationsOfManyGroupsAreBounded(t *testing.T) {
	const groups, seconds = 20, 5
	s := newFleetSite(t, groups)
	for g := range groups {
		s.stall(string(rune('a' + g)))
	}
	s.run(seconds * time.Second)
	members := 0
	for g := range groups {
		members += s.engines.count(string(rune('a'+g)) + "1")
	}
	assert.Assert(t, members >= groups, "each is verified: %d", members)
	assert.Assert(t, members <= 20*seconds, "%d", members)
}

// What a node knows is looked through when something has changed, or time may
// have changed something, and not in each tick.
func TestTargetsAreUpdatedWhenSomethingChanged(t *testing.T) {
	s := newFleetSite(t, 1)
	s.state.Tick()
	at := s.state.updatedAt
	s.advance(50 * time.Millisecond)
	s.state.Tick()
	assert.Equal(t, s.state.updatedAt, at, "nothing has changed")

	s.state.Locked(func(k LockedState) { k.VMs.RecordProbeFailure(k.Now, "a1") })
	s.advance(50 * time.Millisecond)
	s.state.Tick()
	assert.Assert(t, s.state.updatedAt.After(at), "a probe has failed")

	at = s.state.updatedAt
	s.advance(updateEvery)
	s.state.Tick()
	assert.Assert(t, s.state.updatedAt.After(at), "time has passed")
}
