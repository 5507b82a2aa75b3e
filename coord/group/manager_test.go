package group

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/member"
)

// TestMain fixes the seed of the random tests unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func model(name string, size, groups int) inventory.Model {
	return inventory.Model{Name: name, GroupSize: size, Groups: groups, MaxInFlight: 8, ColdInFlight: 1}
}

// formed returns a world of some domains whose groups are whole.
func formed(t *testing.T, domains, size int, models ...inventory.Model) *world {
	t.Helper()
	w := newWorld(testOptions(), inventoryOf(domains, size, models...), 1, 2)
	w.run(40 * time.Second)
	sound(t, w)
	return w
}

func sound(t *testing.T, w *world) {
	t.Helper()
	assert.Equal(t, len(w.faults), 0, "%v", w.faults)
}

// count returns the number of groups of a model that get work.
func (w *world) count(model string) int {
	n := 0
	for _, g := range w.manager().Groups() {
		if g.Model == model && !g.Draining && w.routers[0].IsWhole(&g, w.now) {
			n++
		}
	}
	return n
}

// lowest runs and returns the lowest number of groups that served.
func (w *world) lowest(d time.Duration) int {
	lowest := w.serving()
	for range int(d / w.tick) {
		w.advance()
		lowest = min(lowest, w.serving())
	}
	return lowest
}

func (w *world) why(vm string) Code {
	for _, s := range w.manager().Status(w.now).Stranded {
		if s.VM == vm {
			return s.Reason.Code
		}
	}
	return OK
}

func TestAssemblesWithinDomains(t *testing.T) {
	w := formed(t, 2, 7, model("m", 3, 0))
	assert.Equal(t, w.serving(), 4)
	for _, g := range w.manager().Groups() {
		for _, name := range g.Members {
			assert.Equal(t, w.byName[name].vm.FabricDomain, g.FabricDomain)
		}
	}
	assert.Equal(t, w.why("d00-v006"), TooFewInDomain)
}

func TestWantedNumberIsKept(t *testing.T) {
	w := formed(t, 2, 7, model("m", 3, 2))
	assert.Equal(t, w.serving(), 2)
	assert.Equal(t, w.why("d00-v006"), WantedReached)
	w.doc.Models[0].Groups = 1
	w.configure()
	w.run(20 * time.Second)
	assert.Equal(t, w.serving(), 1)
	sound(t, w)
}

func TestFirstGroupOfEachModelComesFirst(t *testing.T) {
	w := formed(t, 1, 7, model("a", 3, 0), model("b", 3, 1))
	assert.Equal(t, w.count("a"), 1)
	assert.Equal(t, w.count("b"), 1)
}

func TestNewModelTakesAnExtraGroup(t *testing.T) {
	w := formed(t, 2, 6, model("a", 3, 0))
	w.doc.Models = append(w.doc.Models, model("b", 3, 1))
	w.configure()
	w.run(60 * time.Second)
	assert.Equal(t, w.count("a"), 3)
	assert.Equal(t, w.count("b"), 1)
	sound(t, w)
	before := w.sent
	w.run(120 * time.Second)
	assert.Equal(t, w.sent, before, "regrouping does not end")
}

func TestLastGroupOfAModelIsKept(t *testing.T) {
	w := formed(t, 1, 4, model("a", 4, 0))
	w.doc.Models = append(w.doc.Models, model("b", 2, 2))
	w.configure()
	w.run(120 * time.Second)
	assert.Equal(t, w.count("a"), 1)
	sound(t, w)
}

func TestInheritedSurplusEndsOnce(t *testing.T) {
	w := formed(t, 1, 7, model("m", 3, 2))
	w.grant(w.nodes[1])
	w.run(10 * time.Second)
	w.doc.Models[0].Groups = 1
	w.configure()
	w.run(60 * time.Second)
	assert.Equal(t, w.serving(), 1)
	assert.Equal(t, len(w.manager().Groups()), 1)
	sound(t, w)
}

func TestSurplusIsDrainedAfterAPause(t *testing.T) {
	w := formed(t, 1, 10, model("m", 3, 3))
	w.nodes[0].paused = true
	w.run(20 * time.Second)
	w.nodes[0].paused = false
	w.doc.Models[0].Groups = 2
	w.configure()
	w.run(60 * time.Second)
	assert.Equal(t, w.serving(), 2)
	sound(t, w)
}

func TestRepairComesBeforeNewGroups(t *testing.T) {
	w := formed(t, 1, 8, model("a", 3, 0))
	w.engines[0].dead = true
	w.run(3 * time.Second)
	w.doc.Models = append(w.doc.Models, model("b", 2, 1))
	w.configure()
	w.run(3 * time.Second)
	assert.Equal(t, w.manager().Status(w.now).Groups[0].State, StateForming)
	assert.Equal(t, len(w.manager().Groups()), 2)
}

func TestLeavingVMThatDiesIsNotWaitedFor(t *testing.T) {
	w := formed(t, 1, 7, model("m", 3, 0))
	w.engines[0].dead = true
	w.run(testOptions().ReportTTL + w.tick)
	assert.Equal(t, w.manager().Status(w.now).Groups[0].State, StateBroken)
	w.stepAll(LeavingVMs{Names: []string{"d00-v000"}})
	assert.Equal(t, w.manager().Status(w.now).Groups[0].State, StateForming)
}

func TestPlannedStopsWithSparesComeFirst(t *testing.T) {
	w := formed(t, 3, 7, model("m", 3, 0))
	w.engines[6].dead = true // the spare of the first domain
	w.run(5 * time.Second)
	for _, name := range []string{"d01-v000", "d00-v000", "d02-v000"} {
		w.stepAll(StopRequested{Scope: ScopeVM, Name: name})
	}
	for !w.byName["d00-v000"].domainDrains(w) {
		w.advance()
	}
	assert.Assert(t, w.released["d01-v000"])
	assert.Assert(t, w.released["d02-v000"])
}

// domainDrains reports whether a group of the VM's domain drains.
func (e *engine) domainDrains(w *world) bool {
	for _, g := range w.manager().Groups() {
		if g.FabricDomain == e.vm.FabricDomain && g.Draining {
			return true
		}
	}
	return false
}

func TestOldReportIsDropped(t *testing.T) {
	w := formed(t, 1, 3, model("m", 3, 0))
	old := member.Report{VM: "d00-v000", Incarnation: "0", State: member.Idle}
	w.stepAll(Reported{Report: old, SentAt: w.now.Add(-2 * w.tick)})
	assert.Equal(t, w.manager().Status(w.now).Groups[0].State, StateWhole)
}

func TestHopelessStrayLeavesAtOnce(t *testing.T) {
	w := formed(t, 1, 8, model("m", 3, 0))
	stray := &w.engines[7].report
	stray.State, stray.Group, stray.Generation, stray.Model = member.Loading, "praha/m/9", 5, "m"
	w.grant(w.nodes[1])
	w.run(2 * time.Second)
	assert.Equal(t, stray.State, member.Idle)
	sound(t, w)
}

func TestOwnPauseIsNoPauseOfMembers(t *testing.T) {
	w := formed(t, 1, 7, model("m", 3, 0))
	before := w.sent
	for i := range 3 {
		w.engines[1].paused, w.nodes[0].paused = i < 2, i == 2
		w.run(3 * time.Second)
		w.engines[1].paused, w.nodes[0].paused = false, false
		w.run(10 * time.Second)
	}
	assert.Equal(t, w.sent, before)
	sound(t, w)
}

func TestEveryModelLoadsItsFirstGroupFirst(t *testing.T) {
	opts := testOptions()
	opts.MaxLoads = 1
	w := newWorld(opts, inventoryOf(2, 7, model("a", 3, 0), model("b", 2, 1)), 1, 1)
	w.run(60 * time.Second)
	for _, e := range w.engines {
		e.restart()
	}
	for w.serving() != 2 {
		w.advance()
	}
	assert.Equal(t, w.count("a"), 1)
	assert.Equal(t, w.count("b"), 1)
}

func TestGroupSizeChangesOneGroupAtATime(t *testing.T) {
	w := formed(t, 1, 8, model("m", 3, 0))
	w.doc.Models[0].GroupSize = 4
	w.configure()
	assert.Equal(t, w.lowest(60*time.Second), 1)
	assert.Equal(t, w.serving(), 2)
	for _, g := range w.manager().Groups() {
		assert.Equal(t, len(g.Members), 4)
	}
	sound(t, w)
}

func TestWithdrawnModelIsDrained(t *testing.T) {
	w := formed(t, 1, 7, model("m", 3, 0))
	w.doc.Models = nil
	w.configure()
	w.run(40 * time.Second)
	assert.Equal(t, len(w.manager().Groups()), 0)
	assert.Equal(t, w.why("d00-v000"), NoModel)
	sound(t, w)
}

func TestColdMemberGetsNewGeneration(t *testing.T) {
	w := formed(t, 1, 6, model("m", 3, 0))
	before := w.manager().byID["praha/m/1"].Group
	w.byName[before.Members[1]].restart()
	w.advance()
	assert.Equal(t, w.manager().Status(w.now).Groups[0].State, StateForming)
	w.run(20 * time.Second)
	after := w.manager().byID["praha/m/1"].Group
	assert.DeepEqual(t, after.Members, before.Members)
	assert.Assert(t, after.Generation > before.Generation)
	assert.Equal(t, w.serving(), 2)
	sound(t, w)
}

func TestRestartedMemberInItsOldPlaceIsCold(t *testing.T) {
	w := formed(t, 1, 3, model("m", 3, 0))
	before := w.manager().Groups()[0].Generation
	place := w.engines[1].report
	w.engines[1].restart()
	place.Incarnation = w.engines[1].report.Incarnation
	w.engines[1].report = place
	w.run(20 * time.Second)
	assert.Assert(t, w.manager().Groups()[0].Generation > before)
	assert.Equal(t, w.serving(), 1)
}

func TestDarkDomainReturnsAsItWas(t *testing.T) {
	w := formed(t, 2, 7, model("m", 3, 0))
	before := w.sent
	w.domain(w.engines[0], func(e *engine) { e.paused = true })
	w.run(120 * time.Second)
	assert.Equal(t, w.serving(), 2)
	assert.Equal(t, w.why("d00-v006"), NotReporting)
	for _, i := range []int{0, 1, 3, 4, 6, 2, 5} {
		w.engines[i].paused = false
		w.run(2 * time.Second)
	}
	w.run(5 * time.Second)
	assert.Equal(t, w.serving(), 4)
	assert.Equal(t, w.sent, before)
	sound(t, w)
}

func TestLostDomainIsReplacedElsewhere(t *testing.T) {
	w := formed(t, 2, 7, model("m", 3, 3))
	dark := w.manager().byID["praha/m/2"].domain.name
	w.domain(w.byName[dark+"-v000"], func(e *engine) { e.dead = true })
	w.run(60 * time.Second)
	assert.Equal(t, w.serving(), 2)
	w.domain(w.byName[dark+"-v000"], func(e *engine) { e.restart() })
	w.run(60 * time.Second)
	assert.Equal(t, w.serving(), 3)
	assert.Equal(t, len(w.manager().Groups()), 3)
	sound(t, w)
}

func TestOutageGoesOnByReports(t *testing.T) {
	w := formed(t, 1, 7, model("m", 3, 0))
	w.down = true
	w.engines[0].dead = true
	w.run(30 * time.Second)
	assert.Equal(t, w.serving(), 2)
	assert.Assert(t, w.manager().Status(w.now).PlatformDown)
	w.down = false
	w.run(5 * time.Second)
	row, err := DecodeRow(w.row)
	assert.NilError(t, err)
	assert.DeepEqual(t, row.Groups, w.manager().Groups())
}

// TestTakeoverFollowsReports has the row miss what the earlier holder did
// during an outage.
func TestTakeoverFollowsReports(t *testing.T) {
	tests := []struct {
		name   string
		before func(w *world)
		after  func(w *world)
	}{
		{"the platform is back", func(*world) {}, func(w *world) { w.down = false }},
		{"the platform stays down", func(*world) {}, func(*world) {}},
		{"a member pauses meanwhile", func(w *world) { w.engines[6].paused = true }, func(w *world) {
			w.down = false
			w.run(5 * time.Second)
			w.engines[6].paused = false
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := formed(t, 1, 7, model("m", 3, 0))
			w.down = true
			w.engines[0].dead = true
			w.run(30 * time.Second)
			w.engines[0].restart()
			w.run(5 * time.Second)
			running, sent := w.manager().Groups(), w.sent
			tc.before(w)
			w.grantLate(w.nodes[1])
			tc.after(w)
			w.run(30 * time.Second)
			assert.DeepEqual(t, w.manager().Groups(), running)
			assert.Equal(t, w.sent, sent)
			sound(t, w)
		})
	}
}

func TestLostWriteAnswersAreSettled(t *testing.T) {
	w := newWorld(testOptions(), inventoryOf(1, 7, model("m", 3, 0)), 3, 1)
	w.lossy = true
	w.run(60 * time.Second)
	assert.Equal(t, w.serving(), 2)
	row, err := DecodeRow(w.row)
	assert.NilError(t, err)
	assert.DeepEqual(t, row.Groups, w.manager().Groups())
	sound(t, w)
}

func TestLostWriteIsNotRepeated(t *testing.T) {
	w := newWorld(testOptions(), inventoryOf(1, 7, model("m", 3, 0)), 3, 1)
	w.mute = true
	w.run(60 * time.Second)
	assert.Equal(t, w.serving(), 2)
	written := w.revision
	w.run(60 * time.Second)
	assert.Equal(t, w.revision, written)
}

func TestLaterTermInTheRowDeposes(t *testing.T) {
	w := formed(t, 1, 3, model("m", 3, 0))
	w.row = Row{Term: 9}.Encode()
	w.revision++
	w.engines[0].restart()
	w.run(10 * time.Second)
	assert.Assert(t, !w.manager().Status(w.now).Coordinating)
	assert.Equal(t, w.why("d00-v000"), NoCoordinator)
}

func TestDataCentreOutDrainsAndHolds(t *testing.T) {
	w := formed(t, 2, 7, model("m", 3, 0))
	before := w.sent
	w.doc.DataCentres[0].Out = true
	w.configure()
	w.advance()
	assert.Equal(t, w.serving(), 0)
	assert.Equal(t, w.why("d00-v006"), DataCentreOut)
	w.engines[0].dead = true
	w.run(60 * time.Second)
	assert.Equal(t, w.sent, before, "no orders while the data centre is out")
	w.engines[0].restart()
	w.doc.DataCentres[0].Out = false
	w.configure()
	w.run(2 * time.Second)
	assert.Equal(t, w.serving(), 3)
	w.run(30 * time.Second)
	assert.Equal(t, w.serving(), 4)
	sound(t, w)
}

func TestDataCentreStopReleasesEveryVM(t *testing.T) {
	w := formed(t, 1, 7, model("m", 3, 0))
	w.stepAll(StopRequested{Scope: ScopeDataCentre, Name: "praha"})
	w.run(30 * time.Second)
	assert.Equal(t, len(w.released), 7)
	for _, e := range w.engines {
		assert.Equal(t, e.report.State, member.Idle)
	}
	w.stepAll(StopCancelled{Scope: ScopeDataCentre, Name: "praha"})
	w.run(30 * time.Second)
	assert.Equal(t, w.serving(), 2)
	sound(t, w)
}

func TestPlannedStopWithWholeReplacementLosesNothing(t *testing.T) {
	w := formed(t, 2, 4, model("m", 3, 1))
	stopped := w.manager().Groups()[0].Members[0]
	w.stepAll(StopRequested{Scope: ScopeVM, Name: stopped})
	assert.Equal(t, w.lowest(60*time.Second), 1)
	assert.Assert(t, w.released[stopped])
	assert.Equal(t, len(w.manager().Groups()), 1)
	sound(t, w)
}

func TestPlannedStopsTakeOneGroupAtATime(t *testing.T) {
	w := formed(t, 1, 9, model("m", 2, 0))
	assert.Equal(t, w.serving(), 4)
	for _, g := range w.manager().Groups()[:2] {
		w.stepAll(StopRequested{Scope: ScopeVM, Name: g.Members[0]})
	}
	assert.Equal(t, w.lowest(40*time.Second), 3)
	assert.Equal(t, len(w.released), 2)
	sound(t, w)
}

func TestLeavingVMDrainsAtOnce(t *testing.T) {
	w := formed(t, 1, 7, model("m", 3, 0))
	leaving := w.manager().Groups()[0].Members[2]
	w.stepAll(LeavingVMs{Names: []string{leaving}})
	assert.Assert(t, w.manager().Groups()[0].Draining)
	w.run(30 * time.Second)
	assert.Equal(t, w.serving(), 2)
	assert.Assert(t, w.released[leaving])
	assert.Equal(t, w.why(leaving), VMLeaving)
	sound(t, w)
}

func TestGroupStopAndItsEnd(t *testing.T) {
	w := formed(t, 1, 3, model("m", 3, 0))
	w.stepAll(StopRequested{Scope: ScopeGroup, Name: "praha/m/1"})
	w.run(20 * time.Second)
	assert.Equal(t, w.serving(), 0)
	assert.Equal(t, len(w.released), 3)
	w.stepAll(StopCancelled{Scope: ScopeGroup, Name: "praha/m/1"})
	w.run(20 * time.Second)
	assert.Equal(t, w.serving(), 1)
	sound(t, w)
}

func TestVMThatNeverLoadsIsPassedOver(t *testing.T) {
	w := newWorld(testOptions(), inventoryOf(1, 4, model("m", 3, 0)), 1, 1)
	stuck := w.engines[0]
	for range 200 {
		stuck.progress = 0
		w.advance()
	}
	assert.Equal(t, w.serving(), 1)
	sound(t, w)
}

func TestRemovedVMIsReplaced(t *testing.T) {
	w := formed(t, 1, 7, model("m", 3, 0))
	w.engines[0].dead = true
	w.doc.VMs = w.doc.VMs[1:]
	w.configure()
	w.run(30 * time.Second)
	assert.Equal(t, w.serving(), 2)
	sound(t, w)
}

func TestNoOrderWithoutAFence(t *testing.T) {
	w := formed(t, 1, 7, model("m", 3, 0))
	before := w.sent
	w.nodes[0].leased = false // the lease is about to run out
	w.engines[0].dead = true
	w.run(30 * time.Second)
	assert.Equal(t, w.sent, before)
	w.nodes[0].leased = true
	w.run(30 * time.Second)
	assert.Equal(t, w.serving(), 2)
	sound(t, w)
}

func TestReportsAreAwaitedFromTheFirstConfiguration(t *testing.T) {
	now := time.Unix(1000, 0)
	doc := inventoryOf(1, 3, model("m", 3, 0))
	m := New(testOptions())
	m.Step(now, LeaseGained{Term: 1, Fencer: &node{}})
	m.Step(now, RowRead{})
	now = now.Add(time.Minute)
	m.Step(now, Configuration{Number: 1, Document: &doc})
	assert.Assert(t, !m.Status(now).Coordinating)
	m.Step(now.Add(testOptions().ReconcileGrace), Tick{})
	assert.Assert(t, !m.Status(now).Coordinating, "after a pause of its own it waits again")
}

func TestStatusNamesReasons(t *testing.T) {
	w := formed(t, 2, 7, model("m", 3, 0))
	w.takeOut(w.engines[13], true)
	w.engines[6].dead = true
	w.engines[0].dead, w.engines[4].paused = true, true
	w.run(8 * time.Second)
	status := w.manager().Status(w.now)
	assert.DeepEqual(t, status.Stranded, []VMStatus{
		{VM: "d00-v006", Reason: Reason{Code: NotReporting, VM: "d00-v006"}},
		{VM: "d01-v006", Reason: Reason{Code: VMOut, VM: "d01-v006"}},
	})
	states := map[State]int{}
	for _, g := range status.Groups {
		states[g.State]++
		if g.State == StateBroken {
			assert.Equal(t, g.Reason.Code, NotReporting)
			assert.Equal(t, g.Reason.Need, 1)
		}
		assert.Assert(t, g.Reason.Remedy() != "")
	}
	assert.DeepEqual(t, states, map[State]int{StateWhole: 2, StateBroken: 2})
}

func TestSameInputsGiveSameEffects(t *testing.T) {
	transcript := func() string {
		w := newWorld(testOptions(), inventoryOf(2, 7, model("a", 3, 0), model("b", 2, 1)), 5, 2)
		w.chaos = true
		w.run(20 * time.Second)
		w.engines[2].dead = true
		w.run(20 * time.Second)
		w.swapLease()
		w.run(20 * time.Second)
		return fmt.Sprint(string(w.row), w.sent, w.manager().Visits(), w.manager().Status(w.now))
	}
	assert.Equal(t, transcript(), transcript())
}
