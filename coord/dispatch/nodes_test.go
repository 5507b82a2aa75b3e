package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// stopInTurn tells nodes that they leave the list one after the other, those with
// the lowest index last. A node that has left learns of no shorter list.
func stopInTurn(now time.Time, nodes []*Table) {
	for listed := len(nodes); listed > 0; listed-- {
		for i := range listed {
			nodes[i].SetNodes(now, listed, i)
		}
	}
}

func TestStoppingNodesKeepTheirShareOfAColdEndpointsRate(t *testing.T) {
	const nodes, limit = 4, 59 // 36 times the overage of 1.5, plus the slack of 5
	var all []*scenario
	var tables []*Table
	for range nodes {
		s := newScenario(1)
		vm := s.vms.Get(vmID(0, 0))
		vm.ColdUntil = s.now.Add(10 * time.Second)
		vm.Slots = 1000
		s.update()
		all = append(all, s)
		tables = append(tables, s.table)
	}
	stopInTurn(start, tables)
	sent := 0
	for _, s := range all {
		for i := range 100 {
			if ticket, _ := s.pick(i); ticket != nil {
				s.table.Done(s.now, ticket, Succeeded)
				sent++
			}
		}
	}
	assert.Assert(t, sent <= limit, "%d requests", sent)
}

func TestStoppingNodesKeepTheirShareOfALimit(t *testing.T) {
	const perSecond, seconds = 20, 4
	nodes := limitedNodes(start, 4, perSecond, "a")
	stopInTurn(start, nodes)
	sent := 0
	now := start
	for range seconds * 20 {
		now = now.Add(50 * time.Millisecond)
		for _, node := range nodes {
			for {
				ticket, refusal := node.Pick(now, Query{Service: "shop"})
				if refusal != nil {
					break
				}
				node.Done(now, ticket, Succeeded)
				sent++
			}
		}
	}
	assert.Assert(t, float64(sent) <= 1.5*perSecond*seconds+5, "%d in %d s", sent, seconds)
}

// sharers is the largest count of departedHold, also if counts rise and fall in it.
func TestSharersAreTheLargestRecentCount(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var c nodeCounts
		type listing struct {
			n        int
			from, to time.Time
		}
		var all []listing
		now := start
		for range rapid.IntRange(1, 30).Draw(rt, "lists") {
			n := rapid.IntRange(1, 9).Draw(rt, "n")
			if len(all) > 0 {
				all[len(all)-1].to = now
			}
			all = append(all, listing{n: n, from: now})
			c.set(now, n)
			now = now.Add(rapid.SampledFrom([]time.Duration{time.Second, departedHold / 3, departedHold}).Draw(rt, "pause"))
			want := n
			for _, l := range all[:len(all)-1] {
				if now.Sub(l.to) < departedHold {
					want = max(want, l.n)
				}
			}
			assert.Equal(rt, c.sharers(now), want)
		}
	})
}

func TestRestartsDoNotRefillAColdEndpointsRate(t *testing.T) {
	const nodes, limit = 4, 59 // 36 times the overage of 1.5, plus the slack of 5
	sent := 0
	for range 2 {
		for rank := range nodes {
			s := newScenario(1)
			vms, now := s.vms, start.Add(500*time.Millisecond)
			opts := testOptions()
			opts.StartedAt = now
			s.now, s.table = now, New(opts)
			s.table.SetNodes(now, nodes, rank)
			vm := vms.Get(vmID(0, 0))
			vm.ColdUntil = now.Add(10 * time.Second)
			vm.Slots = 1000
			s.update()
			for i := range 100 {
				if ticket, _ := s.pick(i); ticket != nil {
					s.table.Done(s.now, ticket, Succeeded)
					sent++
				}
			}
		}
	}
	assert.Assert(t, sent <= limit, "%d requests", sent)
}
