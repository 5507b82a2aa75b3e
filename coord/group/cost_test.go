package group

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

const (
	costGroupSize  = 8
	costDomainSize = 25 // three groups and a spare
)

// fleet is a manager with engines that carry out orders at once.
type fleet struct {
	m       *Manager
	now     time.Time
	seq     uint64
	events  []Event // a Reported event for each VM
	byName  map[string]int
	orders  []member.Order
	rounds  int
	writes  int
	rowSize int
}

func (f *fleet) Fence(time.Time) (member.Fence, bool) {
	f.seq++
	return member.Fence{Term: 1, Sequence: f.seq}, true
}

// newFleet returns a fleet whose groups have been whole for so long that
// nothing is due any more.
func newFleet(tb testing.TB, vms int) *fleet {
	tb.Helper()
	f := &fleet{m: New(Options{DataCentre: "praha", MaxLoads: vms}), now: time.Unix(1000, 0), byName: map[string]int{}}
	doc := inventoryOf(vms/costDomainSize, costDomainSize, model("m", costGroupSize, 0))
	for i := range doc.VMs {
		doc.VMs[i].ChecksFencing = true
		f.byName[doc.VMs[i].Name] = i
		r := member.Report{VM: doc.VMs[i].Name, Incarnation: "1", State: member.Idle}
		f.events = append(f.events, &Reported{Report: r})
	}
	f.step(Configuration{Number: 1, Document: &doc})
	f.step(LeaseGained{Term: 1, Fencer: f})
	f.settle(tb)
	for range 40 {
		f.advance()
	}
	return f
}

func (f *fleet) step(ev Event) {
	for _, e := range f.m.Step(f.now, ev) {
		switch e := e.(type) {
		case SendOrder:
			f.orders = append(f.orders, e.Order)
		case ReadRow:
			f.step(RowRead{})
		case WriteRow:
			f.writes++
			f.rowSize = len(e.Value)
			f.step(RowWritten{Token: e.Token, Outcome: WriteApplied, Revision: e.Revision + 1})
		}
	}
}

// advance lets one second pass: the engines carry out their orders, every VM
// reports, and the manager gets a tick.
func (f *fleet) advance() {
	f.now = f.now.Add(time.Second)
	f.rounds++
	f.applyOrders()
	for _, ev := range f.events {
		ev.(*Reported).SentAt = f.now
		f.step(ev)
	}
	f.step(Tick{})
}

func (f *fleet) applyOrders() {
	for _, o := range f.orders {
		r := &f.events[f.byName[o.VM]].(*Reported).Report
		*r = member.Report{VM: r.VM, Incarnation: r.Incarnation, State: member.Idle, Fence: o.Fence}
		if o.Action == member.Join {
			r.State, r.Group, r.Generation = member.Ready, o.Group, o.Generation
			r.Model, r.Rank = o.Model, o.Rank
		}
	}
	f.orders = f.orders[:0]
}

// settle advances until every group is whole.
func (f *fleet) settle(tb testing.TB) {
	tb.Helper()
	for range 60 {
		f.advance()
		if f.wholeGroups() == len(f.events)/costDomainSize*3 {
			return
		}
	}
	tb.Fatalf("only %d groups became whole", f.wholeGroups())
}

func (f *fleet) wholeGroups() int {
	return f.m.models["m"].whole
}

// restart restarts every n-th VM and returns the number of restarted VMs.
func (f *fleet) restart(n int) int {
	changed := 0
	for i := 0; i < len(f.events); i += n {
		r := &f.events[i].(*Reported).Report
		*r = member.Report{VM: r.VM, Incarnation: r.Incarnation + "'", State: member.Idle}
		changed++
	}
	return changed
}

// TestTickCostFollowsChanges bounds the table entries that steps visit: none
// if nothing changed, and for each changed VM a number that depends only on
// the sizes of its group and domain. In addition, a tick with changes writes
// the row once, which visits each group twice.
func TestTickCostFollowsChanges(t *testing.T) {
	const rounds = 20
	const perChange = 16 * (costGroupSize + costDomainSize)
	for _, vms := range []int{50, 500, 5000} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			f := newFleet(t, vms)
			before := f.m.Visits()
			allocs := testing.AllocsPerRun(rounds, f.advance)
			assert.Equal(t, f.m.Visits()-before, uint64(0))
			assert.Equal(t, allocs, 0.0)

			before = f.m.Visits()
			f.rounds, f.writes = 0, 0
			changed := f.restart(100)
			f.settle(t)
			visits := f.m.Visits() - before
			encoded := uint64(f.writes * 2 * f.wholeGroups())
			t.Logf("%d VMs: 0 visits and 0 allocations without changes; %d changed VMs cost %d visits (%d each) and %d row writes of %d bytes",
				vms, changed, visits-encoded, (visits-encoded)/uint64(changed), f.writes, f.rowSize)
			assert.Assert(t, visits-encoded <= uint64(changed*perChange), "%d visits for %d changes", visits, changed)
			assert.Assert(t, f.writes <= f.rounds, "%d writes in %d ticks", f.writes, f.rounds)
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, vms := range []int{50, 500, 5000} {
		b.Run(fmt.Sprintf("vms=%d/changed=0", vms), func(b *testing.B) {
			f := newFleet(b, vms)
			b.ReportAllocs()
			for b.Loop() {
				f.now = f.now.Add(time.Microsecond)
				f.step(Tick{})
			}
		})
		b.Run(fmt.Sprintf("vms=%d/reports", vms), func(b *testing.B) {
			f := newFleet(b, vms)
			b.ReportAllocs()
			for b.Loop() {
				f.advance()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*vms), "ns/report")
		})
		b.Run(fmt.Sprintf("vms=%d/changed=1%%", vms), func(b *testing.B) {
			f := newFleet(b, vms)
			before, changed := f.m.Visits(), 0
			b.ReportAllocs()
			for b.Loop() {
				changed += f.restart(100)
				f.settle(b)
			}
			b.ReportMetric(float64(f.m.Visits()-before)/float64(changed), "visits/change")
		})
	}
}
