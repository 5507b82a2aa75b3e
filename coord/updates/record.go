package updates

import (
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// removalRetention is how long the removal of a VM is kept. A requester whose
// version is older gets the whole list.
const removalRetention = time.Minute

// Record holds the newest published data, with the version of each change.
type Record struct {
	operators operators
	vms       vms
}

type operators struct {
	version        uint64
	catalog        *catalog.Catalog
	changedVersion uint64 // version of the catalog's newest change
	evacuated      map[string]bool
}

type vms struct {
	version uint64
	// floor is the version up to which removals are no longer kept.
	floor   uint64
	entries map[string]entry
}

// entry is a VM's row or its removal.
type entry struct {
	row fleet.Row
	// changedVersion is the version of the newest change of the row's content,
	// and seenVersion that of the newest update that contained the VM, changed
	// or not.
	changedVersion, seenVersion uint64
	removedAt                   time.Time // zero if the VM is listed
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{vms: vms{entries: make(map[string]entry)}}
}

// Position returns the versions up to which the record is complete.
func (r *Record) Position() Position {
	return Position{Operators: r.operators.version, VMs: r.vms.version}
}

// Evacuated returns the data centres that must not get work.
func (r *Record) Evacuated() map[string]bool { return maps.Clone(r.operators.evacuated) }

// PutOperators applies an update. It returns false, without applying it, if
// the update is older than the record: the caller must ignore it too, since it
// could undo a later change.
func (r *Record) PutOperators(u Operators) bool {
	o := &r.operators
	if u.Version < o.version || u.Version == 0 {
		return false
	}
	o.version = u.Version
	if u.Catalog != nil && (o.catalog == nil || u.Catalog.Version > o.catalog.Version) {
		o.catalog, o.changedVersion = u.Catalog, u.Version
	}
	if u.Whole || o.evacuated == nil {
		o.evacuated = make(map[string]bool, len(u.Evacuated))
	}
	for dc, evacuated := range u.Evacuated {
		if evacuated {
			o.evacuated[dc] = true
		} else {
			delete(o.evacuated, dc)
		}
	}
	return true
}

// PutVMs applies an update. It returns false, without applying it, if the
// update is older than the record: the caller must ignore it too.
func (r *Record) PutVMs(now time.Time, u VMs) bool {
	v := &r.vms
	if u.Version < v.version || u.Version == 0 {
		return false
	}
	if u.Whole {
		v.floor = u.Version
	}
	v.version = u.Version
	present := make(map[string]bool, len(u.Rows))
	for _, row := range u.Rows {
		present[row.ID] = true
		v.upsert(row)
	}
	for _, id := range u.Removed {
		v.remove(now, id)
	}
	if u.Whole {
		for id := range v.entries {
			if !present[id] {
				v.remove(now, id)
			}
		}
	}
	v.expireRemovals(now)
	return true
}

// upsert stores a row. If its content is unchanged, only seenVersion is
// updated, so that nodes which last read from this record don't get it again.
func (v *vms) upsert(row fleet.Row) {
	old, ok := v.entries[row.ID]
	if ok && old.removedAt.IsZero() && reflect.DeepEqual(old.row, row) {
		old.seenVersion = v.version
		v.entries[row.ID] = old
		return
	}
	v.entries[row.ID] = entry{row: row, changedVersion: v.version, seenVersion: v.version}
}

// remove records the removal of a VM, even of one that was never listed in this
// record, because a requester may have it.
func (v *vms) remove(now time.Time, id string) {
	e := v.entries[id]
	if e.removedAt.IsZero() {
		e = entry{changedVersion: v.version}
	}
	e.seenVersion, e.removedAt = v.version, now
	v.entries[id] = e
}

// expireRemovals deletes removals older than removalRetention and raises floor
// to their versions.
func (v *vms) expireRemovals(now time.Time) {
	for id, e := range v.entries {
		if !e.removedAt.IsZero() && now.Sub(e.removedAt) > removalRetention {
			v.floor = max(v.floor, e.seenVersion)
			delete(v.entries, id)
		}
	}
}

// OperatorsAfter returns the changes after a version, or nil if the record is
// older than that version.
func (r *Record) OperatorsAfter(after uint64) *Operators {
	o := &r.operators
	if o.version == 0 || o.version < after {
		return nil
	}
	u := &Operators{Version: o.version, Whole: true, Evacuated: maps.Clone(o.evacuated)}
	if o.changedVersion > after {
		u.Catalog = o.catalog
	}
	return u
}

// VMsAfter returns the changes after a version, or nil if the record is older
// than that version. If the requester got that version from this record
// (fromHere), rows with the same content as then are left out. A requester that
// got it elsewhere may have seen other content in between, and gets them too.
func (r *Record) VMsAfter(after uint64, fromHere bool) *VMs {
	v := &r.vms
	if v.version == 0 || v.version < after {
		return nil
	}
	u := &VMs{Version: v.version, Whole: after < v.floor || after == 0}
	for id, e := range v.entries {
		version := e.seenVersion
		if fromHere {
			version = e.changedVersion
		}
		switch {
		case !u.Whole && version <= after:
		case e.removedAt.IsZero():
			u.Rows = append(u.Rows, e.row)
		default:
			u.Removed = append(u.Removed, id)
		}
	}
	slices.SortFunc(u.Rows, func(a, b fleet.Row) int { return strings.Compare(a.ID, b.ID) })
	slices.Sort(u.Removed)
	return u
}
