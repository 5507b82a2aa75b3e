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

func document(dataCentres ...string) inventory.Document {
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

	number, err := s.Propose(ctx, base, document("praha"), "anna")
	assert.NilError(t, err)
	assert.Equal(t, number, uint64(1))
	_, err = s.Propose(ctx, base, document("brno"), "ben")
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

// racer commits another operator's change before the first transaction.
type racer struct {
	platform.Table
	race func()
}

func (r *racer) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	if race := r.race; race != nil {
		r.race = nil
		race()
	}
	return r.Table.Commit(ctx, txn)
}

func TestEditRepeatsOnTopOfRacingChange(t *testing.T) {
	ctx := context.Background()
	table := memtable.New(memtable.Options{})
	other := New(table)
	_, err := other.Propose(ctx, must(t, other), document("brno", "praha"), "anna")
	assert.NilError(t, err)
	r := &racer{Table: table, race: func() {
		_, err := other.Edit(ctx, "anna", func(d *inventory.Document) error { d.DataCentres[0].Out = true; return nil })
		assert.NilError(t, err)
	}}
	number, err := New(r).Edit(ctx, "ben", func(d *inventory.Document) error { d.DataCentres[1].Out = true; return nil })
	assert.NilError(t, err)
	assert.Equal(t, number, uint64(3))
	newest := must(t, other)
	assert.Assert(t, newest.Document.DataCentres[0].Out && newest.Document.DataCentres[1].Out)
}

func TestLostAnswerIsReadBack(t *testing.T) {
	ctx := context.Background()
	table := memtable.New(memtable.Options{})
	table.SetFaults(memtable.Faults{LoseAnswers: 1})
	s := New(table)
	number, err := s.Propose(ctx, must(t, s), document("praha"), "anna")
	assert.NilError(t, err)
	assert.Equal(t, number, uint64(1))
	assert.Equal(t, table.Counts().Writes, uint64(1))
}

func TestPlatformDownSaysNotWritten(t *testing.T) {
	table := memtable.New(memtable.Options{})
	s := New(table)
	base := must(t, s)
	table.SetFaults(memtable.Faults{Down: true})
	_, err := s.Propose(context.Background(), base, document("praha"), "anna")
	assert.Assert(t, problem.Is(err, problem.PlatformDown), "%v", err)
	assert.Equal(t, problem.As(err).Ran, problem.RanNo)
}

func must(t *testing.T, s *Store) config.Snapshot {
	t.Helper()
	snapshot, err := s.Read(context.Background())
	assert.NilError(t, err)
	return snapshot
}
