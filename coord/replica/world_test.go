package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

const (
	service   = "llm"
	large     = "large"
	small     = "small"
	stall     = 5 * time.Second
	loadTime  = 16 * time.Second
	warmTime  = 1600 * time.Millisecond
	rejoin    = 200 * time.Millisecond
	formTime  = 300 * time.Millisecond
	tick      = 50 * time.Millisecond
	probing   = 450 * time.Millisecond
	domainVMs = 8
)

// engineVM is a simulated engine with the platform's rules for orders.
type engineVM struct {
	row    fleet.Row
	dead   bool
	cut    bool // no probe or order gets through
	state  fleet.State
	ready  time.Time // when the join ends
	opens  time.Time // when the head serves
	stages time.Time
	stage  string
	last   string // model of the last group
	probed time.Time
	list   []string // members as of the join
	broken time.Time
	// seen holds the formations under which this start was ready.
	seen map[groupKey]bool
}

// lateOrder is an order that takes effect although its answer was lost.
type lateOrder struct {
	at    time.Time
	order Order
}

// world runs a planner against simulated engines and checks what must hold.
type world struct {
	t      *testing.T
	now    time.Time
	vms    map[string]*engineVM
	ids    []string
	table  *fleet.Table
	p      *Planner
	epochs *Epochs
	rng    *rand.Rand
	late   []lateOrder
	// lose is the part of orders without an answer; half of them take effect
	// later.
	lose    float64
	traffic bool
	next    int
	// given holds the VMs of groups that were given up for another model.
	given map[string]gift
	// probing is the time between two probes of a VM.
	probing time.Duration
	// probed counts the probes.
	probed int
}

// gift is what a VM was given up for.
type gift struct {
	model string
	at    time.Time
}

func testEngine() *catalog.Engine {
	return &catalog.Engine{
		Slots: 26, LoadsPerSecond: 4, ConcurrentLoads: 6, FormTime: formTime,
		Models: []catalog.Model{
			{Name: large, GroupSize: 4, Share: 0.67, Pace: 1, LoadTime: loadTime, WarmTime: warmTime},
			{Name: small, GroupSize: 2, Share: 0.33, Pace: 0.6, LoadTime: loadTime, WarmTime: warmTime},
		},
	}
}

func newWorld(t *testing.T, seed uint64, domains int) *world {
	w := &world{
		t: t, now: time.Unix(1000, 0), vms: make(map[string]*engineVM), table: fleet.NewTable(),
		rng: rand.New(rand.NewPCG(seed, seed)), epochs: NewEpochs(1), given: make(map[string]gift), probing: probing,
	}
	for d := range domains {
		for range domainVMs {
			w.addVM(d)
		}
	}
	w.newPlanner()
	return w
}

func (w *world) addVM(domain int) *engineVM {
	w.next++
	id := fmt.Sprintf("i-%03d", w.next)
	vm := &engineVM{seen: make(map[groupKey]bool)}
	vm.row = fleet.Row{
		ID: id, Service: service, Address: "10.0.0." + id, DataCentre: fmt.Sprintf("dc-%d", domain/2), Slots: 26, Engine: true,
	}
	vm.row.Domain = fmt.Sprintf("d-%d", domain)
	vm.state = fleet.State{Born: w.now.UnixMilli(), Domain: vm.row.Domain}
	w.vms[id] = vm
	w.ids = append(w.ids, id)
	w.list(vm)
	return vm
}

func (w *world) list(vm *engineVM) {
	row := vm.row
	row.State = vm.state
	row.Orders = 0
	w.table.ApplyRow(w.now, row)
}

func (w *world) newPlanner() {
	w.p = New(Options{
		Service: service, Epochs: w.epochs, Stall: stall, SpareShare: 1.0 / 6, LoadWindow: 5 * time.Second,
	}, w.table)
	clear(w.given)
	w.p.Configure(testEngine(), nil)
	if w.traffic {
		w.p.SetTrafficStarted()
	}
}

// takeover replaces the planner by one of the next term.
func (w *world) takeover() {
	w.epochs = NewEpochs(w.epochs.Term() + 1)
	w.newPlanner()
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tick) {
		w.step()
	}
}

func (w *world) step() {
	w.deliverLate()
	for _, id := range w.ids {
		w.vms[id].advance(w)
	}
	w.probeAll()
	for _, o := range w.p.Tick(w.now) {
		w.carry(o)
	}
	w.check()
	w.checkGifts()
}

func (w *world) deliverLate() {
	kept := w.late[:0]
	for _, l := range w.late {
		if w.now.Before(l.at) {
			kept = append(kept, l)
			continue
		}
		w.apply(l.order)
	}
	w.late = kept
}

func (w *world) probeAll() {
	for _, id := range w.ids {
		vm := w.vms[id]
		if w.now.Sub(vm.probed) < w.probeEvery(id, vm) {
			continue
		}
		vm.probed = w.now
		w.probed++
		if vm.dead || vm.cut {
			w.table.RecordProbeFailure(w.now, id)
			continue
		}
		w.table.ApplyReport(w.now, w.now, id, fleet.Report{State: vm.state})
	}
}

// probeEvery is the time between two probes of a VM: as long as the planner
// bears, but shorter where requests at its group stand still.
func (w *world) probeEvery(id string, vm *engineVM) time.Duration {
	switch w.p.ProbePriority(w.now, id) {
	case Urgent:
		return 0
	case Regular:
		return w.probing
	}
	if w.standsStill(vm) {
		return verifying
	}
	return background
}

// standsStill reports whether a VM of the same formation doesn't work.
func (w *world) standsStill(vm *engineVM) bool {
	for _, other := range w.vms {
		if other.state.Formation() == vm.state.Formation() && (other.dead || other.cut) {
			return true
		}
	}
	return false
}

// background is the time between two probes of a member of a group that serves,
// verifying that while its group stands still.
const (
	background = 3 * time.Second
	verifying  = 500 * time.Millisecond
)

func (w *world) carry(o Order) {
	vm := w.vms[o.VM]
	switch {
	case vm.dead || vm.cut:
		w.p.RecordOutcome(w.now, o.ID, o.VM, Refused)
	case w.rng.Float64() < w.lose:
		if w.rng.IntN(2) == 0 {
			w.late = append(w.late, lateOrder{w.now.Add(2*time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second)))), o})
		}
		w.p.RecordOutcome(w.now, o.ID, o.VM, Unknown)
	default:
		w.p.RecordOutcome(w.now, o.ID, o.VM, w.apply(o))
	}
}

// apply carries an order out at its VM as the platform's pages say.
func (w *world) apply(o Order) Outcome {
	vm := w.vms[o.VM]
	if vm.dead || vm.state.Born != o.Born || vm.state.Orders != o.Expected {
		return Refused
	}
	key := groupKey{o.Group, o.Epoch}
	switch o.Action {
	case Join:
		if o.Epoch < vm.state.Epoch {
			return Refused
		}
		w.checkTaken(vm, o)
		vm.join(w.now, o, w.traffic)
	case Open:
		if (groupKey{vm.state.Group, vm.state.Epoch}) != key || vm.state.Stage != fleet.Ready {
			return Refused
		}
		vm.opens = w.now.Add(formTime)
	case Close:
		if (groupKey{vm.state.Group, vm.state.Epoch}) != key || vm.state.Stage != fleet.Open {
			return Refused
		}
		vm.state.Stage = fleet.Ready
	case Leave:
		if (groupKey{vm.state.Group, vm.state.Epoch}) != key {
			return AlreadyInEffect
		}
		vm.state.Membership = fleet.Membership{}
		vm.ready, vm.opens = time.Time{}, time.Time{}
	case Stage:
		vm.stage, vm.stages = o.Model, w.now.Add(vm.loadTime(w.traffic))
	}
	vm.state.Orders++
	return Accepted
}

func (vm *engineVM) loadTime(traffic bool) time.Duration {
	if traffic {
		return loadTime
	}
	return loadTime / 10
}

func (vm *engineVM) join(now time.Time, o Order, traffic bool) {
	took := vm.loadTime(traffic)
	switch {
	case vm.last == o.Model:
		took = rejoin
	case vm.state.HasStaged(o.Model):
		took = warmTime
	}
	vm.last, vm.list = o.Model, o.Members
	vm.state.Model = o.Model
	vm.state.Staged = []string{o.Model}
	vm.state.Membership = fleet.Membership{
		Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, vm.row.ID), Stage: fleet.Joining,
	}
	vm.ready, vm.opens, vm.broken = now.Add(took), time.Time{}, time.Time{}
}

// advance lets time pass for a VM.
func (vm *engineVM) advance(w *world) {
	if vm.dead {
		return
	}
	if vm.stage != "" && !w.now.Before(vm.stages) {
		vm.state.Staged, vm.stage = []string{vm.stage}, ""
	}
	defer func() { vm.state.Busy = vm.stage != "" || vm.state.Stage == fleet.Joining }()
	key := groupKey{vm.state.Group, vm.state.Epoch}
	if vm.state.Stage == fleet.Joining && !w.now.Before(vm.ready) {
		vm.state.Stage = fleet.Ready
		vm.seen[key] = true
	}
	if vm.state.Stage == fleet.Ready && !vm.opens.IsZero() && !w.now.Before(vm.opens) {
		vm.state.Stage, vm.opens = fleet.Open, time.Time{}
		w.checkWhole(vm, key)
	}
	if vm.state.Stage != fleet.Open {
		return
	}
	if w.membersHere(vm) {
		vm.broken = time.Time{}
		return
	}
	if vm.broken.IsZero() {
		vm.broken = w.now.Add(stall)
	}
	if !w.now.Before(vm.broken) {
		vm.state.Stage = fleet.Broken
	}
}

// membersHere reports whether a head's members are alive and in its group.
func (w *world) membersHere(head *engineVM) bool {
	for _, id := range head.list {
		m := w.vms[id]
		if m.dead || m.state.Group != head.state.Group || m.state.Epoch != head.state.Epoch {
			return false
		}
	}
	return true
}

// checkWhole fails the test if a head begins to serve with a member that was
// never ready in its formation.
func (w *world) checkWhole(head *engineVM, key groupKey) {
	size := testEngine().Model(head.state.Model).GroupSize
	assert.Equal(w.t, len(head.list), size, "group %v has %d members", key, len(head.list))
	for _, id := range head.list {
		assert.Assert(w.t, w.vms[id].seen[key] || w.vms[id].dead, "%s was never ready in %v", id, key)
	}
}

// checkTaken fails the test if a VM is taken into another group while the head
// of its own serves.
func (w *world) checkTaken(vm *engineVM, o Order) {
	if vm.state.Group == "" || vm.state.Group == o.Group {
		return
	}
	for _, head := range w.vms {
		if head.dead || head.state.Group != vm.state.Group || head.state.Epoch != vm.state.Epoch || head.state.Rank != 0 {
			continue
		}
		serves := head.state.Stage == fleet.Open || head.state.Stage == fleet.Closing
		assert.Assert(w.t, !serves, "%s joins %s while %s serves %s", vm.row.ID, o.Group, head.row.ID, head.state.Group)
	}
}

// check fails the test if two formations in the planner's table share a VM.
func (w *world) check() {
	owner := make(map[string]groupKey)
	for key, g := range w.p.groups {
		if g.Phase == Dissolving {
			continue
		}
		for _, id := range g.Members {
			other, taken := owner[id]
			assert.Assert(w.t, !taken, "%s is in %v and %v", id, key, other)
			owner[id] = key
		}
	}
}

// checkGifts fails the test if VMs of a group that was given up for another
// model are taken by a group of the same model again while they are promised.
func (w *world) checkGifts() {
	for _, g := range w.p.groups {
		for _, id := range g.Members {
			switch {
			case g.Phase == Dissolving && testEngine().Model(g.For) != nil:
				w.given[id] = gift{g.For, g.Since}
			case g.Phase == Forming && g.Since.Equal(w.now):
				to, given := w.given[id]
				wrong := given && w.now.Sub(to.at) < donorWait && to.model != g.Model
				assert.Assert(w.t, !wrong, "%s was given up for the %s model and joins %s of the other", id, to.model, g.Name)
				delete(w.given, id)
			}
		}
	}
}

// serving counts the groups of a model whose heads serve with all members.
func (w *world) serving(model string) int {
	n := 0
	for _, vm := range w.vms {
		if !vm.dead && vm.state.Stage == fleet.Open && vm.state.Model == model && w.membersHere(vm) {
			n++
		}
	}
	return n
}

// head returns the head of a serving group of a model.
func (w *world) head(model string) *engineVM {
	for _, id := range w.ids {
		vm := w.vms[id]
		if !vm.dead && vm.state.Stage == fleet.Open && vm.state.Model == model && w.membersHere(vm) {
			return vm
		}
	}
	return nil
}

func (w *world) startTraffic() {
	w.traffic = true
	w.p.SetTrafficStarted()
}

// restart lets a VM start again under its ID, with its staged weights.
func (w *world) restart(vm *engineVM) {
	vm.dead, vm.last, vm.list = false, "", nil
	vm.state = fleet.State{Born: w.now.UnixMilli(), Domain: vm.row.Domain, Staged: vm.state.Staged}
	vm.seen = make(map[groupKey]bool)
	vm.ready, vm.opens, vm.stage = time.Time{}, time.Time{}, ""
	w.list(vm)
}
