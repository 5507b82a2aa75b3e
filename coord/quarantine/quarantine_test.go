package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	first  Part = 0xf1 // shared by sound and deadly prompts
	deadly Part = 0xdead
)

// site has nodes that ask the first of them for updates.
type site struct {
	t     *testing.T
	now   time.Time
	nodes []*Record
	asked []time.Time // of the last update sent to the first node, by node
	ended map[Start]bool
	vms   int
}

func newSite(t *testing.T, nodes int) *site {
	s := &site{t: t, now: time.Unix(1000, 0), asked: make([]time.Time, nodes), ended: make(map[Start]bool)}
	for range nodes {
		s.nodes = append(s.nodes, NewRecord())
	}
	return s
}

// pass lets time pass; every 200 ms the nodes ask the first one.
func (s *site) pass(d time.Duration) (added []Part) {
	const interval = 200 * time.Millisecond
	for left := d; left > 0; left -= interval {
		s.now = s.now.Add(min(interval, left))
		for i, n := range s.nodes {
			n.Confirm(s.now, s.status)
			quarantined, _ := n.Tick(s.now)
			for _, q := range quarantined {
				added = append(added, q.Part)
			}
			if i > 0 {
				s.exchange(i)
			}
		}
	}
	return added
}

func (s *site) exchange(i int) {
	n := s.nodes[i]
	s.nodes[0].Apply(s.now, s.now, n.UpdateSince(s.now, s.asked[i], true))
	n.Apply(s.now, s.now, s.nodes[0].UpdateSince(s.now, s.asked[i], false))
	s.asked[i] = s.now
}

func (s *site) status(start Start, _ time.Time) Status {
	if s.ended[start] {
		return Ended
	}
	return Unknown
}

// end ends a new endpoint while it holds requests with the given prompts, sent by
// node i.
func (s *site) end(i int, prompts ...[]Part) {
	s.vms++
	start := Start{VM: fmt.Sprint("vm-", s.vms), Born: 1}
	s.ended[start] = true
	for _, parts := range prompts {
		s.nodes[i].RecordBreak(s.now, []Start{start}, parts)
	}
}

func (s *site) answer(i int, parts ...Part) { s.nodes[i].RecordAnswered(s.now, s.now, parts) }

func (s *site) assertQuarantined(want ...Part) {
	s.t.Helper()
	for i, n := range s.nodes {
		assert.Assert(s.t, slices.Equal(n.Parts(), want), "node %d: %v, want %v", i, n.Parts(), want)
	}
}

// A part under which endpoints ended at several nodes is known at all of them. The
// sound part that its prompts share is not blamed.
func TestEndsAtSeveralNodesQuarantineTheirPart(t *testing.T) {
	s := newSite(t, 5)
	s.answer(0, first)
	s.pass(time.Second)
	for i := range endsToQuarantine {
		s.end(i+1, []Part{first, deadly}, []Part{first}, []Part{first, Part(0x100 + i)})
		s.pass(300 * time.Millisecond)
	}
	s.pass(time.Second)
	s.assertQuarantined(deadly)
	for _, n := range s.nodes {
		v := n.Check(s.now, Query{Parts: []Part{first, deadly}})
		assert.Assert(t, v != nil && v.Certain && v.Part == deadly)
		assert.Equal(t, len(v.Ends), endsToQuarantine)
		assert.Assert(t, n.Check(s.now, Query{Parts: []Part{first}}) == nil)
	}
}

// No part is ever blamed for ends that share a moment, as those of a rack.
func TestEndsAtOneMomentQuarantineNothing(t *testing.T) {
	s := newSite(t, 3)
	for i := range 12 {
		s.end(i%3, []Part{first, Part(0x100 + i%2)})
	}
	assert.Equal(t, len(s.pass(10*time.Second)), 0)
}

// A connection that is reset while its endpoint goes on ends nothing.
func TestBrokenConnectionsQuarantineNothing(t *testing.T) {
	s := newSite(t, 1)
	for i := range 10 {
		start := Start{VM: fmt.Sprint("vm-", i), Born: 1}
		s.nodes[0].RecordBreak(s.now, []Start{start, {VM: "member", Born: 1}}, []Part{deadly})
		s.nodes[0].Confirm(s.now, s.status)
		assert.DeepEqual(t, s.nodes[0].Unconfirmed(), []string{"member", start.VM})
		s.nodes[0].Confirm(s.now, func(x Start, _ time.Time) Status {
			if x == start {
				return Answered
			}
			return Unknown
		})
		assert.DeepEqual(t, s.nodes[0].Unconfirmed(), []string{"member"})
		s.nodes[0].Confirm(s.now, func(Start, time.Time) Status { return Answered })
		assert.Equal(t, len(s.nodes[0].Unconfirmed()), 0)
		assert.Equal(t, len(s.pass(time.Second)), 0)
	}
}

// An end counts if a member of the group ended, and not the VM that received the
// requests.
func TestEndOfMemberCounts(t *testing.T) {
	s := newSite(t, 1)
	for i := range endsToQuarantine {
		member := Start{VM: fmt.Sprint("member-", i), Born: 1}
		s.ended[member] = true
		s.nodes[0].RecordBreak(s.now, []Start{{VM: fmt.Sprint("head-", i), Born: 1}, member}, []Part{deadly})
		s.pass(time.Second)
	}
	s.assertQuarantined(deadly)
}

// Answers at another node clear a part that ends alone would quarantine.
func TestAnswersAtOtherNodesClearAPart(t *testing.T) {
	s := newSite(t, 3)
	for range 4 * answeredEndsToQuarantine {
		s.end(1, []Part{first})
		s.pass(400 * time.Millisecond)
		s.answer(2, first)
		s.pass(400 * time.Millisecond)
	}
	s.assertQuarantined()
}

// A part that was sound and ends endpoints from some moment on is quarantined, but
// only after more ends and once other nodes could have cleared it.
func TestPartThatWasSoundIsQuarantinedLater(t *testing.T) {
	s := newSite(t, 2)
	s.answer(1, deadly)
	s.pass(time.Second)
	for range answeredEndsToQuarantine - 1 {
		s.end(0, []Part{deadly})
		s.pass(400 * time.Millisecond)
	}
	s.pass(2 * clearingPeriod)
	s.assertQuarantined()
	s.end(0, []Part{deadly})
	s.pass(clearingPeriod / 2)
	s.assertQuarantined()
	s.pass(clearingPeriod)
	s.assertQuarantined(deadly)
}

// Of parts that ended the same endpoints, the last one of the prompts is blamed.
func TestLastOfSharedPartsIsBlamed(t *testing.T) {
	s := newSite(t, 1)
	for range endsToQuarantine {
		s.end(0, []Part{first, deadly})
		s.pass(time.Second)
	}
	s.assertQuarantined(deadly)
}

// The first part is blamed if the parts after it differ.
func TestFirstPartMayBeBlamed(t *testing.T) {
	s := newSite(t, 1)
	for i := range endsToQuarantine {
		s.end(0, []Part{deadly, Part(0x100 + i)})
		s.pass(time.Second)
	}
	s.assertQuarantined(deadly)
}

// A node that starts later, or that was cut off, hears of everything with the first
// answer.
func TestNewNodeHearsOfQuarantine(t *testing.T) {
	s := newSite(t, 2)
	for range endsToQuarantine {
		s.end(1, []Part{first, deadly})
		s.pass(time.Second)
	}
	s.nodes = append(s.nodes, NewRecord())
	s.asked = append(s.asked, time.Time{})
	s.exchange(2)
	s.assertQuarantined(deadly)
}

// After its term a quarantined part is tried by one request at one node; if it ends
// an endpoint again, the term begins anew, and if it is answered, all release it.
func TestQuarantinedPartIsTriedOnce(t *testing.T) {
	s := newSite(t, 3)
	for range endsToQuarantine {
		s.end(1, []Part{deadly})
		s.pass(time.Second)
	}
	s.assertQuarantined(deadly)
	query := func(node int) bool {
		return s.nodes[node].Check(s.now, Query{Parts: []Part{deadly}, MayTry: node == 0}) == nil
	}
	assert.Assert(t, !query(0) && !query(1))
	s.pass(quarantineTerm)
	assert.Assert(t, !query(1) && query(0) && !query(0) && !query(2))
	s.end(0, []Part{deadly})
	s.pass(trialTimeout + time.Second)
	assert.Assert(t, !query(0) && !query(1))
	s.pass(quarantineTerm)
	assert.Assert(t, query(0))
	s.answer(0, deadly)
	s.pass(time.Second)
	s.assertQuarantined()
	assert.Assert(t, query(0) && query(1))
}

// A request that broke off is not sent again while its part may end endpoints.
func TestSuspectedRequestIsNotRepeated(t *testing.T) {
	s := newSite(t, 1)
	repeat := Query{Parts: []Part{first, deadly}, Repeat: true}
	s.answer(0, first)
	s.end(0, []Part{first, deadly})
	assert.Assert(t, s.nodes[0].Check(s.now, repeat) == nil)
	s.pass(minEndGap)
	s.end(0, []Part{first, deadly})
	v := s.nodes[0].Check(s.now, repeat)
	assert.Assert(t, v != nil && !v.Certain && v.Part == deadly)
	assert.Assert(t, s.nodes[0].Check(s.now, Query{Parts: repeat.Parts}) == nil)
	assert.Assert(t, s.nodes[0].Check(s.now, Query{Parts: []Part{first}, Repeat: true}) == nil)
}

// Whatever callers send, the tables stay within their limits, and what a node has
// learned reaches another one.
func TestTablesAreBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		a, b := NewRecord(), NewRecord()
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
			base := rapid.Uint64Range(0, 50).Draw(rt, "base")
			parts := make([]Part, rapid.IntRange(0, 2*maxPartsPerEnd).Draw(rt, "parts"))
			for i := range parts {
				parts[i] = Part(base*7 + uint64(i))
			}
			start := Start{VM: fmt.Sprint(rapid.IntRange(0, 300).Draw(rt, "vm")), Born: 1}
			if rapid.Bool().Draw(rt, "answered") {
				a.RecordAnswered(now, now, parts)
			} else {
				a.RecordBreak(now, []Start{start}, parts)
			}
			a.Confirm(now, func(s Start, _ time.Time) Status { return Status(len(s.VM) % 3) })
			a.Tick(now)
			b.Apply(now, now, a.UpdateSince(now, time.Time{}, true))
			for _, r := range []*Record{a, b} {
				assert.Assert(rt, len(r.ends) <= maxEnds && len(r.quarantined) <= maxQuarantined)
				assert.Assert(rt, len(r.own.newer) <= maxRecent && len(r.own.older) <= maxRecent)
				for _, e := range r.ends {
					assert.Assert(rt, len(e.depths) <= maxPartsPerEnd)
				}
			}
		}
		for _, p := range a.Parts() {
			assert.Assert(rt, slices.Contains(b.Parts(), p) || !b.answeredAt(p).IsZero())
		}
	})
}
