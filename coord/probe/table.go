package probe

import (
	"slices"
	"strings"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

// Options configures a Table.
type Options struct {
	// Incarnation identifies this process among those of its VM.
	Incarnation string
	// SilentAfter is the age after which a report is no longer sent as
	// unchanged.
	SilentAfter time.Duration
}

// Row is a prober's latest result for a VM.
type Row struct {
	Report member.Report
	// Version is the value of the table's version counter at the row's last
	// change.
	Version uint64
	// Age is the time since the newest answered probe was sent.
	Age time.Duration
	// Silent means that the VM has not answered recently. The row's time is not
	// refreshed until the row is sent in full again.
	Silent bool
	// Refused means that the VM refused the connection of that probe.
	Refused bool
}

// Request asks for the changes after a version of one process of a prober.
type Request struct {
	Incarnation string
	Version     uint64
}

// Answer contains the results of a prober.
type Answer struct {
	Incarnation string
	Version     uint64
	// Whole means that Rows contains all rows; the follower must drop any
	// others. Otherwise each row that is neither listed nor silent is unchanged
	// and at most UnchangedAge old.
	Whole        bool
	UnchangedAge time.Duration
	Rows         []Row // by VM
}

// Table holds the results of this node's own probes. It is not safe for
// concurrent use.
type Table struct {
	opts    Options
	version uint64
	// floor is the version at which a row was last removed. A follower with an
	// older version gets all rows.
	floor uint64
	rows  map[string]*entry
	order []*entry // by VM
}

// entry is a row and the time at which its newest answered probe was sent.
type entry struct {
	Row
	sentAt time.Time
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	return &Table{opts: opts, rows: map[string]*entry{}}
}

// Observe records the report that answered a probe. sentAt is the time at which
// the probe was sent.
func (t *Table) Observe(sentAt time.Time, r member.Report) {
	t.record(sentAt, r, false)
}

// ObserveRefusal records that a VM refused the connection of a probe sent at
// sentAt.
func (t *Table) ObserveRefusal(sentAt time.Time, vm string) {
	report := member.Report{VM: vm}
	if old, ok := t.rows[vm]; ok {
		report = old.Report
	}
	t.record(sentAt, report, true)
}

// record stores the result of a probe, unless a result of a later probe is
// stored already.
func (t *Table) record(sentAt time.Time, r member.Report, refused bool) {
	e, ok := t.rows[r.VM]
	if !ok {
		e = t.add(r.VM)
	}
	if sentAt.Before(e.sentAt) {
		return
	}
	if !ok || e.Silent || e.Refused != refused || hasChanged(&e.Report, &r) {
		e.Report = r
		e.Version = t.nextVersion()
	}
	e.Silent, e.Refused = false, refused
	e.sentAt = sentAt
}

func (t *Table) add(vm string) *entry {
	e := &entry{}
	t.rows[vm] = e
	i, _ := t.find(vm)
	e.Report.VM = vm
	t.order = slices.Insert(t.order, i, e)
	return e
}

func (t *Table) find(vm string) (int, bool) {
	return slices.BinarySearchFunc(t.order, vm, func(e *entry, vm string) int {
		return strings.Compare(e.Report.VM, vm)
	})
}

func (t *Table) nextVersion() uint64 {
	t.version++
	return t.version
}

// Forget removes a VM that this node no longer probes.
func (t *Table) Forget(vm string) {
	if _, ok := t.rows[vm]; !ok {
		return
	}
	delete(t.rows, vm)
	i, _ := t.find(vm)
	t.order = slices.Delete(t.order, i, i+1)
	t.floor = t.nextVersion()
}

// VMs returns the names of the VMs in the table, sorted.
func (t *Table) VMs() []string {
	names := make([]string, len(t.order))
	for i, e := range t.order {
		names[i] = e.Report.VM
	}
	return names
}

// Answer returns the changes after the version in a follower's request.
func (t *Table) Answer(now time.Time, req Request) Answer {
	t.markSilent(now)
	a := Answer{Incarnation: t.opts.Incarnation, Version: t.version}
	a.Whole = req.Incarnation != t.opts.Incarnation || req.Version < t.floor || req.Version > t.version
	for _, e := range t.order {
		switch {
		case a.Whole || e.Version > req.Version:
			r := e.Row
			r.Age = now.Sub(e.sentAt)
			a.Rows = append(a.Rows, r)
		case !e.Silent:
			a.UnchangedAge = max(a.UnchangedAge, now.Sub(e.sentAt))
		}
	}
	return a
}

// markSilent marks the rows that are older than SilentAfter.
func (t *Table) markSilent(now time.Time) {
	for _, e := range t.order {
		if !e.Silent && now.Sub(e.sentAt) > t.opts.SilentAfter {
			e.Silent = true
			e.Version = t.nextVersion()
		}
	}
}

// latencyChangeDivisor sets which changes of the step latency are sent: those of
// more than 1/latencyChangeDivisor of the value sent last.
const latencyChangeDivisor = 4

// hasChanged reports whether a report must be sent in full. Counters that change
// with each request are sent only when another field changes.
func hasChanged(a, b *member.Report) bool {
	statusChanged := a.Incarnation != b.Incarnation || a.State != b.State || a.Group != b.Group ||
		a.Generation != b.Generation || a.Model != b.Model || a.Rank != b.Rank || a.Fence != b.Fence
	if statusChanged || (a.InFlight == 0) != (b.InFlight == 0) {
		return true
	}
	change := a.StepLatency - b.StepLatency
	return max(change, -change)*latencyChangeDivisor > a.StepLatency
}
