// Package memtable implements an in-memory platform table with fault switches,
// for tests and for the stand-in of the table service.
package memtable

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pimentoshore/pimentoshore/internal/platform"
)

// Faults are the table's fault switches.
type Faults struct {
	// Down makes every call return platform.ErrUnavailable.
	Down bool
	// Slow delays every call. A commit takes effect even if its context ends
	// during the delay.
	Slow time.Duration
	// LoseAnswers is the number of commits that take effect but return
	// platform.ErrUnknown. Each such commit decrements it.
	LoseAnswers int
	// Lag is the delay after which readers see a new VM list.
	Lag time.Duration
}

// Counts are the numbers of calls executed by the table, and of rows read.
type Counts struct {
	Reads     uint64 `json:"reads"`
	RowsRead  uint64 `json:"rows_read"`
	Writes    uint64 `json:"writes"`
	Conflicts uint64 `json:"conflicts"`
}

// Options configure a Table.
type Options struct {
	// Now is the clock for the lag of the VM list; nil means time.Now.
	Now func() time.Time
}

// vmList is a VM list with the time at which it was set.
type vmList struct {
	at  time.Time
	vms []platform.VMStatus
}

// Table implements platform.Table. It is safe for concurrent use.
type Table struct {
	now func() time.Time

	mu       sync.Mutex
	rows     map[string]platform.Row
	keys     []string // sorted keys of rows
	revision uint64
	lists    []vmList // ordered by time
	faults   Faults
	counts   Counts
}

var _ platform.Table = (*Table)(nil)

// New returns an empty table.
func New(opts Options) *Table {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Table{now: opts.Now, rows: map[string]platform.Row{}}
}

// SetFaults replaces the fault switches.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Faults returns the fault switches. LoseAnswers is the number that remains.
func (t *Table) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// Counts returns the current counters.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// SetVMs replaces the VM list. Readers see the new list after the lag.
func (t *Table) SetVMs(vms []platform.VMStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lists = append(t.lists, vmList{at: t.now(), vms: slices.Clone(vms)})
}

// Get implements platform.Table.
func (t *Table) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if err := t.wait(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countRead(len(keys))
	rows := make([]platform.Row, 0, len(keys))
	for _, key := range keys {
		row := t.rows[key]
		row.Key = key
		rows = append(rows, clone(row))
	}
	return rows, nil
}

// List implements platform.Table. A limit of 0 or less means no limit.
func (t *Table) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := t.wait(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []platform.Row
	start, _ := slices.BinarySearch(t.keys, max(prefix, after))
	for _, key := range t.keys[start:] {
		full := limit > 0 && len(rows) == limit
		if full || !strings.HasPrefix(key, prefix) {
			break
		}
		if key != after {
			rows = append(rows, clone(t.rows[key]))
		}
	}
	t.countRead(len(rows))
	return rows, nil
}

// VMs implements platform.Table.
func (t *Table) VMs(ctx context.Context) ([]platform.VMStatus, error) {
	if err := t.wait(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countRead(1)
	horizon := t.now().Add(-t.faults.Lag)
	var vms []platform.VMStatus
	for _, list := range t.lists {
		if list.at.After(horizon) {
			break
		}
		vms = list.vms
	}
	return slices.Clone(vms), nil
}

// Commit implements platform.Table.
func (t *Table) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	if t.Faults().Down {
		return 0, platform.ErrUnavailable
	}
	waitErr := t.wait(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.Down {
		return 0, platform.ErrUnavailable
	}
	t.counts.Writes++
	if !t.areMet(txn.Conditions) {
		t.counts.Conflicts++
		return 0, platform.ErrConflict
	}
	t.revision++
	for _, w := range txn.Writes {
		t.apply(w)
	}
	if t.faults.LoseAnswers > 0 {
		t.faults.LoseAnswers--
		return 0, platform.ErrUnknown
	}
	if waitErr != nil {
		return 0, platform.ErrUnknown
	}
	return t.revision, nil
}

// areMet reports whether all conditions are met. The caller must hold mu.
func (t *Table) areMet(conditions []platform.Condition) bool {
	for _, c := range conditions {
		if t.rows[c.Key].Revision != c.Revision {
			return false
		}
	}
	return true
}

// apply applies a write at the current revision. The caller must hold mu.
func (t *Table) apply(w platform.Write) {
	at, found := slices.BinarySearch(t.keys, w.Key)
	if w.Delete {
		delete(t.rows, w.Key)
		if found {
			t.keys = slices.Delete(t.keys, at, at+1)
		}
		return
	}
	if !found {
		t.keys = slices.Insert(t.keys, at, w.Key)
	}
	t.rows[w.Key] = platform.Row{Key: w.Key, Value: slices.Clone(w.Value), Revision: t.revision}
}

// countRead counts one read call. The caller must hold mu.
func (t *Table) countRead(rows int) {
	t.counts.Reads++
	t.counts.RowsRead += uint64(rows)
}

// wait delays a call by the Slow switch. It returns platform.ErrUnavailable if the
// table is down or ctx ends before the delay is over.
func (t *Table) wait(ctx context.Context) error {
	f := t.Faults()
	if f.Down || ctx.Err() != nil {
		return platform.ErrUnavailable
	}
	if f.Slow <= 0 {
		return nil
	}
	timer := time.NewTimer(f.Slow)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return platform.ErrUnavailable
	case <-timer.C:
		return nil
	}
}

func clone(row platform.Row) platform.Row {
	row.Value = slices.Clone(row.Value)
	return row
}
