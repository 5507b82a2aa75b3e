package entry

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/dispatch"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
	"github.com/pimentoshore/pimentoshore/coord/updates"
)

// chain is a sequence of entry VMs, each of which polls its predecessor.
type chain struct {
	nodes []*fleetHarness
	marks []int64 // of the last answer received, by node
}

func newChain(t *testing.T, n, groups int) *chain {
	c := &chain{marks: make([]int64, n)}
	for range n {
		c.nodes = append(c.nodes, newFleetHarness(t, groups))
	}
	return c
}

// poll makes node i request and apply an answer from its predecessor.
func (c *chain) poll(i int) {
	after := c.nodes[i].state.Position()
	after.Mark = c.marks[i]
	a := c.nodes[i-1].state.Answer(after)
	c.marks[i] = a.Mark
	c.nodes[i].state.ApplyAnswer(c.nodes[i].clock(), true, a)
}

// run advances the clocks by d. Nodes tick, and poll every 200 ms.
func (c *chain) run(d time.Duration) {
	const interval = 200 * time.Millisecond
	for range d / interval {
		for _, s := range c.nodes {
			s.run(interval)
		}
		for i := len(c.nodes) - 1; i > 0; i-- {
			c.poll(i)
		}
	}
}

// Guards against reports received from a peer not being forwarded if they were
// older than the last request. All nodes more than one hop from the first then
// probed all heads themselves.
func TestReportsAreForwardedOverSeveralHops(t *testing.T) {
	const groups = 5
	c := newChain(t, 4, groups)
	c.run(20 * time.Second)
	for i, s := range c.nodes {
		probes := 0
		for g := range groups {
			probes += s.engines.count(string(rune('a'+g)) + "0")
		}
		if i == 0 {
			assert.Assert(t, probes >= 15*groups, "the reader should probe each head about every second: %d probes", probes)
			continue
		}
		assert.Assert(t, probes <= 2*groups, "node %d probes heads whose reports peers provide: %d probes", i, probes)
	}
}

// stall places a request at the given group and returns its ticket, which makes no
// progress.
func (s *fleetHarness) stall(group string) *dispatch.Ticket {
	var stalled *dispatch.Ticket
	var others []*dispatch.Ticket
	for stalled == nil {
		ticket, refusal := s.state.pick(dispatch.Query{Service: "llm", Model: "m", Draw: uint64(len(others))}, func(dispatch.LossReason) {}, func(*dispatch.Ticket, dispatch.LossReason) {})
		assert.Assert(s.t, refusal == nil)
		if ticket.Target.Group == group {
			stalled = ticket
			continue
		}
		others = append(others, ticket)
	}
	for _, ticket := range others {
		s.state.finish(ticket, dispatch.Neutral)
	}
	return stalled
}

// serves reports whether the node sends requests to the given group.
func (s *fleetHarness) serves(group string) bool {
	serves := false
	s.state.Locked(func(st LockedState) {
		for _, id := range st.Targets.Heads() {
			serves = serves || id == group+"0"
		}
	})
	return serves
}

// Guards against every node probing all VMs of a group at which its requests make
// no progress, which came to twelve probes a second. One node does so for its data
// centre, and the others receive the result.
func TestOneNodeVerifiesGroupForItsDataCentre(t *testing.T) {
	c := newChain(t, 4, 2)
	lost := func() (fleet.Report, error) { return fleet.Report{}, errors.New("no answer") }
	for _, s := range c.nodes {
		answer := s.engines.answer
		s.engines.answer = func(id string) (fleet.Report, error) {
			if id == "a1" {
				return lost()
			}
			return answer(id)
		}
	}
	c.run(time.Second)
	for _, s := range c.nodes[1:] {
		s.stall("a")
	}
	c.run(2 * time.Second)
	assert.Assert(t, c.nodes[0].engines.count("a1") >= 2, "the reader should probe groups that peers suspect")
	for i, s := range c.nodes {
		assert.Assert(t, !s.serves("a"), "node %d", i)
		assert.Assert(t, s.serves("b"), "node %d", i)
		if i > 0 {
			assert.Equal(t, s.engines.count("a1"), 0, "node %d", i)
		}
	}
}

// A node whose own requests make progress at a group ignores a peer's finding that
// the group lacks a VM: the peer may have lost its network path to the group.
func TestOwnProgressOverridesPeerFindings(t *testing.T) {
	c := newChain(t, 2, 1)
	c.nodes[0].engines.answer = func(string) (fleet.Report, error) { return fleet.Report{}, errors.New("no answer") }
	working := c.nodes[1].stall("a")
	for range 10 {
		c.run(200 * time.Millisecond)
		c.nodes[1].state.recordProgress(working)
	}
	assert.Assert(t, !c.nodes[0].serves("a"))
	assert.Assert(t, c.nodes[1].serves("a"))
}

// A node without a peer in its data centre probes stalled groups itself.
func TestNodeWithoutPeersVerifiesStalledGroup(t *testing.T) {
	s := newFleetHarness(t, 1)
	s.stall("a")
	s.run(2 * time.Second)
	assert.Assert(t, s.engines.count("a1") >= 3)
	assert.Assert(t, s.engines.count("a1") <= 7, "too many probes: %d", s.engines.count("a1"))
}

// When many VMs slow down, requests at most groups stall at the same time. This
// must not lead to probes of all VMs several times a second.
func TestVerificationOfManyGroupsIsBounded(t *testing.T) {
	const groups, seconds = 20, 5
	s := newFleetHarness(t, groups)
	for g := range groups {
		s.stall(string(rune('a' + g)))
	}
	s.run(seconds * time.Second)
	members := 0
	for g := range groups {
		members += s.engines.count(string(rune('a'+g)) + "1")
	}
	assert.Assert(t, members >= groups, "each group should be probed: %d probes", members)
	assert.Assert(t, members <= 20*seconds, "too many probes: %d", members)
}

// Targets are updated when something has changed, or after maxUpdateInterval, and
// not in every tick.
func TestTargetsAreUpdatedOnChanges(t *testing.T) {
	s := newFleetHarness(t, 1)
	s.state.Tick()
	at := s.state.targetsUpdatedAt
	s.advance(50 * time.Millisecond)
	s.state.Tick()
	assert.Equal(t, s.state.targetsUpdatedAt, at, "should not be updated without changes")

	s.state.Locked(func(st LockedState) { st.VMs.RecordProbeFailure(st.Now, "a1") })
	s.advance(50 * time.Millisecond)
	s.state.Tick()
	assert.Assert(t, s.state.targetsUpdatedAt.After(at), "should be updated after a failed probe")

	at = s.state.targetsUpdatedAt
	s.advance(maxUpdateInterval)
	s.state.Tick()
	assert.Assert(t, s.state.targetsUpdatedAt.After(at), "should be updated after maxUpdateInterval")
}

// A VM on standby heads a group that never serves. Its reports are of use to the
// lease holder alone, so nodes neither probe it as a head nor pass its reports on.
func TestVMsOnStandbyAreNoHeads(t *testing.T) {
	s := newFleetHarness(t, 1)
	standby := fleet.Membership{Group: fleet.StandbyName("spare"), Epoch: 9, Stage: fleet.Ready}
	s.state.Locked(func(st LockedState) {
		row := fleet.Row{ID: "spare", Service: "llm", Address: "10.0.0.9:1", Engine: true, State: fleet.State{Born: 1, Membership: standby}}
		st.VMs.ApplyRow(s.clock(), row)
		st.VMs.ApplyReport(s.clock(), s.clock(), "spare", fleet.Report{State: row.State})
	})
	s.run(time.Second)
	s.state.Locked(func(st LockedState) {
		assert.DeepEqual(t, st.Targets.Heads(), []string{"a0"})
	})
	for _, r := range s.state.Answer(updates.Position{}).Reports {
		assert.Assert(t, r.VM != "spare")
	}
}

// A node of an earlier release may relay a configuration that this one must not use.
func TestInvalidConfigurationLeavesTheLastOneInForce(t *testing.T) {
	s := newFleetHarness(t, 1)
	before := s.state.view.Load().Catalog
	engine := &catalog.Engine{Models: []catalog.Model{{Name: "m", GroupSize: -4}}}
	odd := catalog.New(before.Version+1, nil, []catalog.Service{{Name: "llm", Engine: engine}}, catalog.Accounts{}, catalog.Limits{})
	s.state.ApplyAnswer(s.clock(), true, updates.Answer{Known: true, Operators: &updates.Operators{Version: 1 << 20, Whole: true, Catalog: odd}})
	assert.Equal(t, s.state.view.Load().Catalog, before)
}
