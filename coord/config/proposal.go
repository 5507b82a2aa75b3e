package config

import (
	"encoding/json"
	"fmt"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/coord/table"
)

// ProposalOptions describes one operator's edit.
type ProposalOptions struct {
	Author string
	// Token must be unique to this attempt.
	Token string
	// Base is the configuration that the operator edited.
	Base Snapshot
	// Target is the document after the edit.
	Target inventory.Document
	// SnapshotEvery is the number of changes between stored snapshots.
	SnapshotEvery uint64
	// Retained is the number of change rows kept in the table.
	Retained uint64
}

// Defaults of ProposalOptions.
const (
	DefaultSnapshotEvery = 256
	DefaultRetainedRows  = 1024
)

// ProposalEvent is an input of Proposal.Step.
type ProposalEvent interface{ proposalEvent() }

// Events of a Proposal.
type (
	// Begin starts the proposal.
	Begin struct{}
	// RowsRead answers ReadRows, with a row for each key, in any order.
	RowsRead struct{ Rows []table.Row }
	// RowsFailed says that a ReadRows failed.
	RowsFailed struct{}
	// Committed answers Commit.
	Committed struct{ Outcome table.Outcome }
)

func (Begin) proposalEvent()      {}
func (RowsRead) proposalEvent()   {}
func (RowsFailed) proposalEvent() {}
func (Committed) proposalEvent()  {}

// ProposalEffect is an output of Proposal.Step.
type ProposalEffect interface{ proposalEffect() }

// Effects of a Proposal.
type (
	// ReadRows asks for rows by key, from one snapshot of the table.
	ReadRows struct{ Keys []string }
	// Commit asks for one attempt at a transaction.
	Commit struct{ Txn table.Txn }
	// Done ends the proposal. Err is nil if the change is accepted, and else
	// a *problem.Error whose Ran says whether the change may be in force.
	Done struct {
		Number uint64
		Err    error
	}
)

func (ReadRows) proposalEffect() {}
func (Commit) proposalEffect()   {}
func (Done) proposalEffect()     {}

// Proposal writes one change. It commits the change at most once: after a
// lost answer it looks for its token, and if that is absent it rewrites the
// head unchanged, which makes the first transaction's condition fail for good.
type Proposal struct {
	opts   ProposalOptions
	change Change
	stage  stage
	reads  int
}

type stage int

const (
	created stage = iota
	readingHead
	committing
	readingBack
	cancelling
	finished
)

// maxReadBacks bounds the reads after a lost answer.
const maxReadBacks = 8

// NewProposal plans the change from the base to the target document. It
// returns a problem.ConfigInvalid if the target is not valid or nothing
// differs.
func NewProposal(opts ProposalOptions) (*Proposal, error) {
	if opts.SnapshotEvery == 0 {
		opts.SnapshotEvery = DefaultSnapshotEvery
	}
	if opts.Retained == 0 {
		opts.Retained = DefaultRetainedRows
	}
	c := Diff(opts.Base.Document, opts.Target)
	c.Number = opts.Base.Number + 1
	c.Token = opts.Token
	c.Previous = opts.Base.Token
	c.Author = opts.Author
	if c.Empty() {
		return nil, problem.New(problem.ConfigInvalid, "nothing differs from the configuration in force", "edit the document first")
	}
	if _, err := Apply(opts.Base.Document, c); err != nil {
		return nil, err
	}
	return &Proposal{opts: opts, change: c}, nil
}

// Change returns the planned change.
func (p *Proposal) Change() Change { return p.change }

// Step handles one event and returns the next effects. After Done it returns
// none.
func (p *Proposal) Step(ev ProposalEvent) []ProposalEffect {
	switch ev := ev.(type) {
	case Begin:
		if p.stage == created {
			p.stage = readingHead
			return p.readRows()
		}
	case RowsRead:
		return p.rowsRead(ev.Rows)
	case RowsFailed:
		return p.rowsFailed()
	case Committed:
		return p.committed(ev.Outcome)
	}
	return nil
}

func (p *Proposal) readRows() []ProposalEffect {
	return []ProposalEffect{ReadRows{Keys: []string{HeadKey, ChangeKey(p.change.Number)}}}
}

func (p *Proposal) rowsRead(rows []table.Row) []ProposalEffect {
	head, written, err := p.decode(rows)
	if err != nil {
		return p.rowsFailed()
	}
	switch p.stage {
	case readingHead:
		if head.Number != p.opts.Base.Number || head.Token != p.opts.Base.Token {
			return p.done(p.racedBy(head))
		}
		p.stage = committing
		return []ProposalEffect{Commit{Txn: p.txn(head)}}
	case readingBack:
		return p.readBack(head, written)
	}
	return nil
}

// readBack decides from the rows whether the lost commit took effect.
func (p *Proposal) readBack(head headRow, written Change) []ProposalEffect {
	switch {
	case written.Token == p.change.Token:
		return p.done(nil)
	case head.Number >= p.change.Number:
		return p.done(p.racedBy(head))
	}
	p.stage = cancelling
	return []ProposalEffect{Commit{Txn: cancelTxn(head)}}
}

func (p *Proposal) committed(outcome table.Outcome) []ProposalEffect {
	switch p.stage {
	case committing:
		return p.changeCommitted(outcome)
	case cancelling:
		if outcome == table.Applied {
			return p.done(problem.New(problem.PlatformDown, "the change was not written", "apply it again"))
		}
		return p.readAgain()
	}
	return nil
}

func (p *Proposal) changeCommitted(outcome table.Outcome) []ProposalEffect {
	switch outcome {
	case table.Applied:
		return p.done(nil)
	case table.Conflict:
		return p.done(p.racedBy(headRow{}))
	case table.NotWritten:
		return p.done(problem.New(problem.PlatformDown,
			"the platform's table is unavailable and the change was not written", "apply it again later"))
	}
	return p.readAgain()
}

func (p *Proposal) rowsFailed() []ProposalEffect {
	switch p.stage {
	case readingHead:
		return p.done(problem.New(problem.PlatformDown,
			"the platform's table cannot be read and nothing was written", "apply the change again later"))
	case readingBack:
		return p.readAgain()
	}
	return nil
}

func (p *Proposal) readAgain() []ProposalEffect {
	p.reads++
	if p.reads > maxReadBacks {
		err := problem.New(problem.OutcomeUnknown,
			fmt.Sprintf("the answer to change %d with token %s was lost", p.change.Number, p.change.Token),
			"look for the token with `pimentoshore history` before applying again")
		return p.done(err.WithRanUnknown())
	}
	p.stage = readingBack
	return p.readRows()
}

func (p *Proposal) done(err error) []ProposalEffect {
	p.stage = finished
	return []ProposalEffect{Done{Number: p.change.Number, Err: err}}
}

func (p *Proposal) racedBy(head headRow) error {
	message := fmt.Sprintf("the edit is based on number %d but the configuration has moved on", p.opts.Base.Number)
	if head.Number > 0 {
		message = fmt.Sprintf("the edit is based on number %d but the newest is %d", p.opts.Base.Number, head.Number)
	}
	return problem.New(problem.ConfigConflict, message, "fetch the newest with `pimentoshore diff` and apply the edit again")
}

// headRow is the head with the revision of its row.
type headRow struct {
	Head
	revision uint64
}

func (p *Proposal) decode(rows []table.Row) (head headRow, written Change, err error) {
	for _, row := range rows {
		switch {
		case row.Revision == 0:
		case row.Key == HeadKey:
			head.revision = row.Revision
			err = json.Unmarshal(row.Value, &head.Head)
		case row.Key == ChangeKey(p.change.Number):
			err = json.Unmarshal(row.Value, &written)
		}
		if err != nil {
			return headRow{}, Change{}, err
		}
	}
	return head, written, nil
}
