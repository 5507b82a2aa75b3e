package updates

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

// drainSources lists the nodes that are asked if each one fails in turn.
func drainSources(s *Sources, platformUnreachable bool) []string {
	var out []string
	for {
		n, ok := s.Next(start, platformUnreachable)
		if !ok {
			return out
		}
		out = append(out, n.VM)
		s.Failed(start, n.VM)
	}
}

func TestRequestOrder(t *testing.T) {
	for _, test := range []struct {
		vm, dataCentre string
		reachable      []string
		unreachable    []string
	}{
		{"e-a1", "a", nil, []string{"e-a2", "e-b1", "e-b2", "e-c1", "e-c2"}},
		{"e-a2", "a", []string{"e-a1"}, []string{"e-a1", "e-b1", "e-b2", "e-c1", "e-c2"}},
		{"e-b1", "b", []string{"e-a1", "e-a2"}, []string{"e-a1", "e-a2", "e-b2", "e-c1", "e-c2"}},
		{"e-c3", "c", []string{"e-c1", "e-c2", "e-a1", "e-a2", "e-b1", "e-b2"}, []string{"e-c1", "e-c2", "e-a1", "e-a2", "e-b1", "e-b2"}},
	} {
		s := NewSources(test.vm, test.dataCentre)
		s.Set(nodes())
		assert.Equal(t, s.IsReader(), test.reachable == nil, test.vm)
		assert.DeepEqual(t, drainSources(s, false), test.reachable)
		s = NewSources(test.vm, test.dataCentre)
		s.Set(nodes())
		assert.DeepEqual(t, drainSources(s, true), test.unreachable)
	}
}

// Guards against nodes that ask each other in a cycle, so that none of them
// reads from the platform.
func TestNoRequestCycles(t *testing.T) {
	preceding := map[string][]Node{}
	for _, n := range nodes() {
		s := NewSources(n.VM, n.DataCentre)
		s.Set(nodes())
		preceding[n.VM] = s.preceding
	}
	var visit func(vm string, path map[string]bool)
	visit = func(vm string, path map[string]bool) {
		assert.Assert(t, !path[vm], "%s asks itself through other nodes", vm)
		path[vm] = true
		for _, n := range preceding[vm] {
			visit(n.VM, path)
		}
		delete(path, vm)
	}
	for vm := range preceding {
		visit(vm, map[string]bool{})
	}
}

// A node that is gone for good may stay listed. The next node must read from the
// platform in its place, and nodes of other data centres must ask that one.
func TestNextNodeReadsAfterFailure(t *testing.T) {
	s := NewSources("e-a2", "a")
	s.Set(nodes())
	assert.Assert(t, !s.IsReader())
	s.Failed(start, "e-a1")
	assert.Assert(t, s.IsReader())
	assert.Assert(t, s.IsReader(), "still the reader after the first check")
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

func TestFailedNodeBackoff(t *testing.T) {
	s := NewSources("e-a2", "a")
	s.Set(nodes())
	now := start
	for _, backoff := range []time.Duration{initialBackoff, 2 * initialBackoff, 4 * initialBackoff} {
		s.Failed(now, "e-a1")
		_, ok := s.Next(now.Add(backoff-1), false)
		assert.Assert(t, !ok)
		now = now.Add(backoff)
		_, ok = s.Next(now, false)
		assert.Assert(t, ok)
	}
	s.Answered("e-a1")
	s.Failed(now, "e-a1")
	_, ok := s.Next(now.Add(initialBackoff), false)
	assert.Assert(t, ok, "an answer resets the back-off")
}

// Until the platform lists any node, the only known nodes are those that have
// asked this one.
func TestRequestersAreUsedAsSources(t *testing.T) {
	s := NewSources("e-a1", "a")
	s.AddRequester(Node{"e-a2", "a", "10.1.0.2:1"})
	assert.Assert(t, s.IsReader())
	assert.DeepEqual(t, drainSources(s, true), []string{"e-a2"})

	s = NewSources("e-a1", "a")
	s.AddRequester(Node{"e-a2", "a", "10.1.0.9:1"})
	s.Set(nodes())
	n, ok := s.Next(start, true)
	assert.Assert(t, ok)
	assert.Equal(t, n.Address, "10.1.0.2:1", "the listed address overrides the one in a request")
}
