// Package configstore reads and writes the sequence of configurations in
// the platform's table, on behalf of operators.
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
	pageRows = 256
	// maxReads bounds the reads of a sequence that moves on meanwhile.
	maxReads = 4
)

// Store is the sequence in a table.
type Store struct {
	table platform.Table
}

// New returns the store of a table.
func New(t platform.Table) *Store { return &Store{table: t} }

// Read returns the newest configuration; number 0 without any.
func (s *Store) Read(ctx context.Context) (config.Snapshot, error) {
	var snapshot config.Snapshot
	for range maxReads {
		head, err := s.head(ctx)
		if err != nil {
			return config.Snapshot{}, err
		}
		snapshot, err = s.follow(ctx, head)
		if err != nil {
			return config.Snapshot{}, err
		}
		if snapshot.Number >= head.Number {
			return snapshot, nil
		}
	}
	return config.Snapshot{}, problem.New(problem.PlatformDown, "rows of the configuration are missing from the table",
		"try again; if it persists, restore the table")
}

func (s *Store) head(ctx context.Context) (config.Head, error) {
	var head config.Head
	err := s.get(ctx, config.HeadKey, &head)
	return head, err
}

// follow reads the newest snapshot and the changes after it. It stops short
// of the head if rows were deleted meanwhile.
func (s *Store) follow(ctx context.Context, head config.Head) (config.Snapshot, error) {
	var snapshot config.Snapshot
	if head.Snapshot > 0 {
		if err := s.get(ctx, config.SnapshotKey(head.Snapshot), &snapshot); err != nil {
			return snapshot, err
		}
	}
	for snapshot.Number < head.Number {
		changes, err := s.page(ctx, snapshot.Number)
		if err != nil {
			return snapshot, err
		}
		before := snapshot.Number
		if snapshot, err = apply(snapshot, changes); err != nil || snapshot.Number == before {
			return snapshot, err
		}
	}
	return snapshot, nil
}

func apply(snapshot config.Snapshot, changes []config.Change) (config.Snapshot, error) {
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

// History returns the changes that the table still has, newest first, at
// most limit of them.
func (s *Store) History(ctx context.Context, limit int) ([]config.Change, error) {
	head, err := s.head(ctx)
	if err != nil {
		return nil, err
	}
	var changes []config.Change
	after := head.Number - min(head.Number, uint64(limit))
	for after < head.Number {
		page, err := s.page(ctx, after)
		if err != nil || len(page) == 0 {
			return reversed(changes), err
		}
		changes = append(changes, page...)
		after = page[len(page)-1].Number
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

// page returns changes after a number, in order of number.
func (s *Store) page(ctx context.Context, after uint64) ([]config.Change, error) {
	rows, err := s.table.List(ctx, config.ChangePrefix, config.ChangeKey(after), pageRows)
	if err != nil {
		return nil, unreadable(err)
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

// get reads one row into dst; an absent row leaves it as it is.
func (s *Store) get(ctx context.Context, key string, dst any) error {
	rows, err := s.table.Get(ctx, key)
	if err != nil {
		return unreadable(err)
	}
	if rows[0].Revision == 0 {
		return nil
	}
	return errors.Annotatef(json.Unmarshal(rows[0].Value, dst), "row %s", key)
}

func unreadable(err error) error {
	return problem.New(problem.PlatformDown, err.Error(), "check --platform and try again later")
}
