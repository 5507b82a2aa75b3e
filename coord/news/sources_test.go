package news

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func nodes() []Node {
	return []Node{
		{"e-b2", "b", "10.2.0.2:1"}, {"e-a2", "a", "10.1.0.2:1"}, {"e-a1", "a", "10.1.0.1:1"}, {"e-b1", "b", "10.2.0.1:1"},
		{"e-c1", "c", "10.3.0.1:1"}, {"e-b3", "b", ""}, {"e-c2", "c", "10.3.0.2:1"}, {"e-c3", "c", "10.3.0.3:1"},
	}
}

// asked lists whom a node asks if each in turn fails.
func asked(s *Sources, unreadable bool) []string {
	var out []string
	for {
		n, ok := s.Next(start, unreadable)
		if !ok {
			return out
		}
		out = append(out, n.VM)
		s.Failed(start, n.VM)
	}
}

func TestNodesAskThoseBeforeThem(t *testing.T) {
	for _, test := range []struct {
		vm, dataCentre string
		usual          []string
		unreadable     []string
	}{
		{"e-a1", "a", nil, []string{"e-a2", "e-b1", "e-b2", "e-c1", "e-c2"}},
		{"e-a2", "a", []string{"e-a1"}, []string{"e-a1", "e-b1", "e-b2", "e-c1", "e-c2"}},
		{"e-b1", "b", []string{"e-a1", "e-a2"}, []string{"e-a1", "e-a2", "e-b2", "e-c1", "e-c2"}},
		{"e-c3", "c", []string{"e-c1", "e-c2", "e-a1", "e-a2", "e-b1", "e-b2"}, []string{"e-c1", "e-c2", "e-a1", "e-a2", "e-b1", "e-b2"}},
	} {
		s := NewSources(test.vm, test.dataCentre)
		s.Set(nodes())
		assert.Equal(t, s.IsReader(), test.usual == nil, test.vm)
		assert.DeepEqual(t, asked(s, false), test.usual)
		s = NewSources(test.vm, test.dataCentre)
		s.Set(nodes())
		assert.DeepEqual(t, asked(s, true), test.unreadable)
	}
}

// Whoever asks whom, the questions lead to one reader: there is no circle.
func TestNobodyAsksInACircle(t *testing.T) {
	before := map[string][]Node{}
	for _, n := range nodes() {
		s := NewSources(n.VM, n.DataCentre)
		s.Set(nodes())
		before[n.VM] = s.before
	}
	var visit func(vm string, path map[string]bool)
	visit = func(vm string, path map[string]bool) {
		assert.Assert(t, !path[vm], "%s asks itself by way of others", vm)
		path[vm] = true
		for _, n := range before[vm] {
			visit(n.VM, path)
		}
		delete(path, vm)
	}
	for vm := range before {
		visit(vm, map[string]bool{})
	}
}

// A node that has gone for good stays listed. The next one reads for all in
// its place, and nodes of other data centres ask that one.
func TestNodeAfterOneThatIsGoneReadsForOthers(t *testing.T) {
	s := NewSources("e-a2", "a")
	s.Set(nodes())
	assert.Assert(t, !s.IsReader())
	s.Failed(start, "e-a1")
	assert.Assert(t, s.IsReader())
	assert.Assert(t, s.IsReader(), "also once it is asked again")
	s.Answered("e-a1")
	assert.Assert(t, !s.IsReader())

	s = NewSources("e-b1", "b")
	s.Set(nodes())
	s.Failed(start, "e-a1")
	assert.Assert(t, !s.IsReader())
	n, ok := s.Next(start, false)
	assert.Assert(t, ok)
	assert.Equal(t, n.VM, "e-a2")
}

func TestFailedNodesRest(t *testing.T) {
	s := NewSources("e-a2", "a")
	s.Set(nodes())
	now := start
	for _, pause := range []time.Duration{failedPause, 2 * failedPause, 4 * failedPause} {
		s.Failed(now, "e-a1")
		_, ok := s.Next(now.Add(pause-1), false)
		assert.Assert(t, !ok)
		now = now.Add(pause)
		_, ok = s.Next(now, false)
		assert.Assert(t, ok)
	}
	s.Answered("e-a1")
	s.Failed(now, "e-a1")
	_, ok := s.Next(now.Add(failedPause), false)
	assert.Assert(t, ok, "the pause begins anew")
}

// Before the platform lists any node, those that ask are known.
func TestNodesThatAskAreKnown(t *testing.T) {
	s := NewSources("e-a1", "a")
	s.AddRequester(Node{"e-a2", "a", "10.1.0.2:1"})
	assert.Assert(t, s.IsReader())
	assert.DeepEqual(t, asked(s, true), []string{"e-a2"})

	s = NewSources("e-a1", "a")
	s.AddRequester(Node{"e-a2", "a", "10.1.0.9:1"})
	s.Set(nodes())
	n, ok := s.Next(start, true)
	assert.Assert(t, ok)
	assert.Equal(t, n.Address, "10.1.0.2:1", "the list goes before what a node said of itself")
}
