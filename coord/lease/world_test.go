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

// world runs machines against a fake table with faults, in true time.
type world struct {
	rng     *rand.Rand
	faults  faults
	now     time.Duration // true time
	seq     int
	asks    int // requests for promises sent
	queue   []message
	nodes   []*node
	table   table
	outage  bool
	broken  string // first broken invariant
	termOf  map[uint64]string
	topTerm uint64
	highest uint64 // newest term at an endpoint that does not
	// ignoreUnfencedFrom orders unfenced endpoints without waiting.
	ignoreUnfencedFrom bool
	off                mechanisms // of processes that restart
}

// faults are probabilities per opportunity, in per mille.
type faults struct {
	late, lost, doubled, pause, restart, kill, outage, cut, stop, tell int
	drift                                                              int64 // ppm of each clock from true time, either way
}

type node struct {
	m           *Machine
	opts        Options
	rate        int64 // ppm from true time
	pausedUntil time.Duration
	cut         bool // from the table
	dead        bool
}

type message struct {
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

func newWorld(seed uint64, f faults, opts ...Options) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), faults: f, termOf: map[uint64]string{}}
	w.table.regs = map[string]Registration{}
	for _, o := range opts {
		n := &node{m: New(o), opts: o}
		n.rate = f.drift
		if w.chance(500) {
			n.rate = -f.drift
		}
		w.nodes = append(w.nodes, n)
	}
	w.listVMs()
	return w
}

func (w *world) chance(perMille int) bool {
	return perMille > 0 && w.rng.IntN(1000) < perMille
}

func (w *world) clock(n *node) time.Time {
	return time.Unix(1000, 0).Add(w.now + w.now/partsPerMillion*time.Duration(n.rate))
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	w.queue = append(w.queue, message{at: w.now + d, seq: w.seq, run: run})
}

// delay draws a message's time on its way.
func (w *world) delay() time.Duration {
	d := time.Duration(1+w.rng.IntN(40)) * time.Millisecond
	if w.chance(w.faults.late) {
		d += time.Duration(w.rng.IntN(8000)) * time.Millisecond
	}
	return d
}

// run advances true time by d.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end && w.broken == ""; {
		w.deliverUntil(w.now + tick)
		w.inject()
		for _, n := range w.nodes {
			w.step(n, n.m, Tick{})
			w.order(n)
		}
		w.check()
	}
}

func (w *world) deliverUntil(t time.Duration) {
	for {
		slices.SortFunc(w.queue, func(a, b message) int {
			return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq))
		})
		if len(w.queue) == 0 || w.queue[0].at > t {
			break
		}
		next := w.queue[0]
		w.queue = w.queue[1:]
		w.now = max(w.now, next.at)
		next.run()
		w.check()
	}
	w.now = t
}

// step hands an event to process m of a node, once it is not paused.
func (w *world) step(n *node, m *Machine, ev Event) {
	if n.dead || n.m != m {
		return
	}
	if n.pausedUntil > w.now {
		if _, ok := ev.(Tick); !ok {
			w.after(n.pausedUntil-w.now, func() { w.step(n, m, ev) })
		}
		return
	}
	for _, e := range m.Step(w.clock(n), ev) {
		w.carryOut(n, m, e)
	}
}

func (w *world) carryOut(n *node, m *Machine, e Effect) {
	switch e := e.(type) {
	case ReadRows:
		w.after(w.delay(), func() { w.read(n, m, e) })
	case WriteRow:
		w.after(w.delay(), func() { w.write(n, m, e) })
	case RegisterCandidate:
		w.after(w.delay(), func() { w.register(n, e.Key, e.Revision, &e.Candidate) })
	case RemoveCandidate:
		w.after(w.delay(), func() { w.register(n, e.Key, e.Revision, nil) })
	case AskPromise:
		w.ask(n, m, e)
	case Released:
		for _, peer := range w.nodes {
			if peer != n {
				w.after(w.delay(), func() { w.step(peer, peer.m, RowChanged{}) })
			}
		}
	}
}

func (w *world) unreachable(n *node) bool {
	return w.outage || n.cut
}

func (w *world) read(n *node, m *Machine, e ReadRows) {
	if w.unreachable(n) || w.chance(w.faults.lost) {
		w.after(w.delay(), func() { w.step(n, m, ReadFailed{Read: e.ID}) })
		return
	}
	ev := RowsRead{Read: e.ID, Revision: w.table.revision}
	if w.table.row != nil {
		row := *w.table.row
		ev.Row = &row
	}
	for _, key := range slices.Sorted(maps.Keys(w.table.regs)) {
		if e.All || key == e.Own {
			ev.Registrations = append(ev.Registrations, w.table.regs[key])
		}
	}
	if e.VMs {
		ev.VMsKnown = true
		ev.VMs = w.laggingList()
	}
	w.after(w.delay(), func() { w.step(n, m, ev) })
}

func (w *world) write(n *node, m *Machine, e WriteRow) {
	answer := WriteAnswered{Token: e.Row.Token, Outcome: Unknown}
	switch {
	case w.chance(w.faults.lost):
		// The request surfaces late or never, after its answer is given up.
		if w.chance(500) {
			w.after(time.Duration(w.rng.IntN(10000))*time.Millisecond, func() { w.commit(e) })
		}
	case w.unreachable(n):
		answer.Outcome = NotWritten
	default:
		answer.Outcome, answer.Revision = w.commit(e)
	}
	if w.chance(w.faults.lost) {
		answer.Outcome = Unknown
	}
	w.after(w.delay(), func() { w.step(n, m, answer) })
}

func (w *world) commit(e WriteRow) (Outcome, uint64) {
	if w.table.revision != e.Revision {
		return Conflict, 0
	}
	if w.table.row != nil && e.Row.Term < w.table.row.Term {
		w.fail("the row's term fell from %d to %d", w.table.row.Term, e.Row.Term)
	}
	row := e.Row
	w.table.row = &row
	w.table.revision++
	return Applied, w.table.revision
}

func (w *world) register(n *node, key string, revision uint64, c *Candidate) {
	if w.unreachable(n) || w.table.regs[key].Revision != revision {
		return
	}
	if c == nil {
		delete(w.table.regs, key)
		return
	}
	w.seq++
	w.table.regs[key] = Registration{Candidate: *c, Revision: uint64(w.seq)}
}

func (w *world) ask(n *node, m *Machine, e AskPromise) {
	w.asks++
	copies := 1
	if w.chance(w.faults.doubled) {
		copies = 2
	}
	for range copies {
		if w.chance(w.faults.lost) {
			continue
		}
		w.after(w.delay(), func() { w.askPeer(n, m, e) })
	}
}

func (w *world) askPeer(from *node, m *Machine, e AskPromise) {
	for _, n := range w.nodes {
		if n.opts.VM != e.Candidate || n.dead || n.pausedUntil > w.now {
			continue
		}
		for _, effect := range n.m.Step(w.clock(n), PromiseRequested{Request: e.Request}) {
			if a, ok := effect.(AnswerPromise); ok && !w.chance(w.faults.lost) {
				w.after(w.delay(), func() { w.step(from, m, PromiseAnswered(a)) })
				continue
			}
			w.carryOut(n, n.m, effect)
		}
	}
}

func (w *world) listVMs() {
	var names []string
	for _, n := range w.nodes {
		if !n.dead {
			names = append(names, n.opts.VM)
		}
	}
	w.table.vms = append(w.table.vms, vmList{at: w.now, names: names})
}

// laggingList returns a list of VMs from within the lag's bound.
func (w *world) laggingList() []string {
	lag := time.Duration(w.rng.Int64N(int64(w.nodes[0].opts.VMListLag)))
	var names []string
	for _, l := range w.table.vms {
		if l.at <= max(0, w.now-lag) {
			names = l.names
		}
	}
	return names
}

func (w *world) restart(n *node) {
	n.opts.Incarnation = fmt.Sprintf("%s.%d", n.opts.VM, w.seq)
	n.opts.Seed++
	n.m = New(n.opts)
	n.m.off = w.off
	n.pausedUntil = 0
}

func (w *world) kill(n *node) {
	n.dead = true
	w.listVMs()
}

// inject draws this tick's faults.
func (w *world) inject() {
	if w.chance(w.faults.outage) {
		w.outage = !w.outage
	}
	for _, n := range w.nodes {
		if w.chance(w.faults.cut) {
			n.cut = !n.cut
		}
		if w.chance(w.faults.pause) {
			n.pausedUntil = w.now + time.Duration(w.rng.IntN(6000))*time.Millisecond
		}
		if w.chance(w.faults.restart) {
			w.restart(n)
		}
		if w.chance(w.faults.kill) {
			w.kill(n)
		}
		if w.chance(w.faults.tell) {
			w.tell(n)
		}
		if w.chance(w.faults.stop) {
			w.step(n, n.m, Stop{})
		}
	}
}

// tell lets a node tell another of the row that it knows.
func (w *world) tell(from *node) {
	row, revision := from.m.Row()
	to := w.nodes[w.rng.IntN(len(w.nodes))]
	if revision == 0 || to == from || from.dead {
		return
	}
	w.after(w.delay(), func() { w.step(to, to.m, RowRelayed{Row: row, Revision: revision}) })
}

// order sends a holder's orders to an endpoint that does not check fencing.
// They arrive within their timeout and the bound on pauses.
func (w *world) order(n *node) {
	now := w.clock(n)
	g, held := n.m.Held(now)
	if n.dead || !held || n.pausedUntil > w.now || !n.m.MayOrder(now, n.opts.OrderTimeout) {
		return
	}
	if now.Before(g.UnfencedFrom) && !w.ignoreUnfencedFrom {
		return
	}
	longest := int64(n.opts.OrderTimeout + n.opts.PauseBound)
	w.after(time.Duration(w.rng.Int64N(longest)), func() {
		if g.Term < w.highest {
			w.fail("an order of term %d reached an endpoint after term %d", g.Term, w.highest)
		}
		w.highest = g.Term
	})
}

func (w *world) fail(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf("at %v: "+format, append([]any{w.now}, args...)...)
	}
}

// check tests the invariants at this true time. A paused process counts: it
// may have gone on just after looking at its clock.
func (w *world) check() {
	holders := w.holders()
	if len(holders) > 1 {
		w.fail("%s and %s hold the lease", holders[0].opts.Incarnation, holders[1].opts.Incarnation)
	}
	for _, n := range holders {
		g, _ := n.m.Held(w.clock(n))
		by, ok := w.termOf[g.Term]
		switch {
		case ok && by != n.opts.Incarnation:
			w.fail("term %d is held by %s and %s", g.Term, by, n.opts.Incarnation)
		case g.Term < w.topTerm:
			w.fail("term %d is held after term %d", g.Term, w.topTerm)
		}
		w.termOf[g.Term] = n.opts.Incarnation
		w.topTerm = g.Term
	}
}

func (w *world) holders() []*node {
	var list []*node
	for _, n := range w.nodes {
		if _, ok := n.m.Held(w.clock(n)); ok && !n.dead {
			list = append(list, n)
		}
	}
	return list
}
