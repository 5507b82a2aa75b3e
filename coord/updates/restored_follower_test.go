package updates

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// followed returns a record that got all it knows from another one.
func followed(t *testing.T, reader *Record) *Record {
	t.Helper()
	r := NewRecord()
	put(t, r, start, *reader.VMsAfter(Revision{}, false))
	return r
}

// listedIDs returns the VMs that a record lists.
func listedIDs(r *Record) map[string]bool {
	out := map[string]bool{}
	for _, row := range r.VMsAfter(Revision{}, false).Rows {
		out[row.ID] = true
	}
	return out
}

// Guards against a VM that the reader takes for gone and the nodes that follow it go on listing.
func TestSettledRemovalReachesFollowers(t *testing.T) {
	reader := NewRecord()
	put(t, reader, start, VMs{Era: 1, Version: 10, Whole: true, Rows: []fleet.Row{row("a", 1), row("gone", 1)}})
	follower := followed(t, reader)
	put(t, reader, start, VMs{Era: 2, Version: 8, Whole: true, Rows: []fleet.Row{row("a", 1)}})
	put(t, follower, start, *reader.VMsAfter(follower.Position().VMs, true))

	reader.Settle(start.Add(RelistGrace))
	assert.DeepEqual(t, listedIDs(reader), map[string]bool{"a": true})
	for i := range 20 { // polls, also after later reads of the reader
		now := start.Add(RelistGrace + time.Duration(i)*time.Second)
		put(t, reader, now, VMs{Era: 2, Version: 8 + uint64(i)})
		reader.Settle(now)
		put(t, follower, now, *reader.VMsAfter(follower.Position().VMs, true))
		follower.Settle(now)
	}
	assert.DeepEqual(t, listedIDs(follower), map[string]bool{"a": true})
}
