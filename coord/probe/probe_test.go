package probe

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/budget"
	"github.com/pimentoshore/pimentoshore/coord/member"
)

var start = time.Unix(1000, 0)

const silentAfter = time.Second

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func report(vm, incarnation string) member.Report {
	return member.Report{VM: vm, Incarnation: incarnation, State: member.Ready}
}

// endpoints returns groups of 32 VMs and as many single VMs.
func endpoints(groups int) []Endpoint {
	var out []Endpoint
	for g := range groups {
		e := Endpoint{Name: fmt.Sprintf("praha/g%d", g)}
		for i := range 32 {
			e.VMs = append(e.VMs, fmt.Sprintf("m%d-%d", g, i))
		}
		single := fmt.Sprintf("s%d", g)
		out = append(out, e, Endpoint{Name: single, VMs: []string{single}})
	}
	return out
}

func TestEachVMHasTwoProbers(t *testing.T) {
	var live []string
	for i := range 32 {
		live = append(live, fmt.Sprintf("e%d", i))
	}
	all := endpoints(12)
	d := Divide(all, live)
	first := map[string]int{}
	for _, e := range all {
		homes := budget.Homes(e.Name, live, budget.DefaultHomes)
		for _, vm := range e.VMs {
			assert.Equal(t, len(d[vm]), 2)
			assert.Assert(t, slices.Contains(d[vm], homes[0]) && slices.Contains(d[vm], homes[1]))
			first[d[vm][0]]++
		}
	}
	// No VM could move to a prober that has two fewer.
	for _, e := range all {
		for _, vm := range e.VMs {
			assert.Assert(t, first[d[vm][0]] <= first[d[vm][1]]+1, "%s: %v", vm, first)
		}
	}

	slices.Reverse(all)
	slices.Reverse(live)
	assert.DeepEqual(t, Divide(all, live), d)
}

func TestFewNodesDivide(t *testing.T) {
	all := endpoints(1)
	for vm, probers := range Divide(all, []string{"e0"}) {
		assert.Assert(t, slices.Equal(probers, []string{"e0"}), "%s: %v", vm, probers)
	}
	assert.Equal(t, len(Divide(all, nil)), 0)
}

func TestUnchangedRowsAreNotSent(t *testing.T) {
	table, f := NewTable(Options{Incarnation: "1", SilentAfter: silentAfter}), NewFollower()
	table.Observe(at(0), report("a", "1"))
	table.Observe(at(0.2), report("b", "1"))
	a := table.Answer(at(0.4), f.Request())
	assert.Equal(t, len(a.Rows), 2)
	f.Merge(at(0.5), at(0.3), f.Request(), a)

	busy := report("a", "1")
	busy.Completed = 7
	table.Observe(at(1), busy)
	table.Observe(at(1.2), report("b", "2"))
	req := f.Request()
	a = table.Answer(at(1.4), req)
	assert.Equal(t, len(a.Rows), 1)
	assert.Equal(t, a.UnchangedAge, 400*time.Millisecond)
	seen := f.Merge(at(1.5), at(1.3), req, a)
	assert.Equal(t, len(seen), 2)
	assert.Equal(t, seen[0].Report.Incarnation, "2")
	assert.Equal(t, seen[0].SentAt, at(1.1))
	assert.Equal(t, seen[1].SentAt, at(0.9))
}

func TestSilentAndForgottenRowsAreNotRefreshed(t *testing.T) {
	table, f := NewTable(Options{Incarnation: "1", SilentAfter: silentAfter}), NewFollower()
	pull := func(now time.Time) int {
		req := f.Request()
		return len(f.Merge(now, now, req, table.Answer(now, req)))
	}
	table.Observe(at(0), report("a", "1"))
	table.Observe(at(0), report("b", "1"))
	assert.Equal(t, pull(at(0.5)), 2)
	table.Observe(at(2), report("b", "1"))
	assert.Equal(t, pull(at(2)), 2) // a as silent, b in full after its pause
	assert.Equal(t, pull(at(2.5)), 1)
	table.Forget("b")
	assert.Equal(t, pull(at(2.6)), 1) // the silent one, as part of the whole
	assert.Equal(t, pull(at(2.7)), 0)
}

// world passes the messages of one prober and one follower with delays, losses
// and crossings, and compares what the follower believes to what happened.
type world struct {
	rng     *rand.Rand
	now     time.Time
	table   *Table
	f       *Follower
	reports map[string]member.Report
	// probed holds when each content of a VM was last probed.
	probed  map[string]time.Time
	flights []flight
	early   int
	dated   int
}

type flight struct {
	at     time.Time
	sentAt time.Time
	req    Request
	answer *Answer // nil while the request is on its way
}

func (w *world) step(i int) {
	w.now = w.now.Add(time.Duration(w.rng.IntN(100)) * time.Millisecond)
	w.deliver()
	vm := fmt.Sprintf("m%d", w.rng.IntN(4))
	switch w.rng.IntN(12) {
	case 0:
		w.reports[vm] = report(vm, fmt.Sprint(i))
	case 1:
		if w.rng.IntN(10) == 0 {
			w.table = NewTable(Options{Incarnation: fmt.Sprint(i), SilentAfter: silentAfter})
		}
	case 2:
		w.table.Forget(vm)
	case 3, 4, 5:
		w.flights = append(w.flights, flight{at: w.later(), sentAt: w.now, req: w.f.Request()})
	default:
		r := w.reports[vm]
		w.table.Observe(w.now, r)
		w.probed[vm+"/"+r.Incarnation] = w.now
	}
}

func (w *world) later() time.Time {
	return w.now.Add(time.Duration(w.rng.IntN(1500)) * time.Millisecond)
}

func (w *world) deliver() {
	flights := w.flights
	w.flights = nil
	for _, m := range flights {
		switch {
		case m.at.After(w.now):
			w.flights = append(w.flights, m)
		case w.rng.IntN(5) == 0: // lost
		case m.answer == nil:
			a := w.table.Answer(w.now, m.req)
			w.flights = append(w.flights, flight{at: w.later(), sentAt: m.sentAt, req: m.req, answer: &a})
		default:
			w.take(w.f.Merge(w.now, m.sentAt, m.req, *m.answer))
		}
	}
}

func (w *world) take(seen []Sighting) {
	for _, s := range seen {
		w.dated++
		if s.SentAt.After(w.probed[s.Report.VM+"/"+s.Report.Incarnation]) {
			w.early++
		}
	}
}

// run returns how many reports were dated, and how many of them later than
// their last probe.
func run(seed uint64, f *Follower) (dated, early int) {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 0)), now: start, f: f,
		table:   NewTable(Options{Incarnation: "0", SilentAfter: silentAfter}),
		reports: map[string]member.Report{}, probed: map[string]time.Time{},
	}
	for i := range 4 {
		vm := fmt.Sprintf("m%d", i)
		w.reports[vm] = report(vm, "0")
	}
	for i := range 2000 {
		w.step(i)
	}
	return w.dated, w.early
}

// TestNoReportLooksFresherThanItIs runs lossy traces. Without counting from
// the pull's sending, reports look fresher than they are.
func TestNoReportLooksFresherThanItIs(t *testing.T) {
	early := 0
	for seed := range uint64(50) {
		dated, wrong := run(seed, NewFollower())
		assert.Assert(t, dated > 100, "seed %d: %d reports", seed, dated)
		assert.Equal(t, wrong, 0, "seed %d", seed)
		f := NewFollower()
		f.trustReceipt = true
		_, wrong = run(seed, f)
		early += wrong
	}
	assert.Assert(t, early > 0)
}
