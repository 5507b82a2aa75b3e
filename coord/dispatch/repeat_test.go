package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// repeatSite has nodes that share the budget of repeats of one service, and records
// what all of them do.
type repeatSite struct {
	t                 *testing.T
	opts              Options
	now               time.Time
	nodes             []*Table
	requests, repeats []time.Time
}

func newRepeatSite(t *testing.T) *repeatSite {
	const nodes = 4
	s := &repeatSite{t: t, opts: testOptions(), now: start}
	for range nodes {
		s.nodes = append(s.nodes, s.newNode())
	}
	s.setNodes(nodes)
	s.pass(2 * s.opts.RepeatWindow)
	return s
}

// newNode returns a node that starts now.
func (s *repeatSite) newNode() *Table {
	opts := s.opts
	opts.StartedAt = s.now
	return New(opts)
}

// setNodes tells all nodes how many they are.
func (s *repeatSite) setNodes(n int) {
	for i, node := range s.nodes {
		node.SetNodes(s.now, n, i)
	}
}

func (s *repeatSite) pass(d time.Duration) { s.now = s.now.Add(d) }

// request counts n requests at a node.
func (s *repeatSite) request(node *Table, n int) {
	for range n {
		node.CountRequest(s.now, "llm")
		s.requests = append(s.requests, s.now)
	}
}

// repeat makes up to n repeats at a node, as far as its budget allows.
func (s *repeatSite) repeat(node *Table, n int, begun bool) {
	for range n {
		if _, ok := node.takeRepeat(s.now, "llm", begun); !ok {
			return
		}
		s.repeats = append(s.repeats, s.now)
	}
}

// spend lets time pass in which every node gets requests, of which all are to be
// sent again.
func (s *repeatSite) spend(d time.Duration) {
	const step = 50 * time.Millisecond
	for ; d > 0; d -= step {
		for _, n := range s.nodes {
			s.request(n, 3)
			s.repeat(n, 3, true)
		}
		s.pass(step)
	}
}

// countIn returns how many moments lie in the window that begins at from.
func (s *repeatSite) countIn(moments []time.Time, from time.Time) int {
	n := 0
	for _, at := range moments {
		if !at.Before(from) && at.Before(from.Add(s.opts.RepeatWindow)) {
			n++
		}
	}
	return n
}

// assertWithinBudget checks that the repeats of no window exceed the ratio of the
// requests, in that window or one that began up to a window earlier, plus the slack.
func (s *repeatSite) assertWithinBudget() {
	s.t.Helper()
	window := s.opts.RepeatWindow
	for _, from := range s.repeats {
		requests := max(s.countIn(s.requests, from), s.countIn(s.requests, from.Add(-window/2)), s.countIn(s.requests, from.Add(-window)))
		allowed := s.opts.RepeatRatio*float64(requests) + s.opts.RepeatSlack
		repeats := s.countIn(s.repeats, from)
		assert.Assert(s.t, float64(repeats) <= allowed, "%d repeats from %s on, %.0f allowed for %d requests", repeats, from.Sub(start), allowed, requests)
	}
}

func TestRestartsDoNotRefillTheBudgetOfRepeats(t *testing.T) {
	s := newRepeatSite(t)
	for range 6 {
		s.spend(1500 * time.Millisecond)
		for i := range s.nodes {
			s.nodes[i] = s.newNode()
		}
		s.setNodes(len(s.nodes))
	}
	s.spend(5 * time.Second)
	s.assertWithinBudget()
}

// Nodes that stop leave the list of nodes first, and learn no shorter one.
func TestStoppingNodesKeepTheirShareOfTheBudget(t *testing.T) {
	s := newRepeatSite(t)
	for listed := 4; listed > 0; listed-- {
		for i := range listed {
			s.nodes[i].SetNodes(s.now, listed, i)
		}
		s.spend(time.Second)
	}
	s.spend(5 * time.Second)
	s.assertWithinBudget()
}

// A node that has heard of no list knows of no others.
func TestNodeWithoutAListOfNodesHasNoSlack(t *testing.T) {
	s := newRepeatSite(t)
	for i := range s.nodes {
		s.nodes[i] = s.newNode()
	}
	s.pass(2 * s.opts.RepeatWindow)
	s.spend(10 * time.Second)
	s.assertWithinBudget()
}

// The first repeats come at the end of a bucket, and more as soon as their bucket
// has left the window.
func TestBurstsOfRepeatsAWindowApartStayWithinTheBudget(t *testing.T) {
	s := newRepeatSite(t)
	const step = 50 * time.Millisecond
	isBurst := func(elapsed time.Duration) bool {
		return elapsed >= 9950*time.Millisecond && elapsed < 10*time.Second || elapsed >= 19*time.Second
	}
	for elapsed := time.Duration(0); elapsed < 21*time.Second; elapsed += step {
		for _, n := range s.nodes {
			s.request(n, 3)
			if isBurst(elapsed) {
				s.repeat(n, 200, true)
			}
		}
		s.pass(step)
	}
	s.assertWithinBudget()
}

// Load: the callers of two nodes move to the two others. Later all answers begin to
// break off, also those of streams that the first two still serve.
func TestBudgetOfRepeatsFollowsCallersThatMove(t *testing.T) {
	const step, moved, broken, ended = 50 * time.Millisecond, 10 * time.Second, 13 * time.Second, 16 * time.Second
	s := newRepeatSite(t)
	for elapsed := time.Duration(0); elapsed < 25*time.Second; elapsed += step {
		for i, n := range s.nodes {
			left := i < 2 && elapsed >= moved
			switch {
			case left:
			case elapsed >= moved:
				s.request(n, 6)
			default:
				s.request(n, 3)
			}
			served := !left || elapsed < ended
			if served && elapsed >= broken {
				s.repeat(n, 100, true)
			}
		}
		s.pass(step)
	}
	s.assertWithinBudget()
}
