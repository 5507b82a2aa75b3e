package memtable

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/internal/platform"
)

func put(key, value string) platform.Write {
	return platform.Write{Key: key, Value: []byte(value)}
}

func TestCommitIsConditional(t *testing.T) {
	ctx := context.Background()
	table := New(Options{})
	absent := platform.Txn{Conditions: []platform.Condition{{Key: "a"}}, Writes: []platform.Write{put("a", "1"), put("b", "1")}}

	revision, err := table.Commit(ctx, absent)
	assert.NilError(t, err)
	_, err = table.Commit(ctx, absent)
	assert.ErrorIs(t, err, platform.ErrConflict)

	rows, err := table.Get(ctx, "a", "missing")
	assert.NilError(t, err)
	assert.DeepEqual(t, rows, []platform.Row{{Key: "a", Value: []byte("1"), Revision: revision}, {Key: "missing"}})
	assert.Equal(t, table.Counts().Conflicts, uint64(1))
}

func TestListPages(t *testing.T) {
	ctx := context.Background()
	table := New(Options{})
	writes := []platform.Write{put("x/2", ""), put("x/1", ""), put("y/1", ""), put("x/3", ""), put("w/9", "")}
	_, err := table.Commit(ctx, platform.Txn{Writes: writes})
	assert.NilError(t, err)

	first, err := table.List(ctx, "x/", "", 2)
	assert.NilError(t, err)
	assert.Equal(t, len(first), 2)
	assert.Equal(t, first[1].Key, "x/2")
	rest, err := table.List(ctx, "x/", first[1].Key, 2)
	assert.NilError(t, err)
	assert.Equal(t, len(rest), 1)
	assert.Equal(t, rest[0].Key, "x/3")
}

func TestFaults(t *testing.T) {
	ctx := context.Background()
	now := time.Unix(1000, 0)
	table := New(Options{Now: func() time.Time { return now }})

	table.SetFaults(Faults{LoseAnswers: 1})
	_, err := table.Commit(ctx, platform.Txn{Writes: []platform.Write{put("a", "1")}})
	assert.ErrorIs(t, err, platform.ErrUnknown)
	rows, err := table.Get(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, string(rows[0].Value), "1")

	table.SetFaults(Faults{Down: true})
	_, err = table.Commit(ctx, platform.Txn{Writes: []platform.Write{put("a", "2")}})
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	_, err = table.VMs(ctx)
	assert.ErrorIs(t, err, platform.ErrUnavailable)

	table.SetFaults(Faults{Lag: 10 * time.Second})
	table.SetVMs([]platform.VMStatus{{Name: "vm1"}})
	now = now.Add(9 * time.Second)
	vms, err := table.VMs(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(vms), 0)
	now = now.Add(time.Second)
	vms, err = table.VMs(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(vms), 1)
}
