package updates

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Nodes in a tree know which part of all requests each of them gets.
func TestNodesKnowTheirShareOfDemand(t *testing.T) {
	now := time.Unix(1000, 0)
	rates := map[string]int64{"root": 10, "reader": 30, "follower": 60}
	nodes := make(map[string]*Demand)
	for name := range rates {
		nodes[name] = NewDemand()
	}
	ask := func(from, to string) {
		nodes[to].RecordRequester(now, from, nodes[from].Below(now))
		nodes[from].RecordTotal(now, nodes[to].Total(now))
	}
	for i := range int64(100) {
		now = now.Add(200 * time.Millisecond)
		for name, rate := range rates {
			nodes[name].Count(now, i*rate/5)
		}
		ask("follower", "reader")
		ask("reader", "root")
	}
	for name, rate := range rates {
		share, ok := nodes[name].Share(now)
		assert.Assert(t, ok && share > float64(rate-2)/100 && share < float64(rate+2)/100, "%s: %.3f", name, share)
	}

	now = now.Add(demandTTL) // the rates have expired
	_, ok := nodes["root"].Share(now)
	assert.Assert(t, !ok)
}
