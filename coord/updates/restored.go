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
	// missingGrace is how long a VM that the copy lacks may take to be listed again.
	missingGrace = 2200 * time.Millisecond
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
	equal := e.removedAt.IsZero() && reflect.DeepEqual(e.row, row)
	switch {
	case !known || e.row.ID != "" && row.Born > e.row.Born:
		return true
	case !first:
		isCopy := e.restored.copied != nil && reflect.DeepEqual(*e.restored.copied, row)
		return !isCopy && (e.restored.missing || !equal)
	case !equal:
		e.restored = restored{missing: e.removedAt.IsZero() && row.Born < e.row.Born, copied: &row}
		v.entries[row.ID] = e
	}
	return false
}

// Settle returns the changes that are due because rows which the store lost were not
// written again in time, and reports whether evacuations have changed so.
func (r *Record) Settle(now time.Time) (changes VMs, evacuations bool) {
	return r.vms.settle(now), r.operators.settle(now)
}

func (v *vms) settle(now time.Time) VMs {
	out := VMs{Era: v.rev.Era, Version: v.rev.Version}
	since := now.Sub(v.restoredAt)
	if v.restoredAt.IsZero() || since < missingGrace {
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

// settledRow returns the copy's row. A start of a VM that was draining remains so.
func (e *entry) settledRow() fleet.Row {
	row := *e.restored.copied
	row.Draining = row.Draining || e.row.Draining && e.row.Born == row.Born
	return row
}

// applyAfterRestore applies an update while the copy's evacuations are not in force
// yet. Only what differs from the copy, or changes it, is news.
func (o *operators) applyAfterRestore(u Operators) {
	for dc, evacuated := range u.Evacuated {
		if evacuated != o.copied[dc] {
			o.setBoth(dc, evacuated)
		}
	}
	if !u.Whole {
		return
	}
	for dc := range o.copied {
		if !u.Evacuated[dc] {
			o.setBoth(dc, false)
		}
	}
}

func (o *operators) setBoth(dc string, evacuated bool) {
	if o.evacuated == nil {
		o.evacuated = make(map[string]bool)
	}
	setEvacuated(o.evacuated, dc, evacuated)
	setEvacuated(o.copied, dc, evacuated)
}

// settle puts the copy's evacuations in force once they have had time to be written
// again. It reports whether it did.
func (o *operators) settle(now time.Time) bool {
	if o.copied == nil || now.Sub(o.restoredAt) < rewriteGrace {
		return false
	}
	o.evacuated, o.copied = o.copied, nil
	return true
}
