package updates

import (
	"reflect"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// What the store had acknowledged and lost is written again by operators and VMs
// some time after it came back from an older copy. Until then a record keeps what it
// knows: the copy neither takes back nor brings back anything that is newer here.
const (
	// RelistGrace is how long VMs whose rows lapsed during an outage of the platform,
	// or are missing in an older copy, may take to be listed again.
	RelistGrace = 2200 * time.Millisecond
	// rewriteGrace is the time after which rows of the copy are taken as they are if
	// nobody has written them again. It exceeds the time after which the platform
	// removes the row of a VM that has ended.
	rewriteGrace = 5 * time.Second
)

// restored is what the copy from which the store came back says of a VM, while the
// record keeps something newer.
type restored struct {
	// missing reports whether the copy lacks the VM, or has only an earlier start.
	missing bool
	// copied is the copy's row, or nil if there is none or it equals the record's.
	copied *fleet.Row
}

// beginEra prepares the entries for the first list of a new era.
func (v *vms) beginEra(now time.Time, rev Revision) {
	v.restoredAt = now
	for id, e := range v.entries {
		e.changed, e.seen, e.restored = rev, rev, restored{}
		v.entries[id] = e
	}
}

// mergeCopy returns what a whole list of the store, or of another node, adds to the
// record after the store came back from an older copy. first reports whether it is
// the first list of the era. Rows that equal the copy's are no news.
func (v *vms) mergeCopy(u VMs, first bool) VMs {
	out := VMs{Era: u.Era, Version: u.Version}
	present := make(map[string]bool, len(u.Rows))
	for _, row := range u.Rows {
		present[row.ID] = true
		if v.isNews(row, first) {
			out.Rows = append(out.Rows, row)
		}
	}
	for id, e := range v.entries {
		switch {
		case present[id] || !e.removedAt.IsZero():
		case first:
			e.restored.missing = true
			v.entries[id] = e
		case !e.restored.missing:
			out.Removed = append(out.Removed, id)
		}
	}
	return out
}

// isNews reports whether a row of a list says more than the record's entry. It
// records the row as the copy's if the list is the first one of the era.
func (v *vms) isNews(row fleet.Row, first bool) bool {
	e, known := v.entries[row.ID]
	switch {
	case !known || e.row.ID != "" && row.Born > e.row.Born:
		return true
	case !first:
		return !e.restored.isCopy(row) && (e.restored.missing || !e.lists(row))
	case e.lists(row):
		return false
	case row.Draining && e.startsDraining(row):
		return true
	}
	e.restored = restored{missing: e.removedAt.IsZero() && row.Born < e.row.Born, copied: &row}
	v.entries[row.ID] = e
	return false
}

// isCopy reports whether a row is the copy's.
func (r *restored) isCopy(row fleet.Row) bool {
	return r.copied != nil && reflect.DeepEqual(*r.copied, row)
}

// lists reports whether the VM is listed with the given row.
func (e *entry) lists(row fleet.Row) bool {
	return e.removedAt.IsZero() && reflect.DeepEqual(e.row, row)
}

// startsDraining reports whether the VM is listed, and did not drain yet, in the
// start that a row shows. No VM stops draining before it ends.
func (e *entry) startsDraining(row fleet.Row) bool {
	return e.removedAt.IsZero() && !e.row.Draining && e.row.Born == row.Born
}

// Settle returns the changes that are due because rows which the store lost were not
// written again in time, and reports whether evacuations have changed so.
func (r *Record) Settle(now time.Time) (changes VMs, evacuations bool) {
	return r.vms.settle(now), r.operators.settle(now)
}

func (v *vms) settle(now time.Time) VMs {
	out := VMs{Era: v.rev.Era, Version: v.rev.Version}
	since := now.Sub(v.restoredAt)
	if v.restoredAt.IsZero() || since < RelistGrace {
		return out
	}
	earlierStarts := make(map[string]*fleet.Row)
	for id, e := range v.entries {
		switch {
		case e.restored.copied != nil && since >= rewriteGrace:
			out.Rows = append(out.Rows, e.settledRow())
		case e.restored.missing:
			out.Removed = append(out.Removed, id)
			earlierStarts[id] = e.restored.copied
		}
	}
	v.apply(now, out)
	for id, copied := range earlierStarts {
		e := v.entries[id]
		e.restored.copied = copied
		v.entries[id] = e
	}
	if since >= rewriteGrace {
		v.restoredAt = time.Time{}
	}
	return out
}

// published returns the VM's row in the store, and whether the store lists the VM.
func (e *entry) published() (row fleet.Row, listed bool) {
	if e.restored.copied != nil {
		return *e.restored.copied, true
	}
	return e.row, e.removedAt.IsZero() && !e.restored.missing
}

// settledRow returns the copy's row. A start of a VM that was draining remains so.
func (e *entry) settledRow() fleet.Row {
	row := *e.restored.copied
	row.Draining = row.Draining || e.row.Draining && e.row.Born == row.Born
	return row
}

// beginEra keeps the evacuations that are known, and puts those of the copy in force
// that are not known to have ended.
func (o *operators) beginEra(now time.Time, u Operators) {
	o.copied, o.restoredAt = make(map[string]bool), now
	for dc, evacuated := range u.Evacuated {
		if !evacuated {
			continue
		}
		o.copied[dc] = true
		if !o.ended[dc] {
			o.setEvacuated(now, dc, true)
		}
	}
}

// applyAfterRestore applies an update while the copy's evacuations are not in force
// yet. Only what differs from the copy, or changes it, is news.
func (o *operators) applyAfterRestore(now time.Time, u Operators) {
	for dc, evacuated := range u.Evacuated {
		if evacuated != o.copied[dc] {
			o.setBoth(now, dc, evacuated)
		}
	}
	if !u.Whole {
		return
	}
	for dc := range o.copied {
		if !u.Evacuated[dc] {
			o.setBoth(now, dc, false)
		}
	}
}

func (o *operators) setBoth(now time.Time, dc string, evacuated bool) {
	o.setEvacuated(now, dc, evacuated)
	delete(o.copied, dc)
	if evacuated {
		o.copied[dc] = true
	}
}

// settle puts the copy's evacuations in force once they have had time to be written
// again. It reports whether it did.
func (o *operators) settle(now time.Time) bool {
	if o.copied == nil || now.Sub(o.restoredAt) < rewriteGrace {
		return false
	}
	copied := o.copied
	o.copied = nil
	o.applyEvacuations(now, Operators{Whole: true, Evacuated: copied})
	return true
}
