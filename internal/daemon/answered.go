package daemon

import (
	"context"
	"errors"

	"github.com/pimentoshore/pimentoshore/internal/platform"
)

// answeredTable is a Table that reports each call that the platform answered.
type answeredTable struct {
	table    platform.Table
	answered func()
}

func (t answeredTable) note(err error) {
	if err == nil || errors.Is(err, platform.ErrConflict) {
		t.answered()
	}
}

// Get implements platform.Table.
func (t answeredTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	rows, err := t.table.Get(ctx, keys...)
	t.note(err)
	return rows, err
}

// List implements platform.Table.
func (t answeredTable) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	rows, err := t.table.List(ctx, prefix, after, limit)
	t.note(err)
	return rows, err
}

// Commit implements platform.Table.
func (t answeredTable) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	revision, err := t.table.Commit(ctx, txn)
	t.note(err)
	return revision, err
}

// VMs implements platform.Table.
func (t answeredTable) VMs(ctx context.Context) ([]platform.VMStatus, error) {
	vms, err := t.table.VMs(ctx)
	t.note(err)
	return vms, err
}
