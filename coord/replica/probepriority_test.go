package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// countProbes runs the world for d and returns the number of probes sent.
func (w *world) countProbes(d time.Duration) int {
	before := w.probeCount
	w.run(d)
	return w.probeCount - before
}

// The cost of reports, for VMs and for the lease holder, grows with the fleet.
// VMs are probed as soon as a decision needs a report and no sooner.
func TestMembersOfServingGroupsAreProbedRarely(t *testing.T) {
	w := newServingWorld(t)
	w.probeInterval = 500 * time.Millisecond
	w.run(3 * time.Second)
	members := 0
	for _, g := range w.p.Groups() {
		assert.Equal(t, g.Phase, Serving)
		members += len(g.Members) - 1
	}
	const seconds = 12
	others := len(w.vms) - members
	limit := members*seconds/3 + others*seconds*2 + others
	probes := w.countProbes(seconds * time.Second)
	assert.Assert(t, probes <= limit, "%d probes, want at most %d", probes, limit)
}

// A VM that is joining a group is probed again when the join is likely to be
// done.
func TestFirstGroupsFormWithFewProbes(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.probeInterval = 500 * time.Millisecond
	probes := w.countProbes(6 * time.Second)
	for _, g := range w.p.Groups() {
		assert.Equal(t, g.Phase, Serving)
	}
	perVM := float64(probes) / float64(len(w.vms))
	assert.Assert(t, perVM <= 24, "%.1f probes per VM, want at most 24", perVM)
}

func TestSurvivorsOfLostMemberAreProbedSooner(t *testing.T) {
	w := newServingWorld(t)
	head := w.head(large)
	member := head.members[1]
	assert.Equal(t, w.p.ProbePriority(w.now, member), Background)
	assert.Equal(t, w.p.ProbePriority(w.now, head.members[0]), Regular)
	w.vms[member].dead = true
	w.run(silenceTimeout + 500*time.Millisecond)
	assert.Assert(t, w.p.ProbePriority(w.now, head.members[2]) != Background, "survivors are needed for the next formation and must not be probed in the background")
}
