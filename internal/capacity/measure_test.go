package capacity

import (
	"flag"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var pagePath = flag.String("page", "", "file whose measured part is replaced; without it, nothing is measured")

// Markers around the measured part of the page.
const (
	beginMark = "<!-- measured: begin -->\n"
	endMark   = "<!-- measured: end -->\n"
)

// TestMeasure measures the slopes and writes the capacity tables that follow
// from them to the page. It asserts counts, but no timings.
func TestMeasure(t *testing.T) {
	if *pagePath == "" {
		t.Skip("-page is not set; run `make capacity`")
	}
	s := measure(t)
	text := Page(s, Design)
	raw, err := os.ReadFile(*pagePath)
	assert.NilError(t, err)
	before, rest, ok := strings.Cut(string(raw), beginMark)
	assert.Assert(t, ok, "%s has no %s", *pagePath, beginMark)
	_, after, ok := strings.Cut(rest, endMark)
	assert.Assert(t, ok, "%s has no %s", *pagePath, endMark)
	assert.NilError(t, os.WriteFile(*pagePath, []byte(before+beginMark+text+endMark+after), 0o644))
	t.Log("\n" + text)
}

func measure(t *testing.T) Slopes {
	s := Slopes{Traffic: map[int]Traffic{}}
	measureBytes(t, &s.Bytes)
	measureMemory(t, &s.Memory)
	measureLeaseCalls(&s)
	measureLease(t, &s.CPU)
	measureGroups(t, &s.CPU)
	measureRequests(t, &s.CPU)
	measureBudget(t, &s.CPU)
	measureClaims(t, &s.CPU)
	measureConfig(t, &s.CPU)
	measureProbe(t, &s.CPU)
	measurePulls(&s.CPU)
	measureStream(t, &s.CPU)
	_, vms, _ := Design.PerDataCentre()
	measureTraffic(t, &s, 4, vms/4, 2, 2)
	measureTraffic(t, &s, 32, vms, 32)
	measureTraffic(t, &s, Design.Nodes, vms, designEntries()...)
	return s
}

// measureTraffic runs a whole system without a network. It asserts that the
// traffic between entry VMs, except at the coordinator, fits the byte budget.
func measureTraffic(t *testing.T, s *Slopes, nodes, vms int, entries ...int) {
	const rounds = 24
	f := settledFleet(s.Bytes.CallHeader, vms, 1, entries...)
	f.reset()
	start := cpuTime()
	f.run(rounds)
	used := cpuTime() - start
	all, coord, rest := f.traffic(rounds, anyNode), f.traffic(rounds, isCoordinator), f.traffic(rounds, isOrdinary)
	tr := Traffic{
		GossipWithin:  all.byKind[gossipWithin],
		GossipBetween: all.byKind[gossipBetween],
		Reports:       rest.byKind["reports"],
		Coordinator:   coord.byKind["reports"],
		CPU:           used.Seconds() / (rounds * interval.Seconds()) / float64(len(f.nodes)),
	}
	for _, n := range f.nodes {
		gossipBytes := float64(n.bytes[gossipWithin]+n.bytes[gossipBetween]) / rounds / interval.Seconds()
		tr.GossipMost = max(tr.GossipMost, gossipBytes)
		tr.MostProbed = max(tr.MostProbed, len(n.probedVMs))
	}
	assert.Assert(t, rest.mean <= ByteBudget)
	s.Traffic[nodes] = tr
}
