package config

import (
	"encoding/json"
	"fmt"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/coord/table"
)

// ProposalOptions describes an operator's edit and how to store it.
type ProposalOptions struct {
	Author string
	// Token must be unique to this attempt.
	Token string
	// Base is the configuration that the edit is based on.
	Base Snapshot
	// Target is the document after the edit.
	Target inventory.Document
	// SnapshotEvery is the number of changes between stored snapshots.
	SnapshotEvery uint64
	// Retained is the number of change rows retained in the table.
	Retained uint64
}

// Defaults of ProposalOptions.
const (
	DefaultSnapshotEvery = 256
	DefaultRetainedRows  = 1024
)

// ProposalEvent is an input to Proposal.Step.
type ProposalEvent interface{ proposalEvent() }

// Events of a Proposal.
type (
	// Begin starts the proposal.
	Begin struct{}
	// RowsRead answers ReadRows with one row per key, in any order.
	RowsRead struct{ Rows []table.Row }
	// RowsFailed reports that a ReadRows failed.
	RowsFailed struct{}
	// Committed answers Commit.
	Committed struct{ Outcome table.Outcome }
)

func (Begin) proposalEvent()      {}
func (RowsRead) proposalEvent()   {}
func (RowsFailed) proposalEvent() {}
func (Committed) proposalEvent()  {}

// ProposalEffect is an output of Proposal.Step, to be carried out by the
// embedding program.
type ProposalEffect interface{ proposalEffect() }

// Effects of a Proposal.
type (
	// ReadRows requests rows by key, read from one snapshot of the table.
	ReadRows struct{ Keys []string }
	// Commit requests one attempt at a transaction, without retries.
	Commit struct{ Txn table.Txn }
	// Done ends the proposal. Err is nil if the change was accepted. Otherwise
	// it is a *problem.Error whose Ran tells whether the change may have been
	// written.
	Done struct {
		Number uint64
		Err    error
	}
)

func (ReadRows) proposalEffect() {}
func (Commit) proposalEffect()   {}
func (Done) proposalEffect()     {}

// Proposal writes one change and commits it at most once. If the answer to the
// commit is lost, it reads the rows back and looks for its token. If the token
// is absent, it rewrites the head unchanged, so that the condition of the first
// transaction can no longer be met.
type Proposal struct {
	opts      ProposalOptions
	change    Change
	stage     stage
	readBacks int
}

// stage is the progress of a Proposal.
type stage int

const (
	initial stage = iota
	readingHead
	committing
	readingBack
	cancelling
	finished
)

// maxReadBacks limits the number of times that the rows are read back after a
// lost answer.
const maxReadBacks = 8

// NewProposal returns a Proposal for the change from the base to the target
// document. It returns a problem.ConfigInvalid error if the target is invalid
// or equal to the base.
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
		return nil, problem.New(problem.ConfigInvalid, "the document does not differ from the configuration in force", "edit the document first")
	}
	if _, err := Apply(opts.Base.Document, c); err != nil {
		return nil, err
	}
	return &Proposal{opts: opts, change: c}, nil
}

// Change returns the proposed change.
func (p *Proposal) Change() Change { return p.change }

// Step processes one event and returns the resulting effects. It returns none
// after Done.
func (p *Proposal) Step(ev ProposalEvent) []ProposalEffect {
	switch ev := ev.(type) {
	case Begin:
		if p.stage == initial {
			p.stage = readingHead
			return p.readRows()
		}
	case RowsRead:
		return p.handleRowsRead(ev.Rows)
	case RowsFailed:
		return p.handleRowsFailed()
	case Committed:
		return p.handleCommitted(ev.Outcome)
	}
	return nil
}

func (p *Proposal) readRows() []ProposalEffect {
	return []ProposalEffect{ReadRows{Keys: []string{HeadKey, ChangeKey(p.change.Number)}}}
}

func (p *Proposal) handleRowsRead(rows []table.Row) []ProposalEffect {
	head, written, err := p.decode(rows)
	if err != nil {
		return p.handleRowsFailed()
	}
	switch p.stage {
	case readingHead:
		if head.Number != p.opts.Base.Number || head.Token != p.opts.Base.Token {
			return p.finish(p.conflictError(head))
		}
		p.stage = committing
		return []ProposalEffect{Commit{Txn: p.commitTxn(head)}}
	case readingBack:
		return p.handleReadBack(head, written)
	}
	return nil
}

// handleReadBack determines whether the commit whose answer was lost took
// effect. If the commit may still take effect later, it rewrites the head to
// cancel it.
func (p *Proposal) handleReadBack(head headRow, written Change) []ProposalEffect {
	switch {
	case written.Token == p.change.Token:
		return p.finish(nil)
	case head.Number >= p.change.Number:
		return p.finish(p.conflictError(head))
	}
	p.stage = cancelling
	return []ProposalEffect{Commit{Txn: cancelTxn(head)}}
}

func (p *Proposal) handleCommitted(outcome table.Outcome) []ProposalEffect {
	switch p.stage {
	case committing:
		return p.handleChangeCommitted(outcome)
	case cancelling:
		if outcome == table.Applied {
			return p.finish(problem.New(problem.PlatformDown, "the change was not written", "apply it again"))
		}
		return p.retryReadBack()
	}
	return nil
}

func (p *Proposal) handleChangeCommitted(outcome table.Outcome) []ProposalEffect {
	switch outcome {
	case table.Applied:
		return p.finish(nil)
	case table.Conflict:
		return p.finish(p.conflictError(headRow{}))
	case table.NotWritten:
		return p.finish(problem.New(problem.PlatformDown,
			"the platform's table is unavailable and the change was not written", "apply it again later"))
	}
	return p.retryReadBack()
}

func (p *Proposal) handleRowsFailed() []ProposalEffect {
	switch p.stage {
	case readingHead:
		return p.finish(problem.New(problem.PlatformDown,
			"the platform's table cannot be read and nothing was written", "apply the change again later"))
	case readingBack:
		return p.retryReadBack()
	}
	return nil
}

// retryReadBack reads the rows back, or ends the proposal with an unknown
// outcome after maxReadBacks attempts.
func (p *Proposal) retryReadBack() []ProposalEffect {
	p.readBacks++
	if p.readBacks > maxReadBacks {
		err := problem.New(problem.OutcomeUnknown,
			fmt.Sprintf("the answer to change %d with token %s was lost", p.change.Number, p.change.Token),
			"look for the token with `pimentoshore history` before applying again")
		return p.finish(err.WithRanUnknown())
	}
	p.stage = readingBack
	return p.readRows()
}

func (p *Proposal) finish(err error) []ProposalEffect {
	p.stage = finished
	return []ProposalEffect{Done{Number: p.change.Number, Err: err}}
}

// conflictError reports that another change was written first. head is zero if
// the newest number is not known.
func (p *Proposal) conflictError(head headRow) error {
	message := fmt.Sprintf("the edit is based on number %d but the configuration has changed since", p.opts.Base.Number)
	if head.Number > 0 {
		message = fmt.Sprintf("the edit is based on number %d but the newest number is %d", p.opts.Base.Number, head.Number)
	}
	return problem.New(problem.ConfigConflict, message, "fetch the newest configuration with `pimentoshore diff` and apply the edit again")
}

// headRow is the head and the revision of its row, which is 0 if the row does
// not exist.
type headRow struct {
	Head
	revision uint64
}

// decode returns the head and the change with the proposal's number. Both are
// zero if their rows do not exist.
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
