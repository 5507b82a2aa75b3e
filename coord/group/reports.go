package group

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

// Change says what an observed report changed.
type Change struct {
	// Stale is set if a report of a later probe is already known and the
	// observed one was dropped.
	Stale bool
	// NewIncarnation is set if the engine has restarted since the last report,
	// or was not known before.
	NewIncarnation bool
	// Moved is set if the state, group, generation, model or rank changed.
	Moved bool
}

// Reports stores the latest report of each VM. A node that routes requests has
// one for the VMs to which it dispatches.
type Reports struct {
	opts Options
	vms  map[string]*reportRow
}

type reportRow struct {
	report  member.Report
	sentAt  time.Time
	refused bool
}

// NewReports returns an empty table. Of opts it uses ReportTTL and Disable.
func NewReports(opts Options) *Reports {
	return &Reports{opts: opts.withDefaults(), vms: map[string]*reportRow{}}
}

// Observe stores a report. sentAt is when its probe was sent, so that the
// report's age is never underestimated.
func (t *Reports) Observe(sentAt time.Time, r member.Report) Change {
	row, known := t.vms[r.VM]
	if !known {
		t.vms[r.VM] = &reportRow{report: r, sentAt: sentAt}
		return Change{NewIncarnation: true, Moved: true}
	}
	if sentAt.Before(row.sentAt) {
		return Change{Stale: true}
	}
	change := Change{
		NewIncarnation: row.report.Incarnation != r.Incarnation,
		Moved:          hasMoved(&row.report, &r),
	}
	row.report = r
	row.sentAt = sentAt
	row.refused = false
	return change
}

// RecordRefusal records that a VM refused the connection of a probe, which means
// that no engine runs there. A probe that timed out is not recorded; the last
// report expires instead.
func (t *Reports) RecordRefusal(sentAt time.Time, vm string) {
	row, known := t.vms[vm]
	if known && !sentAt.Before(row.sentAt) {
		row.sentAt = sentAt
		row.refused = true
	}
}

// Forget removes a VM that left the inventory.
func (t *Reports) Forget(vm string) {
	delete(t.vms, vm)
}

// Report returns the latest report of a VM and when its probe was sent.
func (t *Reports) Report(vm string) (r member.Report, sentAt time.Time, ok bool) {
	row, ok := t.vms[vm]
	if !ok {
		return member.Report{}, time.Time{}, false
	}
	return row.report, row.sentAt, true
}

// IsWhole reports whether the group is able to serve: the fresh report of every
// member is Ready and names the group, its generation and its model at the
// member's rank. A draining group is whole but must get no new work.
func (t *Reports) IsWhole(g *Group, now time.Time) bool {
	for rank, vm := range g.Members {
		if t.memberCode(g, rank, vm, now) != OK {
			return false
		}
	}
	return len(g.Members) > 0
}

// Reason returns the first reason, in order of rank, why the group may not get
// new work, or OK if it may.
func (t *Reports) Reason(g *Group, now time.Time) Reason {
	if len(g.Members) == 0 {
		return Reason{Code: EmptyGroup}
	}
	for rank, vm := range g.Members {
		code := t.memberCode(g, rank, vm, now)
		if code != OK {
			return Reason{Code: code, VM: vm}
		}
	}
	if g.Draining {
		return Reason{Code: GroupDraining}
	}
	return Reason{Code: OK}
}

func (t *Reports) memberCode(g *Group, rank int, vm string, now time.Time) Code {
	row, ok := t.vms[vm]
	if !ok || now.Sub(row.sentAt) >= t.opts.ReportTTL {
		return NotReporting
	}
	if row.refused {
		return EngineRefused
	}
	if !t.opts.enabled(MatchPlace) {
		return OK
	}
	return placeCode(g, rank, &row.report)
}

// placeCode returns OK if a fresh report shows the VM ready at its place in
// the group, or else the reason why not.
func placeCode(g *Group, rank int, r *member.Report) Code {
	switch {
	case r.Group == "":
		return NotJoined
	case !matchesPlace(g, rank, r):
		return InOtherGroup
	case r.State != member.Ready:
		return StillLoading
	}
	return OK
}

// hasMoved reports whether the two reports differ in state or place.
func hasMoved(a, b *member.Report) bool {
	return a.State != b.State || a.Group != b.Group || a.Generation != b.Generation ||
		a.Model != b.Model || a.Rank != b.Rank
}
