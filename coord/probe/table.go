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
	// SilentAfter is the age at which a report is no longer passed on as
	// unchanged.
	SilentAfter time.Duration
}

// Row is what a prober has seen of a VM.
type Row struct {
	Report member.Report
	// Version is the table's counter when the row last changed.
	Version uint64
	// Age is the time since the newest answered probe was sent.
	Age time.Duration
	// Silent says that the VM has not answered lately. The row is refreshed
	// no more until it comes in full again.
	Silent bool
	// Refused says that the VM refused the connection of that probe.
	Refused bool
}

// Request asks for what changed after a version of one process of a prober.
type Request struct {
	Incarnation string
	Version     uint64
}

// Answer says what a prober has seen.
type Answer struct {
	Incarnation string
	Version     uint64
	// Whole says that Rows are all rows; others that the follower has are no
	// more. Otherwise each row that is neither listed nor silent is unchanged
	// and at most UnchangedAge old.
	Whole        bool
	UnchangedAge time.Duration
	Rows         []Row // by VM
}

// Table holds what this node has seen at first hand. It is not safe for
// concurrent use.
type Table struct {
	opts    Options
	version uint64
	// floor is the version at which a row was last removed. A follower that
	// has not seen it gets all rows.
	floor uint64
	rows  map[string]*row
	order []*row // by VM
}

type row struct {
	Row
	sentAt time.Time
}

// NewTable returns an empty table.
func NewTable(opts Options) *Table {
	return &Table{opts: opts, rows: map[string]*row{}}
}

// Observe takes in the report that answered a probe. sentAt is when the probe
// was sent.
func (t *Table) Observe(sentAt time.Time, r member.Report) {
	t.see(sentAt, r, false)
}

// ObserveRefusal takes in that a VM refused the connection of a probe.
func (t *Table) ObserveRefusal(sentAt time.Time, vm string) {
	report := member.Report{VM: vm}
	if old, ok := t.rows[vm]; ok {
		report = old.Report
	}
	t.see(sentAt, report, true)
}

func (t *Table) see(sentAt time.Time, r member.Report, refused bool) {
	w, ok := t.rows[r.VM]
	if !ok {
		w = t.add(r.VM)
	}
	if sentAt.Before(w.sentAt) {
		return
	}
	if !ok || w.Silent || w.Refused != refused || differs(&w.Report, &r) {
		w.Report = r
		w.Version = t.next()
	}
	w.Silent, w.Refused = false, refused
	w.sentAt = sentAt
}

func (t *Table) add(vm string) *row {
	w := &row{}
	t.rows[vm] = w
	i, _ := t.find(vm)
	w.Report.VM = vm
	t.order = slices.Insert(t.order, i, w)
	return w
}

func (t *Table) find(vm string) (int, bool) {
	return slices.BinarySearchFunc(t.order, vm, func(w *row, vm string) int {
		return strings.Compare(w.Report.VM, vm)
	})
}

func (t *Table) next() uint64 {
	t.version++
	return t.version
}

// Forget removes a VM that this node probes no more.
func (t *Table) Forget(vm string) {
	if _, ok := t.rows[vm]; !ok {
		return
	}
	delete(t.rows, vm)
	i, _ := t.find(vm)
	t.order = slices.Delete(t.order, i, i+1)
	t.floor = t.next()
}

// VMs lists the VMs seen, by name.
func (t *Table) VMs() []string {
	names := make([]string, len(t.order))
	for i, w := range t.order {
		names[i] = w.Report.VM
	}
	return names
}

// Answer tells a follower what it does not know.
func (t *Table) Answer(now time.Time, req Request) Answer {
	t.silence(now)
	a := Answer{Incarnation: t.opts.Incarnation, Version: t.version}
	a.Whole = req.Incarnation != t.opts.Incarnation || req.Version < t.floor || req.Version > t.version
	for _, w := range t.order {
		switch {
		case a.Whole || w.Version > req.Version:
			r := w.Row
			r.Age = now.Sub(w.sentAt)
			a.Rows = append(a.Rows, r)
		case !w.Silent:
			a.UnchangedAge = max(a.UnchangedAge, now.Sub(w.sentAt))
		}
	}
	return a
}

// silence marks the rows that have grown too old to be passed on as unchanged.
func (t *Table) silence(now time.Time) {
	for _, w := range t.order {
		if !w.Silent && now.Sub(w.sentAt) > t.opts.SilentAfter {
			w.Silent = true
			w.Version = t.next()
		}
	}
}

// latencyStep is the part of a step latency by which a change of it is passed on.
const latencyStep = 4

// differs reports whether a report has to be passed on in full. Counters that
// change with each request are left to the next change of another field.
func differs(a, b *member.Report) bool {
	place := a.Incarnation != b.Incarnation || a.State != b.State || a.Group != b.Group ||
		a.Generation != b.Generation || a.Model != b.Model || a.Rank != b.Rank || a.Fence != b.Fence
	if place || (a.InFlight == 0) != (b.InFlight == 0) {
		return true
	}
	step := a.StepLatency - b.StepLatency
	return max(step, -step)*latencyStep > a.StepLatency
}
