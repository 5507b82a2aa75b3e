package entry

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/updates"
)

// Guards against the nodes of a data centre reading the store by themselves after an
// outage, because the first of them gets fresh data from the reader but has not read
// yet. Answers that a node got from one behind it stay unusable.
func TestNodePassesOnWhatItGetsFromAPrecedingNode(t *testing.T) {
	for _, test := range []struct{ large, precedes, borrowed bool }{
		{true, true, false}, {true, false, true}, {false, true, true},
	} {
		s := newFleetHarness(t, 1)
		s.advance(2 * time.Second)
		s.state.ReadFailed("VMs", errors.New("down"))
		s.state.SetSource(test.large, test.precedes)
		s.state.ApplyAnswer(s.clock(), true, updates.Answer{Known: true})
		assert.Equal(t, s.state.Answer(updates.Position{}).Borrowed, test.borrowed, "%+v", test)
	}
}

// Guards against the loss of VMs whose rows lapsed in an outage in which this node did
// not read, because its reads were spread out.
func TestRowsThatLapsedInAnOutageWithoutOwnReadsAreKept(t *testing.T) {
	s := newFleetHarness(t, 1)
	s.state.SetSource(true, true)
	s.advance(8 * time.Second)
	s.state.VMs(s.clock(), updates.VMs{Version: 1 << 30, Whole: true})
	isListed := func() (listed bool) {
		s.state.Locked(func(st LockedState) {
			for _, vm := range st.VMs.All() {
				listed = listed || vm.ID == "a0" && vm.Listed
			}
		})
		return listed
	}
	assert.Assert(t, isListed())
	s.advance(updates.RelistGrace)
	s.state.Tick()
	assert.Assert(t, !isListed(), "it did not come back")
}

// A node reads the platform as long as its own reads of VMs succeed.
func TestReadsPlatform(t *testing.T) {
	s := newFleetHarness(t, 1)
	assert.Assert(t, s.state.ReadsPlatform())
	s.state.ReadFailed("VMs", errors.New("down"))
	assert.Assert(t, !s.state.ReadsPlatform())
	s.state.VMs(s.clock(), updates.VMs{Version: 1 << 30})
	assert.Assert(t, s.state.ReadsPlatform())
	s.advance(ownReadTTL)
	assert.Assert(t, !s.state.ReadsPlatform())
}
