package lease

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPollIntervalGrowsWithCandidates(t *testing.T) {
	m := New(Options{DataCentre: "dc", VM: "a", PollEvery: time.Second, PollersPerInterval: 8})
	for n, want := range map[int]time.Duration{1: time.Second, 8: time.Second, 32: 4 * time.Second} {
		m.observedRow.row.Candidates = nil
		for i := range n {
			m.observedRow.row.Candidates = append(m.observedRow.row.Candidates, Candidate{VM: fmt.Sprint(i)})
		}
		assert.Equal(t, m.pollInterval(time.Unix(100, 0)), want, "%d candidates", n)
	}
}

// A node that receives requests for the row reads at the base interval, so that
// its answers are fresh and the requesting nodes need not read.
func TestRequestedCandidateKeepsPollInterval(t *testing.T) {
	d := newStandby(t)
	d.m.opts.PollersPerInterval = 1
	row := renewedRow(2)
	for _, vm := range []string{"e1", "e2", "e3", "e4"} {
		row.Candidates = append(row.Candidates, Candidate{VM: vm})
	}
	own := []Registration{{Candidate: d.m.self(), Revision: 3}}
	d.read(1, RowsRead{Row: row, Revision: 5, Registrations: own})
	assert.Assert(t, !d.startsRead(1.8))
	d.step(1.8, RowRequested{})
	d.read(1.9, RowsRead{Row: row, Revision: 5, Registrations: own})
	assert.Assert(t, !d.startsRead(2.5))
	d.step(2.5, RowRequested{})
	assert.Assert(t, d.startsRead(2.7))
}

// A node that receives relayed rows passes them on and need not read, even if
// it receives requests for the row.
func TestRelayedRowsReduceReadsDespiteRequests(t *testing.T) {
	d := newStandby(t)
	for i := range 60 {
		s := 0.1 * float64(i+1)
		d.step(s, RowRelayed{Row: *renewedRow(uint64(i + 2)), Revision: uint64(i + 5)})
		d.step(s, RowRequested{})
		assert.Assert(t, !d.m.read.inFlight, "a read at %v", s)
	}
}

// A candidate that is not listed in the row may take over if the row has no
// promises.
func TestUnlistedCandidateTakesOverWithoutPromises(t *testing.T) {
	m := New(Options{DataCentre: "dc", VM: "b", WithoutPromises: true})
	m.observedRow = rowState{row: Row{Term: 1, Holder: "a"}, revision: 1, hasRead: true, takeoverAt: time.Unix(100, 0)}
	assert.Assert(t, !m.canTakeOver(time.Unix(99, 0)))
	assert.Assert(t, m.canTakeOver(time.Unix(100, 0)))
	m.observedRow.row.Promise = time.Second
	assert.Assert(t, !m.canTakeOver(time.Unix(100, 0)), "a row with promises")
}
