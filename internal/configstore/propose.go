package configstore

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/pimentoshore/pimentoshore/coord/config"
	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/coord/table"
	"github.com/pimentoshore/pimentoshore/internal/platform"
)

const (
	// maxEditAttempts limits the attempts at an edit that conflicts with
	// concurrent changes.
	maxEditAttempts = 8
	readBackDelay   = 200 * time.Millisecond
)

// Propose writes the change from base to target and returns its number. It
// returns a problem.ConfigConflict error if base is no longer the newest
// configuration.
func (s *Store) Propose(ctx context.Context, base config.Snapshot, target inventory.Document, author string) (uint64, error) {
	opts := config.ProposalOptions{Author: author, Token: uuid.NewString(), Base: base, Target: target}
	proposal, err := config.NewProposal(opts)
	if err != nil {
		return 0, err
	}
	effects := proposal.Step(config.Begin{})
	for reads := 0; ; reads++ {
		var event config.ProposalEvent
		for _, effect := range effects {
			switch effect := effect.(type) {
			case config.Done:
				return effect.Number, effect.Err
			case config.ReadRows:
				event = s.readRows(ctx, effect.Keys, reads > 0)
			case config.Commit:
				event = config.Committed{Outcome: s.commit(ctx, effect.Txn)}
			}
		}
		effects = proposal.Step(event)
	}
}

// readRows reads rows for a proposal. It delays a read-back by readBackDelay, so
// that a table that was unavailable for a moment can recover.
func (s *Store) readRows(ctx context.Context, keys []string, isReadBack bool) config.ProposalEvent {
	if isReadBack {
		timer := time.NewTimer(readBackDelay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
	rows, err := s.table.Get(ctx, keys...)
	if err != nil {
		return config.RowsFailed{}
	}
	return config.RowsRead{Rows: rows}
}

func (s *Store) commit(ctx context.Context, txn table.Txn) table.Outcome {
	_, err := s.table.Commit(ctx, txn)
	return platform.OutcomeOf(err)
}

// Edit applies an edit that is valid for any configuration to the newest one,
// and repeats this if another change is written first. It returns the number of
// the change, or the current number if the edit changes nothing.
func (s *Store) Edit(ctx context.Context, author string, edit func(*inventory.Document) error) (uint64, error) {
	var err error
	for range maxEditAttempts {
		var base config.Snapshot
		if base, err = s.Read(ctx); err != nil {
			return 0, err
		}
		target := config.Normalize(base.Document)
		if err = edit(&target); err != nil {
			return 0, err
		}
		change := config.Diff(base.Document, target)
		if change.Empty() {
			return base.Number, nil
		}
		var number uint64
		number, err = s.Propose(ctx, base, target, author)
		if !problem.Is(err, problem.ConfigConflict) {
			return number, err
		}
	}
	return 0, err
}
