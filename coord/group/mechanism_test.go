package group

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

// Each scenario returns the violations that it saw: none with every mechanism
// on, and at least one with its own mechanism switched off.
var scenarios = []struct {
	name string
	off  Mechanism
	run  func(opts Options) []string
}{
	{"a VM leaves before it joins", LeaveBeforeJoin, deadMember},
	{"a VM that left joins after its old reports have expired", RejoinWait, quickRejoin},
	{"a new coordinator waits for late orders", FenceWait, lateOrderOfEarlierHolder},
	{"an order delayed behind a newer one has no effect", FenceWait, delayedJoinSameHolder},
	{"a delayed order of an earlier holder has no effect", FenceWait, delayedJoinAfterTakeover},
	{"a new coordinator adopts running groups", Reconcile, takeoverOfRunningGroups},
	{"generations of two coordinators differ", TermGeneration, conflictingRepairs},
	{"a paused member gets time to return", PauseGrace, pausedMember},
	{"loads are limited", LoadLimit, powerCut},
	{"the row is written before join orders", WriteBeforeJoin, slowRowWrite},
	{"spares replace dead members", Spares, deadMember},
	{"broken groups are merged", Regroup, twoBrokenGroups},
	{"stragglers are replaced", StragglerSwap, slowMember},
	{"planned stops drain first", GracefulDrain, plannedStopWithWork},
	{"members that pause often are replaced", StragglerSwap, frequentlyPausedMember},
	{"a pause of the coordinator does not count as silence", DiscountOwnPause, pausedCoordinator},
	{"only members in place make a group whole", MatchPlace, deadMember},
}

func TestEachMechanismIsNeeded(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			on := s.run(testOptions())
			assert.Equal(t, len(on), 0, "%v", on)
			opts := testOptions()
			opts.Disable = s.off
			off := s.run(opts)
			assert.Assert(t, len(off) > 0, "no violation with the mechanism off")
			t.Logf("with the mechanism off: %s", off[0])
		})
	}
}

func newWorldWithGroupsOfThree(opts Options, size int) *world {
	w := newWorld(opts, inventoryOf(1, size, model("m", 3, 0)), 1, 2)
	w.run(30 * time.Second)
	return w
}

// expect records a violation unless ok.
func (w *world) expect(ok bool, format string, args ...any) {
	if !ok {
		w.recordViolation(format, args...)
	}
}

// quickRejoin dissolves a group while two of its members get no orders, and
// lets the third one complete another group that loads at once. One router
// misses that the third member left.
func quickRejoin(opts Options) []string {
	opts.ReportTTL = 5 * time.Second
	w := newWorld(opts, inventoryOf(1, 6, model("m", 3, 0)), 1, 2)
	w.loadTime = 0
	w.run(30 * time.Second)
	w.engines[3].dead = true
	w.run(10 * time.Second)
	w.dropOrder = func(o member.Order) bool { return o.VM == "d00-v000" || o.VM == "d00-v002" }
	w.dropProbe = func(router int, e *engine) bool {
		return router == 1 && e.vm.Name == "d00-v001" && e.report.Group != "praha/m/1"
	}
	w.stepAll(StopRequested{Scope: ScopeVM, Name: "d00-v000"})
	w.run(20 * time.Second)
	w.expect(w.serving() == 1, "%d groups serve", w.serving())
	return w.violations
}

// lateOrderOfEarlierHolder delivers the earlier holder's last order after the
// new holder has put the VM into another group.
func lateOrderOfEarlierHolder(opts Options) []string {
	w := newWorldWithGroupsOfThree(opts, 3)
	e := w.byName["d00-v000"]
	late := member.Order{
		VM: e.vm.Name, Action: member.Join, Group: "praha/m/9", Generation: 7, Model: "m",
		Fence: member.Fence{Term: w.term, Sequence: 1 << 20},
	}
	w.orders = append(w.orders, delivery{at: w.now.Add(opts.OrderMaxDelay - time.Second), order: late, from: w.nodes[0]})
	for _, e := range w.engines {
		e.restart()
	}
	w.grant(w.nodes[1])
	w.run(30 * time.Second)
	return w.violations
}

// delayedJoinSameHolder delays a VM's first join order until the same holder
// sends the next one, for another generation.
func delayedJoinSameHolder(opts Options) []string {
	return delayFirstJoin(opts, func(w *world) { w.engines[0].restart() })
}

// delayedJoinAfterTakeover delays a VM's first join order until another holder
// sends the next one.
func delayedJoinAfterTakeover(opts Options) []string {
	return delayFirstJoin(opts, func(w *world) {
		for _, e := range w.engines {
			e.restart()
		}
		w.grant(w.nodes[1])
	})
}

func delayFirstJoin(opts Options, next func(w *world)) []string {
	w := newWorld(opts, inventoryOf(1, 3, model("m", 3, 0)), 1, 2)
	var held *member.Order
	w.dropOrder = func(o member.Order) bool {
		if o.VM != "d00-v001" || o.Action != member.Join {
			return false
		}
		if held == nil {
			held = &o
			return true
		}
		if o.Generation != held.Generation {
			w.orders = append(w.orders, delivery{at: w.now, order: *held, from: w.nodes[0]})
		}
		return false
	}
	for held == nil {
		w.advance()
	}
	w.advance()
	next(w)
	w.run(30 * time.Second)
	w.expect(w.serving() == 1, "%d groups serve", w.serving())
	return w.violations
}

func takeoverOfRunningGroups(opts Options) []string {
	w := newWorldWithGroupsOfThree(opts, 7)
	before := w.sent
	w.grant(w.nodes[1])
	w.run(30 * time.Second)
	w.expect(w.sent == before, "%d orders after the takeover", w.sent-before)
	w.expect(w.serving() == 2, "%d groups serve", w.serving())
	return w.violations
}

// conflictingRepairs lets two coordinators repair the same group. The second
// one does not have the first one's row, and the first one's members are
// paused meanwhile.
func conflictingRepairs(opts Options) []string {
	w := newWorldWithGroupsOfThree(opts, 6)
	for _, e := range w.engines[:3] {
		e.dead = true
	}
	w.run(20 * time.Second)
	w.tableDown = true
	w.engines[0].restart()
	w.engines[1].restart()
	w.engines[2].restart()
	w.run(20 * time.Second)
	first := w.manager().byID["praha/m/1"].Group
	for _, e := range w.engines[:3] {
		e.paused = true
	}
	w.tableDown = false
	w.grantBeforeWrite(w.nodes[1])
	w.engines[3].dead = true
	w.run(20 * time.Second)
	w.engines[3].restart()
	w.run(30 * time.Second)
	for _, g := range w.manager().Groups() {
		same := g.Generation == first.Generation && fmt.Sprint(g.Members) != fmt.Sprint(first.Members)
		w.expect(!same, "generation %d names %v and %v", g.Generation, g.Members, first.Members)
	}
	return w.violations
}

// grantBeforeWrite moves the lease before the earlier holder can write its
// row.
func (w *world) grantBeforeWrite(n *node) {
	for _, other := range w.nodes {
		if other != n {
			other.paused = true
			other.leased = false
		}
	}
	w.grant(n)
}

func pausedMember(opts Options) []string {
	w := newWorldWithGroupsOfThree(opts, 7)
	before := w.sent
	w.engines[0].paused = true
	w.run(opts.RepairGrace - time.Second)
	w.expect(w.serving() == 1, "%d groups serve during the pause", w.serving())
	w.engines[0].paused = false
	w.run(5 * time.Second)
	w.expect(w.sent == before, "%d orders for a short pause", w.sent-before)
	w.expect(w.serving() == 2, "%d groups serve after the pause", w.serving())
	return w.violations
}

// powerCut counts the groups that load at the same time after a power cut.
func powerCut(opts Options) []string {
	w := newWorld(opts, inventoryOf(2, 13, model("m", 3, 0)), 1, 1)
	w.run(60 * time.Second)
	before := w.sent
	for _, e := range w.engines {
		e.dead = true
	}
	w.run(60 * time.Second)
	w.expect(w.sent == before, "%d orders to VMs without power", w.sent-before)
	for _, e := range w.engines {
		e.restart()
	}
	for range 120 {
		w.advance()
		loading := map[groupKey]bool{}
		for _, e := range w.engines {
			if e.report.State == member.Loading {
				loading[e.key()] = true
			}
		}
		w.expect(len(loading) <= opts.MaxLoads, "%d groups load", len(loading))
	}
	w.expect(w.serving() == 8, "%d groups serve", w.serving())
	return w.violations
}

// slowRowWrite delays the answer to the first write of new groups.
func slowRowWrite(opts Options) []string {
	opts.ReportTTL = time.Second
	w := newWorld(opts, inventoryOf(1, 3, model("m", 3, 0)), 1, 1)
	w.writeTicks = 3
	for range 60 {
		w.advance()
		var row Row
		row, _ = DecodeRow(w.row)
		for _, d := range w.orders {
			written := false
			for _, g := range row.Groups {
				written = written || (g.ID == d.order.Group && g.Generation == d.order.Generation)
			}
			w.expect(written || d.order.Action != member.Join, "%s joins before the row is written", d.order.VM)
		}
	}
	w.expect(w.serving() == 1, "%d groups serve", w.serving())
	return w.violations
}

func deadMember(opts Options) []string {
	w := newWorldWithGroupsOfThree(opts, 7)
	w.engines[0].dead = true
	w.run(30 * time.Second)
	w.expect(w.serving() == 2, "%d groups serve", w.serving())
	return w.violations
}

// twoBrokenGroups leaves two groups with two members each and no spare.
func twoBrokenGroups(opts Options) []string {
	w := newWorldWithGroupsOfThree(opts, 6)
	w.engines[0].dead = true
	w.engines[3].dead = true
	w.run(60 * time.Second)
	w.expect(w.serving() == 1, "%d groups serve", w.serving())
	return w.violations
}

func slowMember(opts Options) []string {
	w := newWorldWithGroupsOfThree(opts, 7)
	w.engines[1].report.StepLatency *= 5
	w.run(60 * time.Second)
	w.expect(w.engines[1].report.Group == "", "the straggler stays in its group")
	w.expect(w.serving() == 2, "%d groups serve", w.serving())
	return w.violations
}

func frequentlyPausedMember(opts Options) []string {
	w := newWorldWithGroupsOfThree(opts, 7)
	for range 3 {
		w.engines[0].paused = true
		w.run(opts.RepairGrace - time.Second)
		w.engines[0].paused = false
		w.run(5 * time.Second)
	}
	w.run(30 * time.Second)
	w.expect(w.engines[0].report.Group == "", "the often paused member stays in its group")
	w.expect(w.serving() == 2, "%d groups serve", w.serving())
	return w.violations
}

// pausedCoordinator pauses the lease holder repeatedly, where the first VM
// that reports after each pause is a spare, and then during a planned stop.
func pausedCoordinator(opts Options) []string {
	w := newWorldWithGroupsOfThree(opts, 7)
	w.engines[0].dead = true
	w.run(30 * time.Second)
	w.engines[0].restart()
	w.run(10 * time.Second)
	before := w.sent
	for range opts.withDefaults().MaxPauses + 1 {
		w.nodes[0].paused = true
		w.run(20 * time.Second)
		w.nodes[0].paused = false
		w.run(20 * time.Second)
	}
	w.expect(w.sent == before, "%d orders after a pause of the coordinator", w.sent-before)
	return append(w.violations, plannedStopWithWork(opts)...)
}

// plannedStopWithWork requests a stop while rank 0 has work in flight and the
// lease holder pauses.
func plannedStopWithWork(opts Options) []string {
	w := newWorldWithGroupsOfThree(opts, 7)
	first := w.manager().byID["praha/m/1"].members[0].name
	w.byName[first].report.InFlight = 1
	w.stepAll(StopRequested{Scope: ScopeVM, Name: first})
	for i := range 10 {
		w.nodes[0].paused = i < 6
		w.advance()
		w.expect(w.byName[first].report.State == member.Ready, "member stopped with work in flight")
		w.expect(!w.released[first], "VM released with work in flight")
	}
	w.byName[first].report.InFlight = 0
	w.run(30 * time.Second)
	w.expect(w.released[first], "VM was not released")
	w.expect(w.serving() == 2, "%d groups serve", w.serving())
	return w.violations
}
