package gossip

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const tick = 500 * time.Millisecond

// system is a number of tables that exchange without loss.
type system struct {
	now    time.Time
	names  []string
	tables map[string]*Table
	dead   map[string]bool
	// named and sent count the nodes named in pulls and sent in answers.
	named, sent int
}

func newSystem(dataCentres, nodes int, everyNode bool) *system {
	s := &system{now: time.Unix(1000, 0), tables: map[string]*Table{}, dead: map[string]bool{}}
	for i := range dataCentres * nodes {
		vm, dc := fmt.Sprintf("d%02d-e%02d", i/nodes, i%nodes), fmt.Sprintf("d%02d", i/nodes)
		s.names = append(s.names, vm)
		s.tables[vm] = New(Options{
			VM: vm, DataCentre: dc, Address: vm, Incarnation: "1", Seed: uint64(i),
			Fanout: 2, Remote: 1, Expiry: 6 * tick, EveryNode: everyNode,
		})
	}
	for _, t := range s.tables {
		for _, vm := range s.names {
			t.Seed(vm, vm[:3], vm)
		}
	}
	return s
}

func (s *system) run(ticks int) {
	for range ticks {
		s.now = s.now.Add(tick)
		for _, vm := range s.names {
			if !s.dead[vm] {
				s.tick(s.tables[vm])
			}
		}
	}
}

func (s *system) tick(t *Table) {
	for _, p := range t.Tick(s.now, 1, false) {
		if s.dead[p.VM] {
			continue
		}
		known := t.KnownVersions(p.View)
		delta := s.tables[p.VM].Delta(t.opts.DataCentre, p.View, CountersOf(known))
		s.named += len(known)
		s.sent += len(delta)
		t.Merge(s.now, p.VM, delta)
	}
}

// live returns the least number of live nodes that a living node knows of.
func (s *system) live() int {
	least := len(s.names)
	for _, vm := range s.names {
		if !s.dead[vm] {
			least = min(least, len(s.tables[vm].Live(s.now, "")))
		}
	}
	return least
}

// TestRemoteNodesAreListed checks that each node learns who is live in other
// data centres though few of them are exchanged.
func TestRemoteNodesAreListed(t *testing.T) {
	s := newSystem(3, 8, false)
	s.run(30)
	assert.Equal(t, s.live(), 24)
	remote := s.tables["d00-e05"].KnownVersions(OtherDataCentres)
	assert.Assert(t, len(remote) < 8, "%d nodes are exchanged", len(remote))

	// A dead node leaves the list, and a dead representative is replaced.
	s.dead["d01-e03"], s.dead["d02-e00"] = true, true
	s.run(40)
	assert.Equal(t, s.live(), 22)
	assert.Assert(t, !s.tables["d00-e05"].IsLive(s.now, "d01-e03"))
	assert.Assert(t, s.tables["d00-e05"].IsLive(s.now, "d02-e07"))
}

// TestNoNodeIsTakenForDead counts the times at which a node takes a living
// one of its data centre for dead.
func TestNoNodeIsTakenForDead(t *testing.T) {
	s := newSystem(1, 32, false)
	s.run(20)
	for range 100 {
		s.run(1)
		assert.Equal(t, s.live(), 32)
	}
}

// TestNodesPerPullFollowTheDataCentre bounds the nodes named for each node
// and second; exchanging every node does not stay within it.
func TestNodesPerPullFollowTheDataCentre(t *testing.T) {
	const dataCentres, nodes, ticks, maxNamed = 8, 16, 20, 100
	count := func(everyNode bool) float64 {
		s := newSystem(dataCentres, nodes, everyNode)
		s.run(20)
		s.named = 0
		s.run(ticks)
		return float64(s.named) / dataCentres / nodes / (ticks * tick.Seconds())
	}
	assert.Assert(t, count(false) <= maxNamed)
	assert.Assert(t, count(true) > maxNamed)
}
