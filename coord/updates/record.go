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
// revision is older gets the whole list.
const removalRetention = time.Minute

// Record holds the newest published data, with the revision of each change.
type Record struct {
	operators operators
	vms       vms
}

type vms struct {
	rev Revision
	// floor is the revision up to which removals are no longer kept.
	floor   Revision
	entries map[string]entry
	// restoredAt is when the store was first seen to have come back from an older
	// copy, or zero once that is settled.
	restoredAt time.Time
}

// entry is a VM's row or its removal.
type entry struct {
	// row is the newest row, also of a VM that was removed since. It has no ID if no
	// row is known.
	row fleet.Row
	// changed is the revision of the newest change of the row's content, and seen
	// that of the newest update that contained the VM, changed or not.
	changed, seen Revision
	removedAt     time.Time // zero if the VM is listed
	restored      restored
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{vms: vms{entries: make(map[string]entry)}}
}

// Position returns the revisions up to which the record is complete.
func (r *Record) Position() Position {
	p := Position{Operators: r.operators.rev, VMs: r.vms.rev}
	if c := r.operators.catalog; c != nil {
		p.CatalogVersion = c.Version
		if !c.StatesKeys() {
			p.CatalogVersion-- // another node may have it with the rule for keys
		}
	}
	return p
}

// PutVMs applies an update. ok is false, and nothing is applied, if the update is
// older than the record: the caller must ignore it too, since it could undo a later
// change. Otherwise it returns the update to apply, which differs from u if the
// store came back from an older copy.
func (r *Record) PutVMs(now time.Time, u VMs) (apply VMs, ok bool) {
	v := &r.vms
	rev := u.Revision()
	newEra := !v.rev.IsZero() && rev.Era > v.rev.Era
	if u.Version == 0 || rev.Compare(v.rev) < 0 || newEra && !u.Whole {
		return VMs{}, false
	}
	if newEra {
		v.beginEra(now, rev)
	}
	if u.Whole {
		v.floor = rev
	}
	v.rev = rev
	if u.Whole && !v.restoredAt.IsZero() {
		u = v.mergeCopy(u, newEra)
	}
	v.apply(now, u)
	return u, true
}

// apply applies an update of the record's revision.
func (v *vms) apply(now time.Time, u VMs) {
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
}

// upsert stores a row. If its content is unchanged, only seen is updated, so that
// nodes which last read from this record don't get it again.
func (v *vms) upsert(row fleet.Row) {
	old, ok := v.entries[row.ID]
	if ok && old.removedAt.IsZero() && reflect.DeepEqual(old.row, row) {
		old.seen, old.restored = v.rev, restored{}
		v.entries[row.ID] = old
		return
	}
	v.entries[row.ID] = entry{row: row, changed: v.rev, seen: v.rev}
}

// remove records the removal of a VM, even of one that was never listed in this
// record, because a requester may have it.
func (v *vms) remove(now time.Time, id string) {
	e := v.entries[id]
	if e.removedAt.IsZero() {
		e.changed = v.rev
	}
	e.seen, e.removedAt, e.restored = v.rev, now, restored{}
	v.entries[id] = e
}

// expireRemovals deletes removals older than removalRetention and raises floor
// to their revisions. Those of VMs that the copy of a restored store has are kept
// until that is settled.
func (v *vms) expireRemovals(now time.Time) {
	for id, e := range v.entries {
		if !e.removedAt.IsZero() && e.restored.copied == nil && now.Sub(e.removedAt) > removalRetention {
			if e.seen.Compare(v.floor) > 0 {
				v.floor = e.seen
			}
			delete(v.entries, id)
		}
	}
}

// VMsAfter returns the changes after a revision, or nil if the record is older
// than that revision. After a restore these are the store's rows: what this record
// keeps may be older than what the requester knows. If the requester got that
// revision from this record (fromHere), rows with the same content as then are left
// out. A requester that got it elsewhere may have seen other content in between, and
// gets them too.
func (r *Record) VMsAfter(after Revision, fromHere bool) *VMs {
	v := &r.vms
	if v.rev.IsZero() || v.rev.Compare(after) < 0 {
		return nil
	}
	u := &VMs{Era: v.rev.Era, Version: v.rev.Version, Whole: after.Compare(v.floor) < 0 || after.IsZero()}
	for id, e := range v.entries {
		rev := e.seen
		if fromHere {
			rev = e.changed
		}
		row, listed := e.published()
		switch {
		case !u.Whole && rev.Compare(after) <= 0:
		case listed:
			u.Rows = append(u.Rows, row)
		default:
			u.Removed = append(u.Removed, id)
		}
	}
	slices.SortFunc(u.Rows, func(a, b fleet.Row) int { return strings.Compare(a.ID, b.ID) })
	slices.Sort(u.Removed)
	return u
}

// operators are the operators' settings.
type operators struct {
	rev Revision
	// catalog is the newest configuration that can be used, and unusable a newer one
	// that can't, or nil.
	catalog  *catalog.Catalog
	unusable *Unusable
	// inForce is catalog, with the client accounts of unusable if it has any.
	inForce   *catalog.Catalog
	evacuated map[string]bool
	// ended contains the data centres whose evacuation has ended.
	ended map[string]bool
	// copied are the evacuations in the copy from which the store came back, with
	// all changes since, and restoredAt when that was first seen. copied is nil
	// once they are in force.
	copied     map[string]bool
	restoredAt time.Time
	returns    returns
}

// Evacuated returns the data centres that must not get work.
func (r *Record) Evacuated() map[string]bool { return maps.Clone(r.operators.evacuated) }

// PutOperators applies an update. It returns false if the update is older than the
// record. Then it applies the configuration alone, if that is newer, since the rest
// could undo a later change.
func (r *Record) PutOperators(now time.Time, u Operators) bool {
	o := &r.operators
	r.PutCatalog(u.Catalog)
	rev := u.Revision()
	newEra := !o.rev.IsZero() && rev.Era > o.rev.Era
	if u.Version == 0 || rev.Compare(o.rev) < 0 || newEra && !u.Whole {
		return false
	}
	o.rev = rev
	o.returns.receive(now, &u)
	o.receiveUnusable(&u)
	switch {
	case newEra:
		o.beginEra(now, u)
	case o.copied != nil:
		o.applyAfterRestore(now, u)
	default:
		o.applyEvacuations(now, u)
	}
	return true
}

// PutCatalog stores a configuration, from whatever source, if it is newer than the
// record's, or states the rule for keys where the record's of the same version doesn't.
// It reports whether it was stored.
func (r *Record) PutCatalog(c *catalog.Catalog) bool {
	o := &r.operators
	if c == nil || !replaces(c, o.catalog) {
		return false
	}
	o.catalog = c.After(o.inForce)
	o.combine()
	return true
}

// replaces reports whether a configuration is to be stored in place of before, which
// may be nil.
func replaces(c, before *catalog.Catalog) bool {
	if before == nil || c.Version > before.Version {
		return true
	}
	return c.Version == before.Version && c.StatesKeys() && !before.StatesKeys()
}

// Catalog returns the configuration in force, or nil: the newest one that can be used,
// with the client accounts of a newer one that can't.
func (r *Record) Catalog() *catalog.Catalog { return r.operators.inForce }

func (o *operators) applyEvacuations(now time.Time, u Operators) {
	if u.Whole {
		for dc := range o.evacuated {
			if !u.Evacuated[dc] {
				o.setEvacuated(now, dc, false)
			}
		}
	}
	for dc, evacuated := range u.Evacuated {
		o.setEvacuated(now, dc, evacuated)
	}
}

func (o *operators) setEvacuated(now time.Time, dc string, evacuated bool) {
	if evacuated {
		o.evacuated = with(o.evacuated, dc)
		delete(o.ended, dc)
		return
	}
	if o.evacuated[dc] {
		o.ended = with(o.ended, dc)
		o.returns.record(dc, now)
	}
	delete(o.evacuated, dc)
}

// with adds a data centre to a set, which may be nil.
func with(set map[string]bool, dc string) map[string]bool {
	if set == nil {
		set = make(map[string]bool)
	}
	set[dc] = true
	return set
}

// OperatorsAfter returns the settings for a requester at a position, or nil if the
// record is older in every respect. The configuration is left out if the requester
// has it; a newer one may come with an older revision, as configurations are ordered
// by their own versions.
func (r *Record) OperatorsAfter(after Position) *Operators {
	o := &r.operators
	older := o.rev.Compare(after.Operators) < 0
	newerCatalog := o.catalog != nil && o.catalog.Version > after.CatalogVersion
	if o.rev.IsZero() || older && !newerCatalog {
		return nil
	}
	evacuated := o.evacuated
	if o.copied != nil {
		evacuated = o.copied // each node keeps what it knows itself
	}
	u := &Operators{Era: o.rev.Era, Version: o.rev.Version, Whole: true, Evacuated: maps.Clone(evacuated), Unusable: o.newerUnusable()}
	if newerCatalog {
		u.Catalog = o.catalog
	}
	return u
}
