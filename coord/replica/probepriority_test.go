package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// probes runs the world and returns the number of probes meanwhile.
func (w *world) probes(d time.Duration) int {
	before := w.probed
	w.run(d)
	return w.probed - before
}

// Reports cost the VMs and the holder work that grows with the fleet, so that
// they are asked for as soon as a decision needs them and no sooner.
func TestMembersOfServingGroupsAreSeldomProbed(t *testing.T) {
	w := formed(t)
	w.probing = 500 * time.Millisecond
	w.run(3 * time.Second)
	members := 0
	for _, g := range w.p.Groups() {
		assert.Equal(t, g.Phase, Serving)
		members += len(g.Members) - 1
	}
	const seconds = 12
	others := len(w.vms) - members
	most := members*seconds/3 + others*seconds*2 + others
	n := w.probes(seconds * time.Second)
	assert.Assert(t, n <= most, "%d probes, at most %d", n, most)
}

// A VM that joins a group is asked again when it's likely to be done.
func TestFirstGroupsAreFormedWithFewProbes(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.probing = 500 * time.Millisecond
	n := w.probes(6 * time.Second)
	for _, g := range w.p.Groups() {
		assert.Equal(t, g.Phase, Serving)
	}
	perVM := float64(n) / float64(len(w.vms))
	assert.Assert(t, perVM <= 24, "%.1f probes a VM", perVM)
}

func TestLostMemberIsAskedAgainAtOnce(t *testing.T) {
	w := formed(t)
	head := w.head(large)
	member := head.list[1]
	assert.Equal(t, w.p.ProbePriority(w.now, member), Background)
	assert.Equal(t, w.p.ProbePriority(w.now, head.list[0]), Regular)
	w.vms[member].dead = true
	w.run(time.Second)
	assert.Assert(t, w.p.ProbePriority(w.now, head.list[2]) != Background, "survivors are wanted for the next formation")
}
