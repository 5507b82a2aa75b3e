// Package configstore reads and writes the sequence of configurations in the
// platform's table, on behalf of operators.
package configstore

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"github.com/pimentoshore/pimentoshore/coord/config"
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/platform"
)

const (
	changesPerRead = 256
	// maxReadAttempts limits the attempts to read a sequence that changes in
	// the meantime.
	maxReadAttempts = 4
)

// Store provides access to the sequence of configurations in a table.
type Store struct {
	table platform.Table
}

// New returns a Store for the sequence in t.
func New(t platform.Table) *Store { return &Store{table: t} }

// Read returns the newest configuration, with number 0 if there is none yet.
func (s *Store) Read(ctx context.Context) (config.Snapshot, error) {
	var snapshot config.Snapshot
	for range maxReadAttempts {
		head, err := s.readHead(ctx)
		if err != nil {
			return config.Snapshot{}, err
		}
		snapshot, err = s.readUpTo(ctx, head)
		if err != nil {
			return config.Snapshot{}, err
		}
		if snapshot.Number >= head.Number {
			return snapshot, nil
		}
	}
	return config.Snapshot{}, problem.New(problem.PlatformDown, "rows of the configuration are missing from the table",
		"try again; if the error persists, restore the table")
}

func (s *Store) readHead(ctx context.Context) (config.Head, error) {
	var head config.Head
	err := s.readRow(ctx, config.HeadKey, &head)
	return head, err
}

// readUpTo reads the newest snapshot and the changes from there up to the head.
// The result has a lower number than the head if rows were deleted in the
// meantime.
func (s *Store) readUpTo(ctx context.Context, head config.Head) (config.Snapshot, error) {
	var snapshot config.Snapshot
	if head.Snapshot > 0 {
		if err := s.readRow(ctx, config.SnapshotKey(head.Snapshot), &snapshot); err != nil {
			return snapshot, err
		}
	}
	for snapshot.Number < head.Number {
		changes, err := s.readChanges(ctx, snapshot.Number)
		if err != nil {
			return snapshot, err
		}
		before := snapshot.Number
		if snapshot, err = applyChanges(snapshot, changes); err != nil || snapshot.Number == before {
			return snapshot, err
		}
	}
	return snapshot, nil
}

// applyChanges applies the changes that follow the snapshot without a gap.
func applyChanges(snapshot config.Snapshot, changes []config.Change) (config.Snapshot, error) {
	for _, c := range changes {
		if c.Number != snapshot.Number+1 {
			break
		}
		doc, err := config.Apply(snapshot.Document, c)
		if err != nil {
			return snapshot, err
		}
		snapshot = config.Snapshot{Number: c.Number, Token: c.Token, Document: doc}
	}
	return snapshot, nil
}

// History returns at most limit of the changes that the table still contains,
// newest first.
func (s *Store) History(ctx context.Context, limit int) ([]config.Change, error) {
	head, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	var changes []config.Change
	after := head.Number - min(head.Number, uint64(limit))
	for after < head.Number {
		batch, err := s.readChanges(ctx, after)
		if err != nil || len(batch) == 0 {
			return reversed(changes), err
		}
		changes = append(changes, batch...)
		after = batch[len(batch)-1].Number
	}
	return reversed(changes), nil
}

func reversed(changes []config.Change) []config.Change {
	out := make([]config.Change, 0, len(changes))
	for i := range changes {
		out = append(out, changes[len(changes)-1-i])
	}
	return out
}

// readChanges returns at most changesPerRead changes with numbers above after, in
// order of number.
func (s *Store) readChanges(ctx context.Context, after uint64) ([]config.Change, error) {
	rows, err := s.table.List(ctx, config.ChangePrefix, config.ChangeKey(after), changesPerRead)
	if err != nil {
		return nil, tableUnavailable(err)
	}
	changes := make([]config.Change, 0, len(rows))
	for _, row := range rows {
		var c config.Change
		if err := json.Unmarshal(row.Value, &c); err != nil {
			return nil, errors.Annotatef(err, "row %s", row.Key)
		}
		changes = append(changes, c)
	}
	return changes, nil
}

// readRow decodes one row into dst. It leaves dst unchanged if the row does not
// exist.
func (s *Store) readRow(ctx context.Context, key string, dst any) error {
	rows, err := s.table.Get(ctx, key)
	if err != nil {
		return tableUnavailable(err)
	}
	if rows[0].Revision == 0 {
		return nil
	}
	return errors.Annotatef(json.Unmarshal(rows[0].Value, dst), "row %s", key)
}

// tableUnavailable returns a problem.PlatformDown error for a failed read.
func tableUnavailable(err error) error {
	return problem.New(problem.PlatformDown, err.Error(), "check --platform and try again later")
}
