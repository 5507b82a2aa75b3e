package lease

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const tick = 100 * time.Millisecond

// simulation runs machines against a fake table and injects faults. Its times
// are true time; each node's clock drifts from it.
type simulation struct {
	rng              *rand.Rand
	faults           faults
	now              time.Duration // true time
	seq              int
	promiseRequests  int // promise requests sent
	queue            []scheduledCall
	nodes            []*node
	table            table
	era              uint64 // of the table; each has rows of its own
	outage           bool
	violation        string // first violated invariant
	termHolder       map[uint64]string
	highestTerm      uint64
	highestOrderTerm uint64 // of the orders that took effect at an unfenced endpoint
	// ignoreUnfencedFrom sends orders to unfenced endpoints without waiting.
	ignoreUnfencedFrom bool
	disabled           mechanisms // of processes that restart
}

// faults are probabilities per opportunity, in per mille.
type faults struct {
	late, lost, duplicated, pause, restart, kill, outage, partition, stop, relay, restore int
	drift                                                                                 int64 // deviation of each clock from true time, ahead or behind, in ppm
}

type node struct {
	m           *Machine
	opts        Options
	driftPPM    int64 // ppm from true time
	pausedUntil time.Duration
	partitioned bool // cut off from the table
	dead        bool
}

type scheduledCall struct {
	at  time.Duration
	seq int
	run func()
}

type table struct {
	row      *Row
	revision uint64
	regs     map[string]Registration
	vms      []vmList
}

type vmList struct {
	at    time.Duration
	names []string
}

func testOptions(vm string) Options {
	return Options{
		DataCentre: "praha", VM: vm, Incarnation: vm + ".0", Seed: 1,
		Duration: 3 * time.Second, Promise: 3 * time.Second,
		RenewEvery: time.Second, PollEvery: time.Second, AskEvery: time.Second, RetryEvery: 300 * time.Millisecond,
		OrderTimeout: 500 * time.Millisecond, Margin: tick, PauseBound: time.Second,
		VMListLag: 4 * time.Second, VMsEvery: 2 * time.Second, DriftPPM: 50_000,
	}
}

func newSimulation(seed uint64, f faults, opts ...Options) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), faults: f, termHolder: map[uint64]string{}, era: FirstEra}
	sim.table.regs = map[string]Registration{}
	for _, o := range opts {
		n := &node{m: New(o), opts: o}
		n.driftPPM = f.drift
		if sim.chance(500) {
			n.driftPPM = -f.drift
		}
		sim.nodes = append(sim.nodes, n)
	}
	sim.recordVMList()
	return sim
}

func (sim *simulation) chance(perMille int) bool {
	return perMille > 0 && sim.rng.IntN(1000) < perMille
}

func (sim *simulation) clock(n *node) time.Time {
	return time.Unix(1000, 0).Add(sim.now + sim.now/partsPerMillion*time.Duration(n.driftPPM))
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.seq++
	sim.queue = append(sim.queue, scheduledCall{at: sim.now + d, seq: sim.seq, run: run})
}

// delay returns a random delivery time for a message.
func (sim *simulation) delay() time.Duration {
	d := time.Duration(1+sim.rng.IntN(40)) * time.Millisecond
	if sim.chance(sim.faults.late) {
		d += time.Duration(sim.rng.IntN(8000)) * time.Millisecond
	}
	return d
}

// run advances true time by d.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now + d; sim.now < end && sim.violation == ""; {
		sim.deliverUntil(sim.now + tick)
		sim.injectFaults()
		for _, n := range sim.nodes {
			sim.step(n, n.m, Tick{})
			sim.sendOrder(n)
		}
		sim.checkInvariants()
	}
}

func (sim *simulation) deliverUntil(t time.Duration) {
	for {
		slices.SortFunc(sim.queue, func(a, b scheduledCall) int {
			return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq))
		})
		if len(sim.queue) == 0 || sim.queue[0].at > t {
			break
		}
		next := sim.queue[0]
		sim.queue = sim.queue[1:]
		sim.now = max(sim.now, next.at)
		next.run()
		sim.checkInvariants()
	}
	sim.now = t
}

// step passes an event to process m of a node once the node is not paused.
func (sim *simulation) step(n *node, m *Machine, ev Event) {
	if n.dead || n.m != m {
		return
	}
	if n.pausedUntil > sim.now {
		if _, ok := ev.(Tick); !ok {
			sim.schedule(n.pausedUntil-sim.now, func() { sim.step(n, m, ev) })
		}
		return
	}
	for _, e := range m.Step(sim.clock(n), ev) {
		sim.execute(n, m, e)
	}
}

func (sim *simulation) execute(n *node, m *Machine, e Effect) {
	switch e := e.(type) {
	case ReadRows:
		sim.schedule(sim.delay(), func() { sim.read(n, m, e) })
	case WriteRow:
		sim.schedule(sim.delay(), func() { sim.write(n, m, e) })
	case RegisterCandidate:
		sim.schedule(sim.delay(), func() { sim.register(n, e.Era, e.Key, e.Revision, &e.Candidate) })
	case RemoveCandidate:
		sim.schedule(sim.delay(), func() { sim.register(n, e.Era, e.Key, e.Revision, nil) })
	case AskPromise:
		sim.sendPromiseRequest(n, m, e)
	case Released:
		for _, peer := range sim.nodes {
			if peer != n {
				sim.schedule(sim.delay(), func() { sim.step(peer, peer.m, RowChanged{}) })
			}
		}
	}
}

func (sim *simulation) isTableUnreachable(n *node) bool {
	return sim.outage || n.partitioned
}

func (sim *simulation) read(n *node, m *Machine, e ReadRows) {
	if sim.isTableUnreachable(n) || sim.chance(sim.faults.lost) {
		sim.schedule(sim.delay(), func() { sim.step(n, m, ReadFailed{Read: e.ID}) })
		return
	}
	ev := RowsRead{Read: e.ID, Era: sim.era, Revision: sim.table.revision}
	if sim.table.row != nil {
		row := *sim.table.row
		ev.Row = &row
	}
	for _, key := range slices.Sorted(maps.Keys(sim.table.regs)) {
		if e.All || key == e.Own {
			ev.Registrations = append(ev.Registrations, sim.table.regs[key])
		}
	}
	if e.VMs {
		ev.VMsKnown = true
		ev.VMs = sim.staleVMList()
	}
	sim.schedule(sim.delay(), func() { sim.step(n, m, ev) })
}

func (sim *simulation) write(n *node, m *Machine, e WriteRow) {
	answer := WriteAnswered{Token: e.Row.Token, Outcome: Unknown}
	switch {
	case sim.chance(sim.faults.lost):
		// The request takes effect late or never, after its answer counts as lost.
		if sim.chance(500) {
			sim.schedule(time.Duration(sim.rng.IntN(10000))*time.Millisecond, func() { sim.commit(e) })
		}
	case sim.isTableUnreachable(n):
		answer.Outcome = NotWritten
	default:
		answer.Outcome, answer.Revision = sim.commit(e)
	}
	if e.Era != sim.era {
		answer.Outcome = Unknown
	}
	if sim.chance(sim.faults.lost) {
		answer.Outcome = Unknown
	}
	sim.schedule(sim.delay(), func() { sim.step(n, m, answer) })
}

func (sim *simulation) commit(e WriteRow) (Outcome, uint64) {
	if sim.table.revision != e.Revision || e.Era != sim.era {
		return Conflict, 0
	}
	if sim.table.row != nil && e.Row.Term < sim.table.row.Term {
		sim.recordViolation("the row's term decreased from %d to %d", sim.table.row.Term, e.Row.Term)
	}
	row := e.Row
	sim.table.row = &row
	sim.table.revision++
	return Applied, sim.table.revision
}

func (sim *simulation) register(n *node, era uint64, key string, revision uint64, c *Candidate) {
	if sim.isTableUnreachable(n) || era != sim.era || sim.table.regs[key].Revision != revision {
		return
	}
	if c == nil {
		delete(sim.table.regs, key)
		return
	}
	sim.seq++
	sim.table.regs[key] = Registration{Candidate: *c, Revision: uint64(sim.seq)}
}

func (sim *simulation) sendPromiseRequest(n *node, m *Machine, e AskPromise) {
	sim.promiseRequests++
	copies := 1
	if sim.chance(sim.faults.duplicated) {
		copies = 2
	}
	for range copies {
		if sim.chance(sim.faults.lost) {
			continue
		}
		sim.schedule(sim.delay(), func() { sim.deliverPromiseRequest(n, m, e) })
	}
}

func (sim *simulation) deliverPromiseRequest(from *node, m *Machine, e AskPromise) {
	for _, n := range sim.nodes {
		if n.opts.VM != e.Candidate || n.dead || n.pausedUntil > sim.now {
			continue
		}
		for _, effect := range n.m.Step(sim.clock(n), PromiseRequested{Request: e.Request}) {
			if a, ok := effect.(AnswerPromise); ok && !sim.chance(sim.faults.lost) {
				sim.schedule(sim.delay(), func() { sim.step(from, m, PromiseAnswered(a)) })
				continue
			}
			sim.execute(n, n.m, effect)
		}
	}
}

func (sim *simulation) recordVMList() {
	var names []string
	for _, n := range sim.nodes {
		if !n.dead {
			names = append(names, n.opts.VM)
		}
	}
	sim.table.vms = append(sim.table.vms, vmList{at: sim.now, names: names})
}

// staleVMList returns a list of VMs that is at most VMListLag old.
func (sim *simulation) staleVMList() []string {
	lag := time.Duration(sim.rng.Int64N(int64(sim.nodes[0].opts.VMListLag)))
	var names []string
	for _, l := range sim.table.vms {
		if l.at <= max(0, sim.now-lag) {
			names = l.names
		}
	}
	return names
}

func (sim *simulation) restart(n *node) {
	n.opts.Incarnation = fmt.Sprintf("%s.%d", n.opts.VM, sim.seq)
	n.opts.Seed++
	n.m = New(n.opts)
	n.m.disabled = sim.disabled
	n.pausedUntil = 0
}

func (sim *simulation) kill(n *node) {
	n.dead = true
	sim.recordVMList()
}

// injectFaults injects random faults for one tick.
func (sim *simulation) injectFaults() {
	if sim.chance(sim.faults.outage) {
		sim.outage = !sim.outage
	}
	if sim.chance(sim.faults.restore) {
		sim.restoreTable()
	}
	for _, n := range sim.nodes {
		if sim.chance(sim.faults.partition) {
			n.partitioned = !n.partitioned
		}
		if sim.chance(sim.faults.pause) {
			n.pausedUntil = sim.now + time.Duration(sim.rng.IntN(6000))*time.Millisecond
		}
		if sim.chance(sim.faults.restart) {
			sim.restart(n)
		}
		if sim.chance(sim.faults.kill) {
			sim.kill(n)
		}
		if sim.chance(sim.faults.relay) {
			sim.relayRow(n)
		}
		if sim.chance(sim.faults.stop) {
			sim.step(n, n.m, Stop{})
		}
	}
}

// restoreTable makes the table come back from an older copy. It gives out revisions
// again.
func (sim *simulation) restoreTable() {
	sim.era++
	sim.table.row, sim.table.revision, sim.table.regs = nil, 0, map[string]Registration{}
}

// relayRow sends the row known to a node to another, random node.
func (sim *simulation) relayRow(from *node) {
	row, revision := from.m.Row()
	era := from.m.Era()
	to := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	if revision == 0 || to == from || from.dead {
		return
	}
	sim.schedule(sim.delay(), func() { sim.step(to, to.m, RowRelayed{Era: era, Row: row, Revision: revision}) })
}

// sendOrder sends a holder's order to an endpoint that does not check fencing. It
// arrives within the order timeout plus the pause bound.
func (sim *simulation) sendOrder(n *node) {
	now := sim.clock(n)
	g, held := n.m.Held(now)
	if n.dead || !held || n.pausedUntil > sim.now || !n.m.MayOrder(now, n.opts.OrderTimeout) {
		return
	}
	if now.Before(g.UnfencedFrom) && !sim.ignoreUnfencedFrom {
		return
	}
	longest := int64(n.opts.OrderTimeout + n.opts.PauseBound)
	sim.schedule(time.Duration(sim.rng.Int64N(longest)), func() {
		if g.Term < sim.highestOrderTerm {
			sim.recordViolation("an order of term %d reached an endpoint after term %d", g.Term, sim.highestOrderTerm)
		}
		sim.highestOrderTerm = g.Term
	})
}

func (sim *simulation) recordViolation(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf("at %v: "+format, append([]any{sim.now}, args...)...)
	}
}

// checkInvariants checks the invariants at the current true time. A paused process
// counts as a holder: it may have been paused just after it read its clock, and
// act on that reading.
func (sim *simulation) checkInvariants() {
	holders := sim.holders()
	if len(holders) > 1 {
		sim.recordViolation("%s and %s hold the lease", holders[0].opts.Incarnation, holders[1].opts.Incarnation)
	}
	for _, n := range holders {
		g, _ := n.m.Held(sim.clock(n))
		by, ok := sim.termHolder[g.Term]
		switch {
		case ok && by != n.opts.Incarnation:
			sim.recordViolation("term %d is held by %s and %s", g.Term, by, n.opts.Incarnation)
		case g.Term < sim.highestTerm:
			sim.recordViolation("term %d is held after term %d", g.Term, sim.highestTerm)
		}
		sim.termHolder[g.Term] = n.opts.Incarnation
		sim.highestTerm = g.Term
	}
}

func (sim *simulation) holders() []*node {
	var list []*node
	for _, n := range sim.nodes {
		if _, ok := n.m.Held(sim.clock(n)); ok && !n.dead {
			list = append(list, n)
		}
	}
	return list
}
