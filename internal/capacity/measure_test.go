package capacity

import (
	"flag"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var page = flag.String("page", "", "file whose measured part is written anew; no measurement without it")

// Marks around the measured part of the page.
const (
	beginMark = "<!-- measured: begin -->\n"
	endMark   = "<!-- measured: end -->\n"
)

// TestMeasure measures the slopes and prints the capacity table from them. It
// asserts counts, but nothing of timings.
func TestMeasure(t *testing.T) {
	if *page == "" {
		t.Skip("no -page; run `make capacity`")
	}
	s := measure(t)
	text := Page(s, Design)
	raw, err := os.ReadFile(*page)
	assert.NilError(t, err)
	before, rest, ok := strings.Cut(string(raw), beginMark)
	assert.Assert(t, ok, "%s has no %s", *page, beginMark)
	_, after, ok := strings.Cut(rest, endMark)
	assert.Assert(t, ok, "%s has no %s", *page, endMark)
	assert.NilError(t, os.WriteFile(*page, []byte(before+beginMark+text+endMark+after), 0o644))
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

// measureTraffic runs a whole system without a network. What entry VMs
// exchange fits the budget of bytes but for the coordinator.
func measureTraffic(t *testing.T, s *Slopes, nodes, vms int, entries ...int) {
	const rounds = 24
	f := measured(s.Bytes.CallHeader, vms, 1, entries...)
	f.reset()
	start := cpuTime()
	f.run(rounds)
	used := cpuTime() - start
	all, coord, rest := f.traffic(rounds, everyNode), f.traffic(rounds, coordinates), f.traffic(rounds, ordinary)
	tr := Traffic{
		GossipWithin:  all.byKind[gossipWithin],
		GossipBetween: all.byKind[gossipBetween],
		Reports:       rest.byKind["reports"],
		Coordinator:   coord.byKind["reports"],
		CPU:           used.Seconds() / (rounds * interval.Seconds()) / float64(len(f.nodes)),
	}
	for _, n := range f.nodes {
		gossips := float64(n.bytes[gossipWithin]+n.bytes[gossipBetween]) / rounds / interval.Seconds()
		tr.GossipMost = max(tr.GossipMost, gossips)
		tr.MostProbed = max(tr.MostProbed, len(n.probed))
	}
	assert.Assert(t, rest.mean <= ByteBudget)
	s.Traffic[nodes] = tr
}
