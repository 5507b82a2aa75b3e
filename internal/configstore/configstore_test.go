package configstore

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/config"
	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/platform"
	"github.com/pimentoshore/pimentoshore/internal/standin/memtable"
)

func newDocument(dataCentres ...string) inventory.Document {
	var doc inventory.Document
	for _, name := range dataCentres {
		doc.DataCentres = append(doc.DataCentres, inventory.DataCentre{Name: name})
	}
	return doc
}

func TestProposeReadAndHistory(t *testing.T) {
	ctx := context.Background()
	s := New(memtable.New(memtable.Options{}))
	base, err := s.Read(ctx)
	assert.NilError(t, err)
	assert.Equal(t, base.Number, uint64(0))

	number, err := s.Propose(ctx, base, newDocument("praha"), "anna")
	assert.NilError(t, err)
	assert.Equal(t, number, uint64(1))
	_, err = s.Propose(ctx, base, newDocument("brno"), "ben")
	assert.Assert(t, problem.Is(err, problem.ConfigConflict), "%v", err)

	number, err = s.Edit(ctx, "ben", func(d *inventory.Document) error {
		d.DataCentres[0].Out = true
		return nil
	})
	assert.NilError(t, err)
	assert.Equal(t, number, uint64(2))
	newest, err := s.Read(ctx)
	assert.NilError(t, err)
	assert.Assert(t, newest.Document.DataCentres[0].Out)

	changes, err := s.History(ctx, 10)
	assert.NilError(t, err)
	assert.Equal(t, len(changes), 2)
	assert.Equal(t, changes[0].Author, "ben")
	changes, err = s.History(ctx, 1)
	assert.NilError(t, err)
	assert.Equal(t, changes[0].Number, uint64(2))
}

// racingTable is a table that calls beforeCommit once, before the first commit,
// so that another operator's change is written first.
type racingTable struct {
	platform.Table
	beforeCommit func()
}

func (r *racingTable) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	if race := r.beforeCommit; race != nil {
		r.beforeCommit = nil
		race()
	}
	return r.Table.Commit(ctx, txn)
}

func TestEditRetriesAfterConflict(t *testing.T) {
	ctx := context.Background()
	table := memtable.New(memtable.Options{})
	other := New(table)
	_, err := other.Propose(ctx, mustRead(t, other), newDocument("brno", "praha"), "anna")
	assert.NilError(t, err)
	r := &racingTable{Table: table, beforeCommit: func() {
		_, err := other.Edit(ctx, "anna", func(d *inventory.Document) error { d.DataCentres[0].Out = true; return nil })
		assert.NilError(t, err)
	}}
	number, err := New(r).Edit(ctx, "ben", func(d *inventory.Document) error { d.DataCentres[1].Out = true; return nil })
	assert.NilError(t, err)
	assert.Equal(t, number, uint64(3))
	newest := mustRead(t, other)
	assert.Assert(t, newest.Document.DataCentres[0].Out && newest.Document.DataCentres[1].Out)
}

func TestProposeReadsBackAfterLostAnswer(t *testing.T) {
	ctx := context.Background()
	table := memtable.New(memtable.Options{})
	table.SetFaults(memtable.Faults{LoseAnswers: 1})
	s := New(table)
	number, err := s.Propose(ctx, mustRead(t, s), newDocument("praha"), "anna")
	assert.NilError(t, err)
	assert.Equal(t, number, uint64(1))
	assert.Equal(t, table.Counts().Writes, uint64(1))
}

func TestProposeReportsNotWrittenWhilePlatformIsDown(t *testing.T) {
	table := memtable.New(memtable.Options{})
	s := New(table)
	base := mustRead(t, s)
	table.SetFaults(memtable.Faults{Down: true})
	_, err := s.Propose(context.Background(), base, newDocument("praha"), "anna")
	assert.Assert(t, problem.Is(err, problem.PlatformDown), "%v", err)
	assert.Equal(t, problem.As(err).Ran, problem.RanNo)
}

func mustRead(t *testing.T, s *Store) config.Snapshot {
	t.Helper()
	snapshot, err := s.Read(context.Background())
	assert.NilError(t, err)
	return snapshot
}
