package news

import (
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// removedKept is how long the record tells that a VM was removed. Who asks
// from before that gets the whole list.
const removedKept = time.Minute

// Record holds the newest of what was published, and since when.
type Record struct {
	operators operators
	vms       vms
}

type operators struct {
	version   uint64
	catalog   *catalog.Catalog
	changedAt uint64 // version of the catalog's newest change
	evacuated map[string]bool
}

type vms struct {
	version uint64
	// floor is the version up to which removed VMs are not known.
	floor   uint64
	entries map[string]entry
}

// entry is a VM's row or its removal.
type entry struct {
	row fleet.Row
	// changedAt is the version of the newest change of what the row says, and
	// seenAt that of the newest news of it.
	changedAt, seenAt uint64
	removedAt         time.Time // zero if the VM is listed
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{vms: vms{entries: make(map[string]entry)}}
}

// Position returns the versions up to which the record is complete.
func (r *Record) Position() Position {
	return Position{Operators: r.operators.version, VMs: r.vms.version}
}

// Evacuated returns the data centres that are to get no work.
func (r *Record) Evacuated() map[string]bool { return maps.Clone(r.operators.evacuated) }

// PutOperators takes news in. It reports false for news that are older than
// the record: these must be ignored, since a later change may be undone.
func (r *Record) PutOperators(n Operators) bool {
	o := &r.operators
	if n.Version < o.version || n.Version == 0 {
		return false
	}
	o.version = n.Version
	if n.Catalog != nil && (o.catalog == nil || n.Catalog.Version > o.catalog.Version) {
		o.catalog, o.changedAt = n.Catalog, n.Version
	}
	if n.Whole || o.evacuated == nil {
		o.evacuated = make(map[string]bool, len(n.Evacuated))
	}
	for dc, out := range n.Evacuated {
		if out {
			o.evacuated[dc] = true
		} else {
			delete(o.evacuated, dc)
		}
	}
	return true
}

// PutVMs takes news in. It reports false for news that are older than the
// record: these must be ignored.
func (r *Record) PutVMs(now time.Time, n VMs) bool {
	v := &r.vms
	if n.Version < v.version || n.Version == 0 {
		return false
	}
	if n.Whole {
		v.floor = n.Version
	}
	v.version = n.Version
	present := make(map[string]bool, len(n.Rows))
	for _, row := range n.Rows {
		present[row.ID] = true
		v.put(row)
	}
	for _, id := range n.Removed {
		v.remove(now, id)
	}
	if n.Whole {
		for id := range v.entries {
			if !present[id] {
				v.remove(now, id)
			}
		}
	}
	v.forget(now)
	return true
}

// put notes a row. One that says the same as before is no change to those who
// know this record.
func (v *vms) put(row fleet.Row) {
	old, ok := v.entries[row.ID]
	if ok && old.removedAt.IsZero() && reflect.DeepEqual(old.row, row) {
		old.seenAt = v.version
		v.entries[row.ID] = old
		return
	}
	v.entries[row.ID] = entry{row: row, changedAt: v.version, seenAt: v.version}
}

// remove notes that a VM is gone, also one that was never known here: who asks
// may know it.
func (v *vms) remove(now time.Time, id string) {
	e := v.entries[id]
	if e.removedAt.IsZero() {
		e = entry{changedAt: v.version}
	}
	e.seenAt, e.removedAt = v.version, now
	v.entries[id] = e
}

func (v *vms) forget(now time.Time) {
	for id, e := range v.entries {
		if !e.removedAt.IsZero() && now.Sub(e.removedAt) > removedKept {
			v.floor = max(v.floor, e.seenAt)
			delete(v.entries, id)
		}
	}
}

// OperatorsAfter returns what has changed since a version, or nil if the
// record is older.
func (r *Record) OperatorsAfter(after uint64) *Operators {
	o := &r.operators
	if o.version == 0 || o.version < after {
		return nil
	}
	n := &Operators{Version: o.version, Whole: true, Evacuated: maps.Clone(o.evacuated)}
	if o.changedAt > after {
		n.Catalog = o.catalog
	}
	return n
}

// VMsAfter returns what has changed since a version, or nil if the record is
// older. Who has that version from this record gets no rows that say the same
// as then; others may have seen the rows say something else meanwhile.
func (r *Record) VMsAfter(after uint64, fromHere bool) *VMs {
	v := &r.vms
	if v.version == 0 || v.version < after {
		return nil
	}
	n := &VMs{Version: v.version, Whole: after < v.floor || after == 0}
	for id, e := range v.entries {
		since := e.seenAt
		if fromHere {
			since = e.changedAt
		}
		switch {
		case !n.Whole && since <= after:
		case e.removedAt.IsZero():
			n.Rows = append(n.Rows, e.row)
		default:
			n.Removed = append(n.Removed, id)
		}
	}
	slices.SortFunc(n.Rows, func(a, b fleet.Row) int { return strings.Compare(a.ID, b.ID) })
	slices.Sort(n.Removed)
	return n
}
