package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// waitForHolder runs the simulation until the lease is held and all nodes are
// listed, and returns the holder.
func waitForHolder(sim *simulation) *node {
	sim.run(10 * time.Second)
	return sim.holders()[0]
}

// countHeldTicks runs the simulation for d and counts the ticks at which the
// lease is held.
func countHeldTicks(sim *simulation, d time.Duration) (held, total int) {
	for range int(d / tick) {
		sim.run(tick)
		total++
		held += len(sim.holders())
	}
	return held, total
}

func TestCrashedHolderIsReplaced(t *testing.T) {
	o := testOptions("")
	// One read may be in flight when the row changes. A takeover takes a read and
	// a write of at most one tick each way, and starts at a tick.
	bound := o.compensateDrift(o.compensateDrift(o.Duration)) + o.RetryEvery + o.PollEvery + 6*tick
	longest := 0
	for seed := range uint64(20) {
		sim := newSimulation(seed, faults{drift: 20_000}, testNodes(3, nil)...)
		sim.kill(waitForHolder(sim))
		held, total := countHeldTicks(sim, bound)
		longest = max(longest, total-held)
		assert.Equal(t, len(sim.holders()), 1, "seed %d: no holder after %v", seed, bound)
		assert.Equal(t, sim.violation, "")
	}
	t.Logf("longest time without a holder: %v, bound %v", time.Duration(longest)*tick, bound)
}

func TestPlannedStopHandsOver(t *testing.T) {
	sim := newSimulation(1, faults{}, testNodes(3, nil)...)
	old := waitForHolder(sim)
	sim.step(old, old.m, Stop{})
	held, total := countHeldTicks(sim, time.Second)
	t.Logf("ticks without a holder: %d", total-held)
	assert.Assert(t, total-held <= 5, "%d ticks without a holder", total-held)
	assert.Assert(t, sim.holders()[0] != old)
}

// TestOutageKeepsLease compares an outage in which promises keep the lease with one
// without promises and one in which a candidate does not answer.
func TestOutageKeepsLease(t *testing.T) {
	const outage = 10 * time.Minute
	tests := []struct {
		name    string
		nodes   int
		disturb func(*simulation, *node)
		whole   bool
	}{
		{name: "only candidate", nodes: 1, whole: true},
		{name: "two candidates", nodes: 2, whole: true},
		{name: "32 candidates", nodes: 32, whole: true},
		{name: "freezing", nodes: 2, disturb: func(_ *simulation, n *node) { n.m.disabled.promises = true }},
		{name: "silent candidate", nodes: 3, disturb: func(sim *simulation, n *node) { sim.kill(otherNode(sim, n)) }},
		{name: "restarted candidate", nodes: 3, whole: true, disturb: func(sim *simulation, n *node) { sim.restart(otherNode(sim, n)) }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			sim := newSimulation(1, faults{drift: 20_000, lost: 20}, testNodes(tc.nodes, nil)...)
			holder := waitForHolder(sim)
			sim.outage = true
			if tc.disturb != nil {
				tc.disturb(sim, holder)
			}
			held, total := countHeldTicks(sim, outage)
			t.Logf("lease held for %d of %d ticks, %d promise requests", held, total, sim.promiseRequests)
			// The limit allows 10% more than one request per round for lost ones.
			rounds := int(outage / holder.opts.AskEvery)
			assert.Assert(t, sim.promiseRequests <= (tc.nodes-1)*rounds*11/10, "%d requests", sim.promiseRequests)
			assert.Equal(t, sim.violation, "")
			if tc.whole {
				assert.Equal(t, held, total)
				return
			}
			longest := holder.opts.compensateDrift(holder.opts.Duration) + tick
			assert.Assert(t, held <= int(longest/tick), "%d ticks", held)
		})
	}
}

func otherNode(sim *simulation, holder *node) *node {
	for _, n := range sim.nodes {
		if n != holder {
			return n
		}
	}
	return nil
}

// TestDeadCandidateIsRemoved kills a candidate before an outage. Its missing
// promises must not end the lease once the platform no longer lists its VM.
func TestDeadCandidateIsRemoved(t *testing.T) {
	sim := newSimulation(1, faults{}, testNodes(3, nil)...)
	holder := waitForHolder(sim)
	sim.kill(otherNode(sim, holder))
	sim.run(holder.opts.VMListLag + holder.opts.VMsEvery + 2*holder.opts.RenewEvery)
	assert.Equal(t, len(sim.table.regs), 2)
	sim.outage = true
	held, total := countHeldTicks(sim, time.Minute)
	assert.Equal(t, held, total)
}
