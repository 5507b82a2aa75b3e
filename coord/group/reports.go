package group

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

// Change says what an observed report changed.
type Change struct {
	// Stale is set if a report of a later probe is known already; the
	// observed one was dropped.
	Stale bool
	// NewIncarnation is set if the engine started anew since the last
	// report, or was not known before.
	NewIncarnation bool
	// Moved is set if the state, group, generation, model or rank changed.
	Moved bool
}

// Reports is the table of the freshest report of each VM. A node that routes
// requests keeps one for the VMs it dispatches to.
type Reports struct {
	opts Options
	vms  map[string]*reportRow
}

type reportRow struct {
	report  member.Report
	sentAt  time.Time
	refused bool
}

// NewReports returns an empty table. It uses ReportTTL and Disable.
func NewReports(opts Options) *Reports {
	return &Reports{opts: opts.withDefaults(), vms: map[string]*reportRow{}}
}

// Observe takes in a report. sentAt is when its probe was sent, so that the
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
		Moved:          moved(&row.report, &r),
	}
	row.report = r
	row.sentAt = sentAt
	row.refused = false
	return change
}

// RecordRefusal takes in that a VM refused the connection of a probe: no engine
// runs there. A probe that timed out says nothing; the report's age does.
func (t *Reports) RecordRefusal(sentAt time.Time, vm string) {
	row, known := t.vms[vm]
	if known && !sentAt.Before(row.sentAt) {
		row.sentAt = sentAt
		row.refused = true
	}
}

// Forget drops a VM that left the inventory.
func (t *Reports) Forget(vm string) {
	delete(t.vms, vm)
}

// Report returns the freshest report of a VM and when its probe was sent.
func (t *Reports) Report(vm string) (r member.Report, sentAt time.Time, ok bool) {
	row, ok := t.vms[vm]
	if !ok {
		return member.Report{}, time.Time{}, false
	}
	return row.report, row.sentAt, true
}

// IsWhole reports whether the group may get work: the fresh report of every
// member is Ready and names the group, its generation and its model at the
// member's rank. A group that drains is whole but must get no new work.
func (t *Reports) IsWhole(g *Group, now time.Time) bool {
	for rank, vm := range g.Members {
		if t.memberCode(g, rank, vm, now) != OK {
			return false
		}
	}
	return len(g.Members) > 0
}

// Reason returns the first reason in rank order why the group may not get new
// work, or OK.
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

// placeCode says whether a fresh report puts the VM at its place in the group.
func placeCode(g *Group, rank int, r *member.Report) Code {
	switch {
	case r.Group == "":
		return NotJoined
	case !inPlace(g, rank, r):
		return InOtherGroup
	case r.State != member.Ready:
		return StillLoading
	}
	return OK
}

// moved reports whether the two reports name different places or states.
func moved(a, b *member.Report) bool {
	return a.State != b.State || a.Group != b.Group || a.Generation != b.Generation ||
		a.Model != b.Model || a.Rank != b.Rank
}
