package lease

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPollIntervalGrowsWithTheCandidates(t *testing.T) {
	m := New(Options{DataCentre: "dc", VM: "a", PollEvery: time.Second, PollersPerInterval: 8})
	for n, want := range map[int]time.Duration{1: time.Second, 8: time.Second, 32: 4 * time.Second} {
		m.seen.row.Candidates = nil
		for i := range n {
			m.seen.row.Candidates = append(m.seen.row.Candidates, Candidate{VM: fmt.Sprint(i)})
		}
		assert.Equal(t, m.pollEvery(time.Unix(100, 0)), want, "%d candidates", n)
	}
}

// A node that others ask reads as often as if it were alone, so that what it
// tells is fresh and nobody else needs to read.
func TestAskedCandidateReadsOften(t *testing.T) {
	d := standby(t)
	d.m.opts.PollersPerInterval = 1
	row := renewed(2)
	for _, vm := range []string{"e1", "e2", "e3", "e4"} {
		row.Candidates = append(row.Candidates, Candidate{VM: vm})
	}
	own := []Registration{{Candidate: d.m.self(), Revision: 3}}
	d.read(1, RowsRead{Row: row, Revision: 5, Registrations: own})
	assert.Assert(t, !d.reads(1.8))
	d.step(1.8, RowRequested{})
	d.read(1.9, RowsRead{Row: row, Revision: 5, Registrations: own})
	assert.Assert(t, !d.reads(2.5))
	d.step(2.5, RowRequested{})
	assert.Assert(t, d.reads(2.7))
}

// A node that is told the row passes it on, and need not read to be asked.
func TestToldCandidateReadsSeldomAlsoIfAsked(t *testing.T) {
	d := standby(t)
	for i := range 60 {
		s := 0.1 * float64(i+1)
		d.step(s, RowRelayed{Row: *renewed(uint64(i + 2)), Revision: uint64(i + 5)})
		d.step(s, RowRequested{})
		assert.Assert(t, !d.m.read.inFlight, "a read at %v", s)
	}
}

// Without promises a candidate that the row does not list may take over.
func TestNewcomerTakesOverWhereNoPromisesAreAsked(t *testing.T) {
	m := New(Options{DataCentre: "dc", VM: "b", WithoutPromises: true})
	m.seen = seen{row: Row{Term: 1, Holder: "a"}, revision: 1, known: true, takeoverAt: time.Unix(100, 0)}
	assert.Assert(t, !m.mayTakeOver(time.Unix(99, 0)))
	assert.Assert(t, m.mayTakeOver(time.Unix(100, 0)))
	m.seen.row.Promise = time.Second
	assert.Assert(t, !m.mayTakeOver(time.Unix(100, 0)), "a row with promises")
}
