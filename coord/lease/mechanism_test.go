package lease

import (
	"testing"

	"gotest.tools/v3/assert"
)

// harshFaults are fault rates under which each mechanism is needed.
var harshFaults = faults{
	late: 100, lost: 150, duplicated: 200, pause: 8, restart: 3, kill: 0,
	outage: 8, partition: 15, stop: 0, drift: 24_000,
}

const (
	intactRuns   = 30  // with all mechanisms enabled
	disabledRuns = 150 // with one disabled, until an invariant is violated
)

// findViolation returns the first run that violates an invariant, and the
// violation.
func findViolation(runs uint64, f faults, nodes int, edit func(*Options), off mechanisms, ignoreUnfencedFrom bool) (uint64, string) {
	for seed := range runs {
		sim := newSimulation(seed, f, testNodes(nodes, edit)...)
		sim.disabled = off
		for _, n := range sim.nodes {
			n.m.disabled = off
		}
		sim.ignoreUnfencedFrom = ignoreUnfencedFrom
		sim.run(randomRunTime)
		if sim.violation != "" {
			return seed, sim.violation
		}
	}
	return runs, ""
}

// TestEachMechanismIsNeeded disables one mechanism at a time and expects an
// invariant to be violated. With all of them enabled, none must be.
func TestEachMechanismIsNeeded(t *testing.T) {
	drifting := harshFaults
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
	stopping := harshFaults
	stopping.stop = 10
	stopping.restart = 10
	dying := harshFaults
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
		{name: "takeover wait", faults: harshFaults, nodes: 3, off: mechanisms{takeoverWait: true}},
		{name: "read-back", faults: harshFaults, nodes: 3, off: mechanisms{readBack: true}},
		{name: "promise of all", faults: harshFaults, nodes: 4, off: mechanisms{promiseOfAll: true}},
		{name: "listed candidates only", faults: dying, nodes: 4, off: mechanisms{listedOnly: true}},
		{name: "keep promise", faults: harshFaults, nodes: 3, off: mechanisms{keepPromise: true}},
		{name: "drift bound", faults: drifting, nodes: 3, edit: wideDrift, editOff: noDrift},
		{name: "wait for unfenced orders", faults: stopping, nodes: 3, edit: fastPoll, editOff: fastPoll, ignoreUnfencedFrom: true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, on := findViolation(intactRuns, tc.faults, tc.nodes, tc.edit, mechanisms{}, false)
			assert.Equal(t, on, "")
			seed, off := findViolation(disabledRuns, tc.faults, tc.nodes, tc.editOff, tc.off, tc.ignoreUnfencedFrom)
			assert.Assert(t, off != "", "none of %d runs violated an invariant", disabledRuns)
			t.Logf("run %d: %s", seed, off)
		})
	}
}
