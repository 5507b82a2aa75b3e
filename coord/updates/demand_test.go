package updates

import (
	"encoding/json"
	"math"
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

// A rate that is no finite number made every answer unencodable, so that the nodes
// that ask this one got nothing at all.
func TestRatesThatAreNoNumbersLeaveAnswersEncodable(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, rate := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, math.MaxFloat64} {
		d := NewDemand()
		d.RecordRequester(now, "e1", rate)
		d.RecordRequester(now, "e2", rate)
		d.RecordRequester(now, "e3", 5)
		d.RecordTotal(now, rate)
		_, err := json.Marshal(Answer{Known: true, Demand: d.Total(now)})
		assert.NilError(t, err)
		assert.Equal(t, d.Total(now), 5.0, "rate %g", rate)
	}
}
