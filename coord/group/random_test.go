package group

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// faultActions are the faults, and their ends, that the tests apply to a
// world.
var faultActions = map[string]func(w *world, e *engine){
	"die":     func(_ *world, e *engine) { e.dead = true },
	"pause":   func(_ *world, e *engine) { e.paused = true },
	"resume":  func(_ *world, e *engine) { e.paused = false },
	"cold":    func(_ *world, e *engine) { e.restart() },
	"slow":    func(_ *world, e *engine) { e.report.StepLatency = 80 * time.Millisecond },
	"swift":   func(_ *world, e *engine) { e.report.StepLatency = 10 * time.Millisecond },
	"busy":    func(_ *world, e *engine) { e.report.InFlight = 1 },
	"idle":    func(_ *world, e *engine) { e.report.InFlight = 0 },
	"refuse":  func(w *world, e *engine) { w.refuse(e) },
	"dark":    func(w *world, e *engine) { w.forDomain(e, func(e *engine) { e.paused = true }) },
	"light":   func(w *world, e *engine) { w.forDomain(e, func(e *engine) { e.paused = false }) },
	"out":     func(w *world, e *engine) { w.takeOut(e, true) },
	"in":      func(w *world, e *engine) { w.takeOut(e, false) },
	"dcOut":   func(w *world, _ *engine) { w.doc.DataCentres[0].Out = true; w.configure() },
	"dcIn":    func(w *world, _ *engine) { w.doc.DataCentres[0].Out = false; w.configure() },
	"stop":    func(w *world, e *engine) { w.stepAll(StopRequested{ScopeVM, e.vm.Name}) },
	"cancel":  func(w *world, e *engine) { w.stepAll(StopCancelled{ScopeVM, e.vm.Name}) },
	"leaving": func(w *world, e *engine) { w.stepAll(LeavingVMs{Names: []string{e.vm.Name}}) },
	"left":    func(w *world, _ *engine) { w.stepAll(LeavingVMs{}) },
	"outage":  func(w *world, _ *engine) { w.tableDown = true },
	"online":  func(w *world, _ *engine) { w.tableDown = false },
	"lossy":   func(w *world, _ *engine) { w.losesSomeWrites = true },
	"lease":   func(w *world, _ *engine) { w.moveLease() },
	"stall":   func(w *world, _ *engine) { w.setHolderPaused(true) },
	"go on":   func(w *world, _ *engine) { w.setHolderPaused(false) },
	"group":   func(w *world, _ *engine) { w.stepAll(StopRequested{ScopeGroup, "praha/a/1"}) },
	"ungroup": func(w *world, _ *engine) { w.stepAll(StopCancelled{ScopeGroup, "praha/a/1"}) },
	"hang":    func(w *world, _ *engine) { w.takeOverPausedHolder() },
}

func (w *world) refuse(e *engine) {
	e.dead = true
	w.stepAll(ProbeRefused{VM: e.vm.Name, SentAt: w.now})
}

func (w *world) forDomain(e *engine, f func(*engine)) {
	for _, other := range w.engines {
		if other.vm.FabricDomain == e.vm.FabricDomain {
			f(other)
		}
	}
}

func (w *world) takeOut(e *engine, out bool) {
	for i := range w.doc.VMs {
		if w.doc.VMs[i].Name == e.vm.Name {
			w.doc.VMs[i].Out = out
		}
	}
	w.configure()
}

// moveLease moves the lease to the other node and ends all pauses of nodes.
func (w *world) moveLease() {
	for _, n := range w.nodes {
		n.paused = false
	}
	next := w.nodes[0]
	if next.leased {
		next = w.nodes[1]
	}
	w.grant(next)
}

// setHolderPaused pauses the lease holder, or resumes every node.
func (w *world) setHolderPaused(paused bool) {
	for _, n := range w.nodes {
		n.paused = paused && (n.leased || n.paused)
	}
}

// takeOverPausedHolder pauses the lease holder and grants the lease to the
// other node.
func (w *world) takeOverPausedHolder() {
	for _, n := range w.nodes {
		n.paused = n.leased
	}
	for _, n := range w.nodes {
		if !n.leased {
			w.grantBeforeWrite(n)
			return
		}
	}
}

// endFaults ends every fault.
func (w *world) endFaults() {
	w.unreliableOrders, w.tableDown, w.losesSomeWrites = false, false, false
	for i := range w.doc.VMs {
		w.doc.VMs[i].Out = false
	}
	w.doc.DataCentres[0].Out = false
	for _, n := range w.nodes {
		n.paused = false
		if !n.leased {
			w.step(n, LeaseLost{})
		}
	}
	w.configure()
	w.stepAll(LeavingVMs{})
	w.stepAll(StopCancelled{ScopeGroup, "praha/a/1"})
	for _, e := range w.engines {
		if e.dead {
			e.restart()
		}
		e.paused = false
		e.report.InFlight = 0
		e.report.StepLatency = 10 * time.Millisecond
		w.stepAll(StopCancelled{ScopeVM, e.vm.Name})
	}
}

// TestRandomFaults checks the invariants after every random fault, and that
// all groups are whole some time after the faults have ended.
func TestRandomFaults(t *testing.T) {
	names := []string{
		"go on", "group", "stall", "ungroup", "busy", "cancel", "cold", "cold", "dark", "dcIn", "dcIn", "dcOut", "die", "die", "hang", "idle",
		"in", "in", "lease", "leaving", "left", "light", "light", "lossy", "online", "online", "out", "outage",
		"pause", "pause", "refuse", "resume", "resume", "resume", "slow", "stop", "swift",
	}
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		doc := inventoryOf(2, 7, model("a", 3, 0), model("b", 2, 1))
		w := newWorld(testOptions(), doc, seed, 2)
		w.unreliableOrders = rapid.Bool().Draw(t, "chaos")
		w.run(rapid.SampledFrom([]time.Duration{0, 20 * time.Second}).Draw(t, "lead"))
		for range rapid.IntRange(1, 40).Draw(t, "faults") {
			action := rapid.SampledFrom(names).Draw(t, "fate")
			e := w.engines[rapid.IntRange(0, len(w.engines)-1).Draw(t, "engine")]
			faultActions[action](w, e)
			w.run(time.Duration(rapid.IntRange(0, 12).Draw(t, "ticks")) * w.tick)
			assert.Assert(t, len(w.violations) == 0, "%v", w.violations)
		}
		w.endFaults()
		w.run(150 * time.Second)
		assert.Assert(t, len(w.violations) == 0, "%v", w.violations)
		row, err := DecodeRow(w.row)
		assert.NilError(t, err)
		assert.DeepEqual(t, row.Groups, w.manager().Groups())
		assert.Equal(t, w.serving(), 4, "%+v", w.manager().Status(w.now))
	})
}
