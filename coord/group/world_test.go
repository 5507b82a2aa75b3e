package group

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/member"
)

// engine is a fake VM with its model engine.
type engine struct {
	vm       inventory.VM
	life     int  // incarnation
	dead     bool // the VM is off
	paused   bool // the process stands still
	report   member.Report
	progress time.Duration
	// readyAt is when the engine was last ready at a place.
	readyAt map[place]time.Time
}

type place struct {
	key  strayKey
	rank int
}

func (e *engine) up() bool { return !e.dead && !e.paused }

func (e *engine) key() strayKey { return strayKey{e.report.Group, e.report.Generation} }

// restart loses everything that the engine knew.
func (e *engine) restart() {
	e.life++
	e.dead, e.paused, e.progress = false, false, 0
	e.report = member.Report{
		VM: e.vm.Name, State: member.Idle, Incarnation: fmt.Sprint(e.vm.Name, ".", e.life),
		StepLatency: e.report.StepLatency,
	}
}

type delivery struct {
	at    time.Time
	until time.Time // the connection of a paused VM lasts until then
	order member.Order
	from  *node
}

// decider is what a node runs: the manager, or a baseline of the measurement.
type decider interface {
	Step(now time.Time, ev Event) []Effect
	Groups() []Group
}

// node is an entry VM that may hold the lease.
type node struct {
	d      decider
	term   uint64
	seq    uint64
	leased bool
	paused bool
}

func (n *node) Fence(time.Time) (member.Fence, bool) {
	n.seq++
	return member.Fence{Term: n.term, Sequence: n.seq}, n.leased
}

type rowWrite struct {
	at   time.Time
	from *node
	row  WriteRow
}

// answer is an event on its way to a node.
type answer struct {
	to *node
	ev Event
}

// world is one data centre with the platform's row and two candidates.
type world struct {
	rng      *rand.Rand
	opts     Options
	tick     time.Duration
	loadTime time.Duration
	store    int // loads that the weight store serves at full speed
	now      time.Time
	doc      inventory.Document
	number   uint64
	engines  []*engine
	byName   map[string]*engine
	nodes    []*node
	routers  []*Reports
	term     uint64

	// chaos has orders come late, twice or never and loses answers.
	chaos    bool
	down     bool // the platform's table
	lossy    bool // write answers are lost now and then
	mute     bool // all write answers are lost
	row      []byte
	revision uint64
	late     []WriteRow
	writes   []rowWrite
	// drop says which orders are lost.
	drop func(o member.Order) bool
	// blind says which probes of a router are lost.
	blind func(router int, e *engine) bool
	// writeTicks is how long the platform takes for a write.
	writeTicks int
	// quick skips the invariants, and has routers probe each tick.
	quick bool

	orders   []delivery
	answers  []answer
	sent     int
	known    map[strayKey]Group // every group that any node has announced
	whole    map[strayKey]time.Time
	drained  map[strayKey]bool // drained, or ended while not whole
	released map[string]bool
	faults   []string // violated invariants
}

func testOptions() Options {
	return Options{
		DataCentre: "praha", ReportTTL: 2 * time.Second, ReconcileGrace: 3 * time.Second,
		RepairGrace: 4 * time.Second, RegroupAfter: 8 * time.Second, OrderTimeout: 2 * time.Second,
		OrderMaxDelay: 6 * time.Second, LoadTimeout: 20 * time.Second, LoadBackoff: 5 * time.Second,
		DrainSettle: 2 * time.Second, DrainGrace: 4 * time.Second, StragglerAfter: 4 * time.Second,
		MaxLoads: 2,
	}
}

// inventoryOf declares domains of equal size; every third VM ignores fences.
func inventoryOf(domains, size int, models ...inventory.Model) inventory.Document {
	doc := inventory.Document{DataCentres: []inventory.DataCentre{{Name: "praha"}}, Models: models}
	for d := range domains {
		for i := range size {
			doc.VMs = append(doc.VMs, inventory.VM{
				Name: fmt.Sprintf("d%02d-v%03d", d, i), DataCentre: "praha", Role: inventory.RoleModel,
				FabricDomain: fmt.Sprintf("d%02d", d), ChecksFencing: i%3 != 0, Accelerators: 2,
			})
		}
	}
	return doc
}

func newWorld(opts Options, doc inventory.Document, seed uint64, candidates int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), opts: opts.withDefaults(), doc: doc,
		tick: 500 * time.Millisecond, loadTime: 3 * time.Second, store: opts.MaxLoads,
		now: time.Unix(1000, 0), byName: map[string]*engine{}, known: map[strayKey]Group{},
		whole: map[strayKey]time.Time{}, drained: map[strayKey]bool{}, released: map[string]bool{},
	}
	for _, vm := range doc.VMs {
		e := &engine{vm: vm, readyAt: map[place]time.Time{}}
		e.report.StepLatency = 10 * time.Millisecond
		e.restart()
		w.engines = append(w.engines, e)
		w.byName[vm.Name] = e
	}
	for range candidates {
		w.nodes = append(w.nodes, &node{d: New(opts)})
		w.routers = append(w.routers, NewReports(opts))
	}
	w.configure()
	w.grant(w.nodes[0])
	return w
}

func (w *world) configure() {
	w.number++
	doc := w.doc
	doc.VMs = slices.Clone(w.doc.VMs)
	for _, n := range w.nodes {
		w.step(n, Configuration{Number: w.number, Document: &doc})
	}
}

// grant moves the lease. The earlier holder's lease has run out by then.
func (w *world) grant(n *node) {
	for _, other := range w.nodes {
		if other.leased && other != n {
			other.leased = false
			w.step(other, LeaseLost{})
		}
	}
	w.term++
	n.leased, n.term = true, w.term
	w.step(n, LeaseGained{Term: w.term, Fencer: n, UnfencedFrom: w.now.Add(w.opts.OrderMaxDelay)})
}

func (w *world) step(n *node, ev Event) {
	if n.paused {
		return
	}
	for _, e := range n.d.Step(w.now, ev) {
		w.carryOut(n, e)
	}
}

func (w *world) stepAll(ev Event) {
	for _, n := range w.nodes {
		w.step(n, ev)
	}
}

func (w *world) carryOut(n *node, e Effect) {
	switch e := e.(type) {
	case SendOrder:
		w.sendOrder(n, e.Order)
	case ReadRow:
		w.readRow(n)
	case WriteRow:
		w.writes = append(w.writes, rowWrite{w.now.Add(w.tick * time.Duration(max(1, w.writeTicks))), n, e})
	case Progress:
		if e.Notice == NoticeDraining {
			w.drained[strayKey{e.Group, e.Generation}] = true
		}
		if e.Notice == NoticeDissolved || e.Notice == NoticeForming {
			w.noteEnded(e.Group)
		}
		if e.Notice == NoticeReleased {
			w.released[e.VM] = true
		}
	}
}

func (w *world) readRow(n *node) {
	if w.down {
		w.answers = append(w.answers, answer{n, RowReadFailed{}})
		return
	}
	w.answers = append(w.answers, answer{n, RowRead{Value: w.row, Revision: w.revision}})
}

func (w *world) writeRow(n *node, e WriteRow) {
	outcome := RowWritten{Token: e.Token, Outcome: WriteNotWritten}
	switch {
	case w.down:
	case w.lossy && w.rng.IntN(3) == 0: // lands later, or never
		outcome.Outcome = WriteUnknown
		if w.rng.IntN(2) == 0 {
			w.late = append(w.late, e)
		}
	case e.Revision != w.revision:
		outcome.Outcome = WriteConflict
	default:
		w.commit(e)
		outcome.Outcome, outcome.Revision = WriteApplied, w.revision
		if w.mute || w.lossy && w.rng.IntN(2) == 0 {
			outcome.Outcome = WriteUnknown
		}
	}
	w.answers = append(w.answers, answer{n, outcome})
}

func (w *world) commit(e WriteRow) {
	if e.Revision == w.revision {
		w.revision++
		w.row = e.Value
	}
}

func (w *world) sendOrder(n *node, o member.Order) {
	w.sent++
	if !w.quick {
		w.checkTouched(n, o)
	}
	at, until := w.now, w.now.Add(w.opts.OrderMaxDelay-w.tick)
	if w.drop != nil && w.drop(o) {
		return
	}
	if w.chaos {
		switch w.rng.IntN(6) {
		case 0:
			return // lost
		case 1:
			at = w.now.Add(w.delay())
		case 2:
			w.orders = append(w.orders, delivery{w.now.Add(w.delay()), until, o, n})
		}
	}
	w.orders = append(w.orders, delivery{at, until, o, n})
}

// delay is how late an order comes, within the bound that is promised.
func (w *world) delay() time.Duration {
	return time.Duration(w.rng.Int64N(int64(w.opts.OrderMaxDelay - w.tick)))
}

// apply is how an engine takes an order.
func (w *world) apply(d delivery) {
	e := w.byName[d.order.VM]
	if !e.up() {
		return
	}
	if e.vm.ChecksFencing && d.order.Fence.Before(e.report.Fence) {
		w.answers = append(w.answers, answer{d.from, OrderDone{VM: e.vm.Name, Fence: d.order.Fence, Failed: true}})
		return
	}
	e.report.Fence = d.order.Fence
	key := strayKey{d.order.Group, d.order.Generation}
	switch {
	case d.order.Action == member.Leave:
		latency, fence := e.report.StepLatency, e.report.Fence
		e.report = member.Report{
			VM: e.vm.Name, State: member.Idle, Incarnation: e.report.Incarnation,
			StepLatency: latency, Fence: fence,
		}
	case e.key() != key:
		if e.report.Group != "" {
			w.fault("%s was moved from %v to %v without leaving", e.vm.Name, e.key(), key)
		}
		e.progress = 0
		e.report.State, e.report.Rank, e.report.Model = member.Loading, d.order.Rank, d.order.Model
		e.report.Group, e.report.Generation = key.group, key.generation
	}
	lost := w.chaos && w.rng.IntN(4) == 0
	w.answers = append(w.answers, answer{d.from, OrderDone{VM: e.vm.Name, Fence: d.order.Fence, Failed: lost}})
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%v: ", w.now.Unix()-1000)+fmt.Sprintf(format, args...))
}

// advance moves time by one tick.
func (w *world) advance() {
	w.now = w.now.Add(w.tick)
	for _, e := range w.late {
		w.commit(e)
	}
	w.late = nil
	writes := w.writes
	w.writes = nil
	for _, write := range writes {
		if write.at.After(w.now) {
			w.writes = append(w.writes, write)
			continue
		}
		w.writeRow(write.from, write.row)
	}
	w.deliver()
	w.load()
	w.probe()
	answers := w.answers
	w.answers = nil
	for _, a := range answers {
		w.step(a.to, a.ev)
	}
	w.stepAll(Tick{})
	if !w.quick {
		w.check()
	}
}

func (w *world) run(d time.Duration) {
	for range int(d / w.tick) {
		w.advance()
	}
}

func (w *world) deliver() {
	due := w.orders
	w.orders = nil
	for _, d := range due {
		waits := w.byName[d.order.VM].paused && w.now.Before(d.until)
		if d.at.After(w.now) || waits {
			w.orders = append(w.orders, d)
			continue
		}
		w.apply(d)
	}
}

// load shares the weight store's bandwidth over the loading groups.
func (w *world) load() {
	loading := map[strayKey]bool{}
	for _, e := range w.engines {
		if e.up() && e.report.State == member.Loading {
			loading[e.key()] = true
		}
	}
	for _, e := range w.engines {
		if !e.up() {
			continue
		}
		if e.report.State == member.Loading {
			e.progress += w.tick * time.Duration(w.store) / time.Duration(max(w.store, len(loading)))
			if e.progress >= w.loadTime {
				e.report.State = member.Ready
			}
		}
		if e.report.State == member.Ready {
			e.readyAt[place{e.key(), e.report.Rank}] = w.now
		}
	}
}

// probe brings the managers and routers reports; each router sees a VM every
// second tick only.
func (w *world) probe() {
	turn := int(w.now.UnixNano()/int64(w.tick)) % 2
	for i, e := range w.engines {
		if !e.up() {
			continue
		}
		w.stepAll(Reported{Report: e.report, SentAt: w.now.Add(-w.tick / 5)})
		for j, r := range w.routers {
			if (w.quick || (i+j)%2 == turn) && !w.blinded(j, e) {
				r.Observe(w.now.Add(-w.tick/5), e.report)
			}
		}
	}
}

// blinded reports whether a router's probe is lost.
func (w *world) blinded(router int, e *engine) bool {
	return (w.blind != nil && w.blind(router, e)) || (w.chaos && w.rng.IntN(2) == 0)
}

// groups are those that routers may know: all that any node has announced.
func (w *world) groups() []Group {
	for _, n := range w.nodes {
		for _, g := range n.d.Groups() {
			w.known[strayKey{g.ID, g.Generation}] = g
		}
	}
	all := make([]Group, 0, len(w.known))
	for _, g := range w.known {
		all = append(all, g)
	}
	slices.SortFunc(all, func(a, b Group) int { return int(int64(a.Generation) - int64(b.Generation)) })
	return all
}

// check tests the invariants.
func (w *world) check() {
	holder := map[string]strayKey{}
	for _, g := range w.groups() {
		key := strayKey{g.ID, g.Generation}
		for _, r := range w.routers {
			if r.IsWhole(&g, w.now) {
				w.checkWhole(&g, key)
				w.checkDisjoint(holder, &g, key)
			}
		}
		w.noteWhole(&g, key)
	}
}

// checkWhole faults a group that routers hold for whole though a member was
// not ready in its place within the TTL.
func (w *world) checkWhole(g *Group, key strayKey) {
	for rank, name := range g.Members {
		at, ok := w.byName[name].readyAt[place{key, rank}]
		if !ok || w.now.Sub(at) > w.opts.ReportTTL {
			w.fault("%v is whole without %s", key, name)
		}
	}
}

// checkDisjoint faults a VM in two groups that are whole to any routers.
func (w *world) checkDisjoint(holder map[string]strayKey, g *Group, key strayKey) {
	for _, name := range g.Members {
		if other, ok := holder[name]; ok && other != key {
			w.fault("%s is in %v and %v", name, other, key)
		}
		holder[name] = key
	}
}

// noteWhole keeps since when a group has been whole without interruption.
func (w *world) noteWhole(g *Group, key strayKey) {
	for rank, name := range g.Members {
		e := w.byName[name]
		if !e.up() || e.report.State != member.Ready || e.key() != key || e.report.Rank != rank {
			delete(w.whole, key)
			return
		}
	}
	if _, ok := w.whole[key]; !ok {
		w.whole[key] = w.now
	}
}

// noteEnded notes the generations of a group that were not whole when the
// manager ended them.
func (w *world) noteEnded(id string) {
	for key, g := range w.known {
		if key.group != id {
			continue
		}
		w.noteWhole(&g, key)
		if _, whole := w.whole[key]; !whole {
			w.drained[key] = true
		}
	}
}

// checkTouched faults an order to a member of a group that has long been
// whole and does not drain.
func (w *world) checkTouched(n *node, o member.Order) {
	key := w.byName[o.VM].key()
	if g, ok := w.known[key]; ok {
		w.noteWhole(&g, key)
	}
	since, ok := w.whole[key]
	settled := w.opts.ReportTTL + 2*w.tick
	if ok && w.now.Sub(since) > settled && !w.drained[key] {
		w.fault("term %d sends %s to %s of the healthy %v", n.term, o.Action, o.VM, key)
	}
}

// serving counts the groups that get work.
func (w *world) serving() int {
	n := 0
	for _, node := range w.nodes {
		if !node.leased {
			continue
		}
		for _, g := range node.d.Groups() {
			if !g.Draining && w.routers[0].IsWhole(&g, w.now) {
				n++
			}
		}
	}
	return n
}

func (w *world) manager() *Manager {
	for _, n := range w.nodes {
		if n.leased {
			return n.d.(*Manager)
		}
	}
	return nil
}
