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
		assert.Equal(t, m.pollEvery(), want, "%d candidates", n)
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
