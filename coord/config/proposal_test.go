package config

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/coord/table"
)

// fakeTable applies transactions whole or not at all.
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

// edited returns a document that differs from the base by one limit.
func edited(limit int) inventory.Document {
	doc := baseDocument()
	doc.ClientAccounts = []inventory.ClientAccount{{Name: "archive", MaxInFlight: limit}}
	return doc
}

func propose(t assert.TestingT, base Snapshot, token string, target inventory.Document) *Proposal {
	p, err := NewProposal(ProposalOptions{Token: token, Base: base, Target: target, SnapshotEvery: 4, Retained: 8})
	assert.NilError(t, err)
	return p
}

// run drives a proposal against a table to its end.
func run(t assert.TestingT, p *Proposal, tab *fakeTable) Done {
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
		target := edited(i + 1)
		p := propose(t, base, string(rune('a'+i)), target)
		done := run(t, p, tab)
		assert.NilError(t, done.Err)
		base = Snapshot{Number: done.Number, Token: p.Change().Token, Document: target}
	}
	assert.Equal(t, base.Number, uint64(20))
	assert.Equal(t, tab.rows[SnapshotKey(20)].Revision > 0, true)
	assert.Equal(t, len(tab.rows), 1+1+8, "head, newest snapshot and the retained changes")
}

func TestProposalConflictNamesRemedy(t *testing.T) {
	tab := newFakeTable()
	first := propose(t, Snapshot{}, "first", edited(1))
	second := propose(t, Snapshot{}, "second", edited(2))
	// Both read the same head before either commits.
	read := second.Step(Begin{})[0].(ReadRows)
	rows := tab.get(read.Keys...)
	assert.NilError(t, run(t, first, tab).Err)
	commit := second.Step(RowsRead{rows})[0].(Commit)
	done := second.Step(Committed{tab.commit(commit.Txn)})[0].(Done)
	assert.Assert(t, problem.Is(done.Err, problem.ConfigConflict))
	assert.ErrorContains(t, done.Err, "pimentoshore diff")
	assert.Equal(t, problem.As(done.Err).Ran, problem.RanNo)
	// A late one finds the higher head and writes nothing.
	third := propose(t, Snapshot{}, "third", edited(3))
	assert.Assert(t, problem.Is(run(t, third, tab).Err, problem.ConfigConflict))
	assert.Equal(t, tab.revision, uint64(1))
}

func TestProposalRejectsNoChange(t *testing.T) {
	_, err := NewProposal(ProposalOptions{Base: Snapshot{Document: baseDocument()}, Target: baseDocument()})
	assert.Assert(t, problem.Is(err, problem.ConfigInvalid))
}

// lossyTable loses answers; a lost transaction takes effect at once, later or
// never.
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

func (l *lossyTable) settle(t *rapid.T, all bool) {
	for len(l.late) > 0 && (all || rapid.Bool().Draw(t, "late")) {
		l.commit(l.late[0])
		l.late = l.late[1:]
	}
}

// raceProposals lets several operators race from the same base with lost
// answers, and checks what each was told against the table at the end.
func raceProposals(t *rapid.T, step func(*Proposal, ProposalEvent) []ProposalEffect) error {
	tab := &lossyTable{fakeTable: newFakeTable()}
	const operators = 3
	proposals := make([]*Proposal, operators)
	pending := make([][]ProposalEffect, operators)
	told := make([]error, operators)
	for i := range proposals {
		proposals[i] = propose(t, Snapshot{}, string(rune('a'+i)), edited(i+1))
		pending[i] = step(proposals[i], Begin{})
	}
	for live := operators; live > 0; {
		tab.settle(t, false)
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
			told[i], pending[i] = e.Err, nil
			live--
		}
	}
	tab.settle(t, true)
	_, written, err := proposals[0].decode(tab.get(HeadKey, ChangeKey(1)))
	assert.NilError(t, err)
	return checkTold(proposals, told, written)
}

func checkTold(proposals []*Proposal, told []error, written Change) error {
	for i, p := range proposals {
		accepted := p.Change().Token == written.Token
		if told[i] == nil && !accepted {
			return problem.New(problem.Internal, "told accepted, not written", "")
		}
		if told[i] != nil && problem.As(told[i]).Ran == problem.RanNo && accepted {
			return problem.New(problem.Internal, "told not written, written", "")
		}
	}
	return nil
}

func TestProposalTellsTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		assert.NilError(t, raceProposals(t, (*Proposal).Step))
	})
}

// TestProposalWithoutReadBack shows that a lost answer taken as not written
// makes the check of TestProposalTellsTruth fail.
func TestProposalWithoutReadBack(t *testing.T) {
	blind := func(p *Proposal, ev ProposalEvent) []ProposalEffect {
		if c, ok := ev.(Committed); ok && c.Outcome == table.Unknown {
			ev = Committed{table.NotWritten}
		}
		return p.Step(ev)
	}
	assertCaught(t, blind)
}

// TestProposalWithoutCancel shows that an absent token alone proves nothing.
func TestProposalWithoutCancel(t *testing.T) {
	trusting := func(p *Proposal, ev ProposalEvent) []ProposalEffect {
		effects := p.Step(ev)
		if len(effects) > 0 && p.stage == cancelling {
			return p.Step(Committed{table.Applied})
		}
		return effects
	}
	assertCaught(t, trusting)
}

func assertCaught(t *testing.T, step func(*Proposal, ProposalEvent) []ProposalEffect) {
	t.Helper()
	caught := false
	rapid.Check(t, func(t *rapid.T) {
		if raceProposals(t, step) != nil {
			caught = true
		}
	})
	assert.Assert(t, caught, "the faulty variant was not noticed")
}
