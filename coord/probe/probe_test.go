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

func newReport(vm, incarnation string) member.Report {
	return member.Report{VM: vm, Incarnation: incarnation, State: member.Ready}
}

// makeEndpoints returns the given number of groups of 32 VMs, and as many single
// VMs.
func makeEndpoints(groups int) []Endpoint {
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
	all := makeEndpoints(12)
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
	// No VM could move to a prober with at least two VMs fewer.
	for _, e := range all {
		for _, vm := range e.VMs {
			assert.Assert(t, first[d[vm][0]] <= first[d[vm][1]]+1, "%s: %v", vm, first)
		}
	}

	slices.Reverse(all)
	slices.Reverse(live)
	assert.DeepEqual(t, Divide(all, live), d)
}

func TestDivideFewNodes(t *testing.T) {
	all := makeEndpoints(1)
	for vm, probers := range Divide(all, []string{"e0"}) {
		assert.Assert(t, slices.Equal(probers, []string{"e0"}), "%s: %v", vm, probers)
	}
	assert.Equal(t, len(Divide(all, nil)), 0)
}

func TestUnchangedRowsAreNotSent(t *testing.T) {
	table, f := NewTable(Options{Incarnation: "1", SilentAfter: silentAfter}), NewFollower()
	table.Observe(at(0), newReport("a", "1"))
	table.Observe(at(0.2), newReport("b", "1"))
	a := table.Answer(at(0.4), f.Request())
	assert.Equal(t, len(a.Rows), 2)
	f.Merge(at(0.5), at(0.3), f.Request(), a)

	busy := newReport("a", "1")
	busy.Completed = 7
	table.Observe(at(1), busy)
	table.Observe(at(1.2), newReport("b", "2"))
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
	table.Observe(at(0), newReport("a", "1"))
	table.Observe(at(0), newReport("b", "1"))
	assert.Equal(t, pull(at(0.5)), 2)
	table.Observe(at(2), newReport("b", "1"))
	assert.Equal(t, pull(at(2)), 2) // a as silent, b in full since it was silent before
	assert.Equal(t, pull(at(2.5)), 1)
	table.Forget("b")
	assert.Equal(t, pull(at(2.6)), 1) // the silent row, since the answer contains all rows
	assert.Equal(t, pull(at(2.7)), 0)
}

// simulation delays, drops and reorders the messages between one prober and one
// follower, and compares the follower's times of reports with those of the
// probes.
type simulation struct {
	rng      *rand.Rand
	now      time.Time
	table    *Table
	follower *Follower
	reports  map[string]member.Report
	// probed is the time of the last probe, by VM and incarnation.
	probed   map[string]time.Time
	inFlight []message
	// tooFresh counts the reports with a time after that of their last probe.
	tooFresh int
	// dated counts all reports that Merge returned.
	dated int
}

type message struct {
	arrivesAt time.Time
	sentAt    time.Time
	req       Request
	answer    *Answer // nil for a request
}

func (s *simulation) step(i int) {
	s.now = s.now.Add(time.Duration(s.rng.IntN(100)) * time.Millisecond)
	s.deliver()
	vm := fmt.Sprintf("m%d", s.rng.IntN(4))
	switch s.rng.IntN(12) {
	case 0:
		s.reports[vm] = newReport(vm, fmt.Sprint(i))
	case 1:
		if s.rng.IntN(10) == 0 {
			s.table = NewTable(Options{Incarnation: fmt.Sprint(i), SilentAfter: silentAfter})
		}
	case 2:
		s.table.Forget(vm)
	case 3, 4, 5:
		s.inFlight = append(s.inFlight, message{arrivesAt: s.randomArrival(), sentAt: s.now, req: s.follower.Request()})
	default:
		r := s.reports[vm]
		s.table.Observe(s.now, r)
		s.probed[vm+"/"+r.Incarnation] = s.now
	}
}

func (s *simulation) randomArrival() time.Time {
	return s.now.Add(time.Duration(s.rng.IntN(1500)) * time.Millisecond)
}

func (s *simulation) deliver() {
	messages := s.inFlight
	s.inFlight = nil
	for _, m := range messages {
		switch {
		case m.arrivesAt.After(s.now):
			s.inFlight = append(s.inFlight, m)
		case s.rng.IntN(5) == 0: // the message is lost
		case m.answer == nil:
			a := s.table.Answer(s.now, m.req)
			s.inFlight = append(s.inFlight, message{arrivesAt: s.randomArrival(), sentAt: m.sentAt, req: m.req, answer: &a})
		default:
			s.check(s.follower.Merge(s.now, m.sentAt, m.req, *m.answer))
		}
	}
}

func (s *simulation) check(seen []Observation) {
	for _, o := range seen {
		s.dated++
		if o.SentAt.After(s.probed[o.Report.VM+"/"+o.Report.Incarnation]) {
			s.tooFresh++
		}
	}
}

// runSimulation returns how many reports got a time, and for how many of them
// that is later than their last probe.
func runSimulation(seed uint64, f *Follower) (dated, tooFresh int) {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 0)), now: start, follower: f,
		table:   NewTable(Options{Incarnation: "0", SilentAfter: silentAfter}),
		reports: map[string]member.Report{}, probed: map[string]time.Time{},
	}
	for i := range 4 {
		vm := fmt.Sprintf("m%d", i)
		s.reports[vm] = newReport(vm, "0")
	}
	for i := range 2000 {
		s.step(i)
	}
	return s.dated, s.tooFresh
}

// TestReportAgeIsNeverUnderstated simulates lost and delayed messages. It also
// verifies that the simulation detects reports which look too recent when ages
// are subtracted from the receipt of the answer instead of the sending of the
// pull.
func TestReportAgeIsNeverUnderstated(t *testing.T) {
	tooFreshFromReceipt := 0
	for seed := range uint64(50) {
		dated, tooFresh := runSimulation(seed, NewFollower())
		assert.Assert(t, dated > 100, "seed %d: %d reports", seed, dated)
		assert.Equal(t, tooFresh, 0, "seed %d", seed)
		f := NewFollower()
		f.ageFromReceipt = true
		_, tooFresh = runSimulation(seed, f)
		tooFreshFromReceipt += tooFresh
	}
	assert.Assert(t, tooFreshFromReceipt > 0)
}
