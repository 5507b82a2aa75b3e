package lease

import (
	"testing"

	"gotest.tools/v3/assert"
)

// harsh are faults under which each mechanism is needed.
var harsh = faults{
	late: 100, lost: 150, doubled: 200, pause: 8, restart: 3, kill: 0,
	outage: 8, cut: 15, stop: 0, drift: 24_000,
}

const (
	runsOn  = 30  // with all mechanisms on
	runsOff = 150 // with one off, until an invariant breaks
)

// firstBroken returns the first run that breaks an invariant, and how.
func firstBroken(runs uint64, f faults, nodes int, edit func(*Options), off mechanisms, ignoreUnfencedFrom bool) (uint64, string) {
	for seed := range runs {
		w := newWorld(seed, f, testNodes(nodes, edit)...)
		w.off = off
		for _, n := range w.nodes {
			n.m.off = off
		}
		w.ignoreUnfencedFrom = ignoreUnfencedFrom
		w.run(randomRun)
		if w.broken != "" {
			return seed, w.broken
		}
	}
	return runs, ""
}

// TestEachMechanismMatters switches one mechanism off at a time and expects
// an invariant to break, and none to break with all of them on.
func TestEachMechanismMatters(t *testing.T) {
	drifting := harsh
	drifting.drift = 300_000
	fastPoll := func(o *Options) { o.PollEvery, o.RetryEvery = tick, tick }
	wideDrift := func(o *Options) {
		fastPoll(o)
		o.DriftPPM = 900_000
	}
	noDrift := func(o *Options) {
		fastPoll(o)
		o.DriftPPM = 1
	}
	stopping := harsh
	stopping.stop = 10
	stopping.restart = 10
	dying := harsh
	dying.kill = 1
	dying.restart = 10
	tests := []struct {
		name               string
		faults             faults
		nodes              int
		edit, editOff      func(*Options)
		off                mechanisms
		ignoreUnfencedFrom bool
	}{
		{name: "takeover wait", faults: harsh, nodes: 3, off: mechanisms{takeoverWait: true}},
		{name: "read-back", faults: harsh, nodes: 3, off: mechanisms{readBack: true}},
		{name: "promise of all", faults: harsh, nodes: 4, off: mechanisms{promiseOfAll: true}},
		{name: "listed candidates only", faults: dying, nodes: 4, off: mechanisms{listed: true}},
		{name: "keep promise", faults: harsh, nodes: 3, off: mechanisms{keepPromise: true}},
		{name: "drift bound", faults: drifting, nodes: 3, edit: wideDrift, editOff: noDrift},
		{name: "wait for unfenced orders", faults: stopping, nodes: 3, edit: fastPoll, editOff: fastPoll, ignoreUnfencedFrom: true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, on := firstBroken(runsOn, tc.faults, tc.nodes, tc.edit, mechanisms{}, false)
			assert.Equal(t, on, "")
			seed, off := firstBroken(runsOff, tc.faults, tc.nodes, tc.editOff, tc.off, tc.ignoreUnfencedFrom)
			assert.Assert(t, off != "", "no run of %d broke", runsOff)
			t.Logf("run %d: %s", seed, off)
		})
	}
}
