package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// settle runs until the lease is held and all nodes are listed.
func settle(w *world) *node {
	w.run(10 * time.Second)
	return w.holders()[0]
}

// heldTicks runs for d and counts the ticks at which the lease is held.
func heldTicks(w *world, d time.Duration) (held, total int) {
	for range int(d / tick) {
		w.run(tick)
		total++
		held += len(w.holders())
	}
	return held, total
}

func TestCrashedHolderIsReplaced(t *testing.T) {
	o := testOptions("")
	// One read may be under way when the row changes; a takeover takes a read
	// and a write of at most a tick each way, and starts at a tick.
	bound := o.stretch(o.stretch(o.Duration)) + o.RetryEvery + o.PollEvery + 6*tick
	longest := 0
	for seed := range uint64(20) {
		w := newWorld(seed, faults{drift: 20_000}, testNodes(3, nil)...)
		w.kill(settle(w))
		held, total := heldTicks(w, bound)
		longest = max(longest, total-held)
		assert.Equal(t, len(w.holders()), 1, "seed %d: no holder after %v", seed, bound)
		assert.Equal(t, w.broken, "")
	}
	t.Logf("longest time without a holder: %v, bound %v", time.Duration(longest)*tick, bound)
}

func TestPlannedStopHandsOver(t *testing.T) {
	w := newWorld(1, faults{}, testNodes(3, nil)...)
	old := settle(w)
	w.step(old, old.m, Stop{})
	held, total := heldTicks(w, time.Second)
	t.Logf("ticks without a holder: %d", total-held)
	assert.Assert(t, total-held <= 5, "%d ticks without a holder", total-held)
	assert.Assert(t, w.holders()[0] != old)
}

// TestOutageKeepsLease compares control kept in an outage by promises with
// freezing all control, and with one candidate that does not answer.
func TestOutageKeepsLease(t *testing.T) {
	const outage = 10 * time.Minute
	tests := []struct {
		name    string
		nodes   int
		disturb func(*world, *node)
		whole   bool
	}{
		{name: "only candidate", nodes: 1, whole: true},
		{name: "two candidates", nodes: 2, whole: true},
		{name: "32 candidates", nodes: 32, whole: true},
		{name: "freezing", nodes: 2, disturb: func(_ *world, n *node) { n.m.off.promises = true }},
		{name: "silent candidate", nodes: 3, disturb: func(w *world, n *node) { w.kill(other(w, n)) }},
		{name: "restarted candidate", nodes: 3, whole: true, disturb: func(w *world, n *node) { w.restart(other(w, n)) }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(1, faults{drift: 20_000, lost: 20}, testNodes(tc.nodes, nil)...)
			holder := settle(w)
			w.outage = true
			if tc.disturb != nil {
				tc.disturb(w, holder)
			}
			held, total := heldTicks(w, outage)
			t.Logf("control for %d of %d ticks, %d requests for promises", held, total, w.asks)
			// A tenth more than one request a round allows for those lost.
			rounds := int(outage / holder.opts.AskEvery)
			assert.Assert(t, w.asks <= (tc.nodes-1)*rounds*11/10, "%d requests", w.asks)
			assert.Equal(t, w.broken, "")
			if tc.whole {
				assert.Equal(t, held, total)
				return
			}
			longest := holder.opts.stretch(holder.opts.Duration) + tick
			assert.Assert(t, held <= int(longest/tick), "%d ticks", held)
		})
	}
}

func other(w *world, holder *node) *node {
	for _, n := range w.nodes {
		if n != holder {
			return n
		}
	}
	return nil
}

// TestDeadCandidateIsRemoved lets a candidate die before an outage; its
// silence must not end the lease once the platform has listed it as gone.
func TestDeadCandidateIsRemoved(t *testing.T) {
	w := newWorld(1, faults{}, testNodes(3, nil)...)
	holder := settle(w)
	w.kill(other(w, holder))
	w.run(holder.opts.VMListLag + holder.opts.VMsEvery + 2*holder.opts.RenewEvery)
	assert.Equal(t, len(w.table.regs), 2)
	w.outage = true
	held, total := heldTicks(w, time.Minute)
	assert.Equal(t, held, total)
}
