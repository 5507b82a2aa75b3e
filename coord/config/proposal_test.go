package config

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/coord/table"
)

// fakeTable is an in-memory table that applies transactions atomically.
type fakeTable struct {
	rows     map[string]table.Row
	revision uint64
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]table.Row{}} }

func (f *fakeTable) get(keys ...string) []table.Row {
	rows := make([]table.Row, len(keys))
	for i, key := range keys {
		rows[i] = f.rows[key]
		rows[i].Key = key
	}
	return rows
}

func (f *fakeTable) commit(txn table.Txn) table.Outcome {
	for _, c := range txn.Conditions {
		if f.rows[c.Key].Revision != c.Revision {
			return table.Conflict
		}
	}
	f.revision++
	for _, w := range txn.Writes {
		f.rows[w.Key] = table.Row{Key: w.Key, Value: w.Value, Revision: f.revision}
		if w.Delete {
			delete(f.rows, w.Key)
		}
	}
	return table.Applied
}

// documentWithLimit returns the base document with another limit for its client
// account.
func documentWithLimit(limit int) inventory.Document {
	doc := baseDocument()
	doc.ClientAccounts = []inventory.ClientAccount{{Name: "archive", MaxInFlight: limit}}
	return doc
}

func newProposal(t assert.TestingT, base Snapshot, token string, target inventory.Document) *Proposal {
	p, err := NewProposal(ProposalOptions{Token: token, Base: base, Target: target, SnapshotEvery: 4, Retained: 8})
	assert.NilError(t, err)
	return p
}

// runToEnd runs a proposal against a table until it is done.
func runToEnd(t assert.TestingT, p *Proposal, tab *fakeTable) Done {
	effects := p.Step(Begin{})
	for {
		assert.Equal(t, len(effects), 1)
		switch e := effects[0].(type) {
		case ReadRows:
			effects = p.Step(RowsRead{tab.get(e.Keys...)})
		case Commit:
			effects = p.Step(Committed{tab.commit(e.Txn)})
		case Done:
			return e
		}
	}
}

func TestProposalApplies(t *testing.T) {
	tab := newFakeTable()
	base := Snapshot{}
	for i := range 20 {
		target := documentWithLimit(i + 1)
		p := newProposal(t, base, string(rune('a'+i)), target)
		done := runToEnd(t, p, tab)
		assert.NilError(t, done.Err)
		base = Snapshot{Number: done.Number, Token: p.Change().Token, Document: target}
	}
	assert.Equal(t, base.Number, uint64(20))
	assert.Equal(t, tab.rows[SnapshotKey(20)].Revision > 0, true)
	assert.Equal(t, len(tab.rows), 1+1+8, "want the head, the newest snapshot and the retained changes")
}

func TestProposalConflictGivesRemedy(t *testing.T) {
	tab := newFakeTable()
	first := newProposal(t, Snapshot{}, "first", documentWithLimit(1))
	second := newProposal(t, Snapshot{}, "second", documentWithLimit(2))
	// Both proposals read the same head before either commits.
	read := second.Step(Begin{})[0].(ReadRows)
	rows := tab.get(read.Keys...)
	assert.NilError(t, runToEnd(t, first, tab).Err)
	commit := second.Step(RowsRead{rows})[0].(Commit)
	done := second.Step(Committed{tab.commit(commit.Txn)})[0].(Done)
	assert.Assert(t, problem.Is(done.Err, problem.ConfigConflict))
	assert.ErrorContains(t, done.Err, "pimentoshore diff")
	assert.Equal(t, problem.As(done.Err).Ran, problem.RanNo)
	// A proposal that starts later finds the higher head and writes nothing.
	third := newProposal(t, Snapshot{}, "third", documentWithLimit(3))
	assert.Assert(t, problem.Is(runToEnd(t, third, tab).Err, problem.ConfigConflict))
	assert.Equal(t, tab.revision, uint64(1))
}

func TestProposalRejectsNoChange(t *testing.T) {
	_, err := NewProposal(ProposalOptions{Base: Snapshot{Document: baseDocument()}, Target: baseDocument()})
	assert.Assert(t, problem.Is(err, problem.ConfigInvalid))
}

// lossyTable loses the answers to some transactions. Such a transaction takes
// effect immediately, later or never.
type lossyTable struct {
	*fakeTable
	late []table.Txn
}

func (l *lossyTable) commitLossy(t *rapid.T, txn table.Txn) table.Outcome {
	switch rapid.SampledFrom([]string{"ok", "down", "lost-applied", "lost-late", "lost-never"}).Draw(t, "commit") {
	case "ok":
		return l.commit(txn)
	case "down":
		return table.NotWritten
	case "lost-applied":
		l.commit(txn)
	case "lost-late":
		l.late = append(l.late, txn)
	}
	return table.Unknown
}

// applyLate applies a random number of the delayed transactions, or all.
func (l *lossyTable) applyLate(t *rapid.T, all bool) {
	for len(l.late) > 0 && (all || rapid.Bool().Draw(t, "late")) {
		l.commit(l.late[0])
		l.late = l.late[1:]
	}
}

// raceProposals runs the proposals of several operators concurrently, from the
// same base and with lost answers. It returns an error if the result of one
// contradicts the final contents of the table.
func raceProposals(t *rapid.T, step func(*Proposal, ProposalEvent) []ProposalEffect) error {
	tab := &lossyTable{fakeTable: newFakeTable()}
	const operators = 3
	proposals := make([]*Proposal, operators)
	pending := make([][]ProposalEffect, operators)
	results := make([]error, operators)
	for i := range proposals {
		proposals[i] = newProposal(t, Snapshot{}, string(rune('a'+i)), documentWithLimit(i+1))
		pending[i] = step(proposals[i], Begin{})
	}
	for unfinished := operators; unfinished > 0; {
		tab.applyLate(t, false)
		i := rapid.IntRange(0, operators-1).Draw(t, "operator")
		if len(pending[i]) == 0 {
			continue
		}
		switch e := pending[i][0].(type) {
		case ReadRows:
			pending[i] = step(proposals[i], RowsRead{tab.get(e.Keys...)})
		case Commit:
			pending[i] = step(proposals[i], Committed{tab.commitLossy(t, e.Txn)})
		case Done:
			results[i], pending[i] = e.Err, nil
			unfinished--
		}
	}
	tab.applyLate(t, true)
	_, written, err := proposals[0].decode(tab.get(HeadKey, ChangeKey(1)))
	assert.NilError(t, err)
	return checkResults(proposals, results, written)
}

// checkResults compares the result of each proposal with the change that was
// written.
func checkResults(proposals []*Proposal, results []error, written Change) error {
	for i, p := range proposals {
		accepted := p.Change().Token == written.Token
		if results[i] == nil && !accepted {
			return problem.New(problem.Internal, "reported as accepted but not written", "")
		}
		if results[i] != nil && problem.As(results[i]).Ran == problem.RanNo && accepted {
			return problem.New(problem.Internal, "reported as not written but written", "")
		}
	}
	return nil
}

func TestProposalResultMatchesTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		assert.NilError(t, raceProposals(t, (*Proposal).Step))
	})
}

// TestResultCheckNeedsReadBack verifies that raceProposals detects a proposal
// that treats a lost answer as not written.
func TestResultCheckNeedsReadBack(t *testing.T) {
	stepWithoutReadBack := func(p *Proposal, ev ProposalEvent) []ProposalEffect {
		if c, ok := ev.(Committed); ok && c.Outcome == table.Unknown {
			ev = Committed{table.NotWritten}
		}
		return p.Step(ev)
	}
	assertDetected(t, stepWithoutReadBack)
}

// TestResultCheckNeedsCancel verifies that raceProposals detects a proposal that
// takes the absence of its token as proof that nothing was written, although
// the lost commit may still take effect.
func TestResultCheckNeedsCancel(t *testing.T) {
	stepWithoutCancel := func(p *Proposal, ev ProposalEvent) []ProposalEffect {
		effects := p.Step(ev)
		if len(effects) > 0 && p.stage == cancelling {
			return p.Step(Committed{table.Applied})
		}
		return effects
	}
	assertDetected(t, stepWithoutCancel)
}

// assertDetected fails unless raceProposals reports an error for the faulty step
// function.
func assertDetected(t *testing.T, step func(*Proposal, ProposalEvent) []ProposalEffect) {
	t.Helper()
	detected := false
	rapid.Check(t, func(t *rapid.T) {
		if raceProposals(t, step) != nil {
			detected = true
		}
	})
	assert.Assert(t, detected, "the faulty step function was not detected")
}
