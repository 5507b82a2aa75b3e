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
	service       = "llm"
	large         = "large"
	small         = "small"
	stallTimeout  = 5 * time.Second
	loadTime      = 16 * time.Second
	warmTime      = 1600 * time.Millisecond
	rejoinTime    = 200 * time.Millisecond
	formTime      = 300 * time.Millisecond
	tick          = 50 * time.Millisecond
	probeInterval = 450 * time.Millisecond
	domainVMs     = 8
)

// engineVM simulates an engine that follows the platform's rules for orders.
type engineVM struct {
	row         fleet.Row
	dead        bool
	unreachable bool // probes and orders fail
	state       fleet.State
	readyAt     time.Time // when the join completes
	opensAt     time.Time // when the head starts to serve
	stagedAt    time.Time // when staging completes
	staging     string    // model being staged
	lastModel   string    // model of the last group joined
	probedAt    time.Time
	members     []string // as listed in the Join order
	breaksAt    time.Time
	// readyIn holds the formations in which the VM was ready since its start.
	readyIn map[groupKey]bool
}

// lateOrder is an order that takes effect although its answer was lost.
type lateOrder struct {
	at    time.Time
	order Order
}

// world runs a planner against simulated engines and checks its invariants.
type world struct {
	// engine is the configuration that groups which open must fit.
	engine *catalog.Engine
	t      *testing.T
	now    time.Time
	vms    map[string]*engineVM
	ids    []string
	table  *fleet.Table
	p      *Planner
	epochs *Epochs
	rng    *rand.Rand
	late   []lateOrder
	// lossRate is the fraction of orders without an answer. Half of them take
	// effect later.
	lossRate   float64
	hasTraffic bool
	lastID     int
	// donated records the VMs of groups that were dissolved in favour of
	// another model.
	donated map[string]donationRecord
	// probeInterval is the time between two regular probes of a VM.
	probeInterval time.Duration
	// setUp configures each new planner further if it isn't nil.
	setUp func(*Planner)
	// loadOf returns the load that a VM reports; nil means none.
	loadOf func(*engineVM) fleet.Load
	// anyLost is whether any VM is dead or unreachable.
	anyLost bool
	// probeCount counts the probes sent.
	probeCount int
}

// donationRecord is the model that a VM was donated to, and when.
type donationRecord struct {
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
	return newWorldOfSize(t, seed, domains, domainVMs)
}

func newWorldOfSize(t *testing.T, seed uint64, domains, domainVMs int) *world {
	w := &world{
		engine: testEngine(),
		t:      t, now: time.Unix(1000, 0), vms: make(map[string]*engineVM), table: fleet.NewTable(),
		rng: rand.New(rand.NewPCG(seed, seed)), epochs: NewEpochs(1), donated: make(map[string]donationRecord), probeInterval: probeInterval,
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
	w.lastID++
	id := fmt.Sprintf("i-%03d", w.lastID)
	vm := &engineVM{readyIn: make(map[groupKey]bool)}
	vm.row = fleet.Row{
		ID: id, Service: service, Address: "10.0.0." + id, DataCentre: fmt.Sprintf("dc-%d", domain/2), Slots: 26, Engine: true,
	}
	vm.row.Domain = fmt.Sprintf("d-%d", domain)
	vm.state = fleet.State{Born: w.now.UnixMilli(), Domain: vm.row.Domain}
	w.vms[id] = vm
	w.ids = append(w.ids, id)
	w.applyRow(vm)
	return vm
}

func (w *world) applyRow(vm *engineVM) {
	row := vm.row
	row.State = vm.state
	row.Orders = 0
	w.table.ApplyRow(w.now, row)
}

func (w *world) newPlanner() {
	w.p = New(Options{
		Service: service, Epochs: w.epochs, Stall: stallTimeout, SpareShare: 1.0 / 6, LoadWindow: 5 * time.Second,
	}, w.table)
	clear(w.donated)
	w.p.Configure(testEngine(), nil)
	if w.setUp != nil {
		w.setUp(w.p)
	}
	if w.hasTraffic {
		w.p.SetTrafficStarted()
	}
}

// takeover replaces the planner with one of the next term.
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
		w.deliver(o)
	}
	w.checkSharedVMs()
	w.checkDonations()
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
	w.anyLost = false
	for _, vm := range w.vms {
		w.anyLost = w.anyLost || vm.dead || vm.unreachable
	}
	for _, id := range w.ids {
		vm := w.vms[id]
		if w.now.Sub(vm.probedAt) < w.probeEvery(id, vm) {
			continue
		}
		vm.probedAt = w.now
		w.probeCount++
		if vm.dead || vm.unreachable {
			w.table.RecordProbeFailure(w.now, id)
			continue
		}
		report := fleet.Report{State: vm.state}
		if w.loadOf != nil {
			report.Load = w.loadOf(vm)
		}
		w.table.ApplyReport(w.now, w.now, id, report)
	}
}

// probeEvery returns the time between two probes of a VM: as long as the
// planner's priority allows, but shorter while requests at the VM's group
// stall.
func (w *world) probeEvery(id string, vm *engineVM) time.Duration {
	switch w.p.ProbePriority(w.now, id) {
	case Urgent:
		return 0
	case Regular:
		return w.probeInterval
	}
	if w.anyLost && w.isGroupStalled(vm) {
		return stalledInterval
	}
	if w.loadOf != nil && vm.state.Stage == fleet.Open {
		return headInterval
	}
	return backgroundInterval
}

// isGroupStalled reports whether any VM of the same formation is dead or
// unreachable.
func (w *world) isGroupStalled(vm *engineVM) bool {
	for _, other := range w.vms {
		if other.state.Formation() == vm.state.Formation() && (other.dead || other.unreachable) {
			return true
		}
	}
	return false
}

// headInterval is the time between two reports of a head that gets requests.
const headInterval = 800 * time.Millisecond

// backgroundInterval is the time between two probes of a member of a serving
// group, stalledInterval the same while its group is stalled.
const (
	backgroundInterval = 3 * time.Second
	stalledInterval    = 500 * time.Millisecond
)

func (w *world) deliver(o Order) {
	vm := w.vms[o.VM]
	switch {
	case vm.dead || vm.unreachable:
		w.p.RecordOutcome(w.now, o.ID, o.VM, Refused)
	case w.rng.Float64() < w.lossRate:
		if w.rng.IntN(2) == 0 {
			w.late = append(w.late, lateOrder{w.now.Add(2*time.Second + time.Duration(w.rng.Int64N(int64(10*time.Second)))), o})
		}
		w.p.RecordOutcome(w.now, o.ID, o.VM, Unknown)
	default:
		w.p.RecordOutcome(w.now, o.ID, o.VM, w.apply(o))
	}
}

// apply carries out an order on its VM, following the platform's specification.
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
		w.checkNotTaken(vm, o)
		vm.join(w.now, o, w.hasTraffic)
	case Open:
		if (groupKey{vm.state.Group, vm.state.Epoch}) != key || vm.state.Stage != fleet.Ready {
			return Refused
		}
		vm.opensAt = w.now.Add(formTime)
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
		vm.readyAt, vm.opensAt = time.Time{}, time.Time{}
	case Stage:
		vm.staging, vm.stagedAt = o.Model, w.now.Add(vm.loadTime(w.hasTraffic))
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
	duration := vm.loadTime(traffic)
	switch {
	case vm.lastModel == o.Model:
		duration = rejoinTime
	case vm.state.HasStaged(o.Model):
		duration = warmTime
	}
	vm.lastModel, vm.members = o.Model, o.Members
	vm.state.Model = "" // an engine reports the model once it is ready
	vm.state.Staged = []string{o.Model}
	vm.state.Membership = fleet.Membership{
		Group: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, vm.row.ID), Stage: fleet.Joining,
	}
	vm.readyAt, vm.opensAt, vm.breaksAt = now.Add(duration), time.Time{}, time.Time{}
}

// advance moves a VM's simulation forward to the current time.
func (vm *engineVM) advance(w *world) {
	if vm.dead {
		return
	}
	if vm.staging != "" && !w.now.Before(vm.stagedAt) {
		vm.state.Staged, vm.staging = []string{vm.staging}, ""
	}
	defer func() { vm.state.Busy = vm.staging != "" || vm.state.Stage == fleet.Joining }()
	key := groupKey{vm.state.Group, vm.state.Epoch}
	if vm.state.Stage == fleet.Joining && !w.now.Before(vm.readyAt) {
		vm.state.Stage, vm.state.Model = fleet.Ready, vm.lastModel
		vm.readyIn[key] = true
	}
	if vm.state.Stage == fleet.Ready && !vm.opensAt.IsZero() && !w.now.Before(vm.opensAt) {
		vm.state.Stage, vm.opensAt = fleet.Open, time.Time{}
		w.checkAllReady(vm, key)
	}
	if vm.state.Stage != fleet.Open {
		return
	}
	if w.membersAlive(vm) {
		vm.breaksAt = time.Time{}
		return
	}
	if vm.breaksAt.IsZero() {
		vm.breaksAt = w.now.Add(stallTimeout)
	}
	if !w.now.Before(vm.breaksAt) {
		vm.state.Stage = fleet.Broken
	}
}

// membersAlive reports whether all members of a head are alive and in its
// group.
func (w *world) membersAlive(head *engineVM) bool {
	for _, id := range head.members {
		m := w.vms[id]
		if m.dead || m.state.Group != head.state.Group || m.state.Epoch != head.state.Epoch {
			return false
		}
	}
	return true
}

// checkAllReady fails the test if a head starts to serve with a member that was
// never ready in its formation.
func (w *world) checkAllReady(head *engineVM, key groupKey) {
	size := w.engine.Model(head.state.Model).GroupSize
	assert.Equal(w.t, len(head.members), size, "group %v has %d members", key, len(head.members))
	for _, id := range head.members {
		assert.Assert(w.t, w.vms[id].readyIn[key] || w.vms[id].dead, "%s was never ready in %v", id, key)
	}
}

// checkNotTaken fails the test if a VM joins another group while the head of
// its own group serves.
func (w *world) checkNotTaken(vm *engineVM, o Order) {
	if vm.state.Group == "" || vm.state.Group == o.Group {
		return
	}
	for _, head := range w.vms {
		if head.dead || head.state.Group != vm.state.Group || head.state.Epoch != vm.state.Epoch || head.state.Rank != 0 {
			continue
		}
		serves := head.state.Stage == fleet.Open || head.state.Stage == fleet.Closing
		assert.Assert(w.t, !serves, "%s joins group %s while head %s serves its group %s", vm.row.ID, o.Group, head.row.ID, head.state.Group)
	}
}

// checkSharedVMs fails the test if two formations in the planner's table share
// a VM.
func (w *world) checkSharedVMs() {
	owner := make(map[string]groupKey)
	for key, g := range w.p.groups {
		if g.Phase == Dissolving {
			continue
		}
		for _, id := range g.Members {
			other, shared := owner[id]
			assert.Assert(w.t, !shared, "%s is in both %v and %v", id, key, other)
			owner[id] = key
		}
	}
}

// checkDonations fails the test if VMs of a group that was dissolved in favour
// of another model join a group of a different model while the donation lasts.
func (w *world) checkDonations() {
	for _, g := range w.p.groups {
		for _, id := range g.Members {
			switch {
			case g.Phase == Dissolving && testEngine().Model(g.For) != nil:
				w.donated[id] = donationRecord{g.For, g.Since}
			case g.Phase == Forming && g.Since.Equal(w.now):
				donation, donated := w.donated[id]
				wrong := donated && w.now.Sub(donation.at) < donorTimeout && donation.model != g.Model
				assert.Assert(w.t, !wrong, "%s was donated to the %s model but joins group %s of the other model", id, donation.model, g.Name)
				delete(w.donated, id)
			}
		}
	}
}

// serving returns the number of groups of a model whose heads serve with all
// members.
func (w *world) serving(model string) int {
	n := 0
	for _, vm := range w.vms {
		if !vm.dead && vm.state.Stage == fleet.Open && vm.state.Model == model && w.membersAlive(vm) {
			n++
		}
	}
	return n
}

// head returns the head of a serving group of a model.
func (w *world) head(model string) *engineVM {
	for _, id := range w.ids {
		vm := w.vms[id]
		if !vm.dead && vm.state.Stage == fleet.Open && vm.state.Model == model && w.membersAlive(vm) {
			return vm
		}
	}
	return nil
}

func (w *world) startTraffic() {
	w.hasTraffic = true
	w.p.SetTrafficStarted()
}

// restart starts a VM again under the same ID with its staged weights.
func (w *world) restart(vm *engineVM) {
	vm.dead, vm.lastModel, vm.members = false, "", nil
	vm.state = fleet.State{Born: w.now.UnixMilli(), Domain: vm.row.Domain, Staged: vm.state.Staged}
	vm.readyAt, vm.opensAt, vm.staging = time.Time{}, time.Time{}, ""
	w.applyRow(vm)
}

// isSpare reports whether a VM belongs to no group that may serve.
func (vm *engineVM) isSpare() bool { return vm.state.Group == "" || vm.state.IsStandby() }
