package budget

import (
	"fmt"
	"slices"
	"time"
)

const (
	worldCold    = 2
	worldWarm    = 9
	worldPerSlot = 2
	// staleAfter is the age at which reports are dropped, as the embedding
	// program's timeouts do. Grants may be delivered at any age.
	staleAfter = pastIgnored
)

// message is one message in transit.
type message struct {
	sent     time.Time
	grant    *Grant
	announce *Announcement
	usage    *Usage
	observed *observation
}

// observation is an endpoint's answer to a node, or to the ledger for -1.
type observation struct {
	node        int
	incarnation string
	completed   uint64
}

// process is one entry VM's current process.
type process struct {
	name    string
	restart int
	alive   bool
	shares  *Shares
	tickets []Ticket // not yet released
}

func (p *process) incarnation() string { return fmt.Sprintf("%s.%d", p.name, p.restart) }

// world is one endpoint with its nodes, ledger and messages in transit. The
// endpoint refuses a request that was sent to another incarnation.
type world struct {
	now       time.Time
	draw      func(n int) int
	nodes     []*process
	term      uint64
	ledger    *Ledger
	without   mechanisms
	warmup    Warmup // what the endpoint bears
	opts      LedgerOptions
	cold      int
	guest     bool
	transit   []message
	restarts  int
	completed uint64
	running   []int // node indexes of requests at the endpoint
}

// setup is what differs between walks.
type setup struct {
	without  mechanisms
	noWarmup bool
	// demand divides one limit that never changes by demand, as that of a
	// client account.
	demand bool
	// guest makes the last node one of another data centre.
	guest bool
}

func newWorld(draw func(int) int, s setup) *world {
	w := &world{
		now: time.Unix(1000, 0), draw: draw, without: s.without,
		warmup: Warmup{PerSlot: worldPerSlot, Off: s.demand}, cold: worldCold,
	}
	w.opts = LedgerOptions{Source: "dc", Warmup: w.warmup}
	if s.demand {
		w.opts.Division = ByDemand
		w.cold = worldWarm
	}
	w.guest = s.guest
	w.opts.Warmup.Off = s.noWarmup
	for _, name := range []string{"a", "b", "c"} {
		p := &process{name: name}
		w.start(p)
		w.nodes = append(w.nodes, p)
	}
	w.changeCoordinator()
	return w
}

func (w *world) incarnation() string { return fmt.Sprintf("e.%d", w.restarts) }

func (w *world) bears() int { return w.warmup.Limit(w.cold, worldWarm, w.completed) }

func (w *world) start(p *process) {
	p.restart++
	p.alive = true
	p.tickets = nil
	p.shares = NewShares(p.name, p.incarnation())
}

func (w *world) node() *process { return w.nodes[w.draw(len(w.nodes))] }

func (w *world) changeCoordinator() {
	w.term++
	w.opts.Term = w.term
	w.ledger = NewLedger(w.opts)
	w.ledger.without = w.without
	w.membership()
	w.send(w.ledger.SetEndpoint(w.now, Endpoint{
		Name: "e", Incarnation: w.incarnation(), ColdInFlight: w.cold, MaxInFlight: worldWarm,
	}))
}

func (w *world) membership() {
	var nodes []Node
	for _, p := range w.nodes {
		nodes = append(nodes, Node{Name: p.name, Live: p.alive, Guest: w.guest && p.name == "c"})
	}
	w.send(w.ledger.SetNodes(w.now, nodes))
}

func (w *world) send(e Effects) {
	for i := range e.Grants {
		w.transit = append(w.transit, message{sent: w.now, grant: &e.Grants[i]})
	}
	for i := range e.Announcements {
		w.transit = append(w.transit, message{sent: w.now, announce: &e.Announcements[i]})
	}
}

func (w *world) report(p *process, full bool) {
	if p.alive {
		u := p.shares.Report("dc", full)
		w.transit = append(w.transit, message{sent: w.now, usage: &u})
	}
}

func (w *world) find(name string) *process {
	i := slices.IndexFunc(w.nodes, func(p *process) bool { return p.name == name })
	return w.nodes[i]
}

func (w *world) deliver(m message) {
	late := w.now.Sub(m.sent) >= staleAfter
	switch {
	case m.grant != nil:
		if p := w.find(m.grant.Node); p.alive {
			p.shares.ApplyGrant(w.now, *m.grant)
		}
	case late:
	case m.announce != nil:
		if p := w.find(m.announce.Node); p.alive && p.shares.ApplyAnnouncement(*m.announce) {
			w.report(p, true)
		}
	case m.usage != nil:
		w.send(w.ledger.ApplyUsage(w.now, *m.usage))
	case m.observed.node >= 0:
		w.nodes[m.observed.node].shares.Observe(w.now, "e", m.observed.incarnation)
	default:
		w.send(w.ledger.Observe(w.now, "e", m.observed.incarnation, m.observed.completed))
	}
}

func (w *world) deliverOne(keep bool) {
	if len(w.transit) == 0 {
		return
	}
	i := w.draw(len(w.transit))
	m := w.transit[i]
	if !keep {
		w.transit = slices.Delete(w.transit, i, i+1)
	}
	w.deliver(m)
}

func (w *world) dropOne() {
	if len(w.transit) > 0 {
		i := w.draw(len(w.transit))
		w.transit = slices.Delete(w.transit, i, i+1)
	}
}

func (w *world) dispatch(i int) {
	p := w.nodes[i]
	if !p.alive {
		return
	}
	t, ok := p.shares.Acquire("e")
	if !ok {
		return
	}
	if t.Incarnation != w.incarnation() {
		p.shares.Observe(w.now, "e", w.incarnation())
		p.shares.Release(t, false)
		return
	}
	p.tickets = append(p.tickets, t)
	w.running = append(w.running, i)
}

func (w *world) finish(p *process) {
	if !p.alive || len(p.tickets) == 0 {
		return
	}
	i := w.draw(len(p.tickets))
	t := p.tickets[i]
	p.tickets = slices.Delete(p.tickets, i, i+1)
	whole := t.Incarnation == w.incarnation()
	p.shares.Release(t, whole)
	if whole {
		w.completed++
		at := slices.Index(w.running, slices.Index(w.nodes, p))
		w.running = slices.Delete(w.running, at, at+1)
	}
}

func (w *world) restartEndpoint() {
	if w.opts.Division == ByDemand {
		return
	}
	w.restarts++
	w.completed = 0
	w.running = nil
}

func (w *world) kill(p *process) {
	p.alive = false
	at := slices.Index(w.nodes, p)
	w.running = slices.DeleteFunc(w.running, func(n int) bool { return n == at })
}

func (w *world) observe(node int) {
	w.transit = append(w.transit, message{
		sent: w.now, observed: &observation{node, w.incarnation(), w.completed},
	})
}

// step does one random thing.
func (w *world) step() {
	switch k := w.draw(1000); {
	case k < 400:
		w.deliverOne(false)
	case k < 430:
		w.deliverOne(true)
	case k < 460:
		w.dropOne()
	case k < 640:
		w.dispatch(w.draw(len(w.nodes)))
	case k < 800:
		w.finish(w.node())
	case k < 900:
		w.report(w.node(), w.draw(3) == 0)
	case k < 930:
		w.send(w.ledger.Tick(w.now))
	case k < 960:
		w.observe(w.draw(len(w.nodes)+1) - 1)
	case k < 965:
		if p := w.node(); p.alive {
			p.shares.SetWaitingAtSource("dc", "e", w.draw(6))
		}
	case k < 975:
		w.now = w.now.Add(time.Duration(w.draw(4000)) * time.Millisecond)
	default:
		w.fault()
	}
}

// fault does one random thing that the messages have to make up for.
func (w *world) fault() {
	switch w.draw(8) {
	case 0:
		w.restartEndpoint()
	case 1:
		w.changeCoordinator()
	case 2, 3:
		w.restartNode(w.node())
	case 4:
		w.lose(w.node())
	case 5, 6:
		w.membership()
	default:
		if p := w.node(); p.alive {
			p.shares.SuspectRestart("e")
		}
	}
}

func (w *world) restartNode(p *process) {
	w.kill(p)
	w.start(p)
}

// lose kills a node and tells the ledger that it is gone.
func (w *world) lose(p *process) {
	w.kill(p)
	w.membership()
	w.send(w.ledger.NodeGone(w.now, p.name))
}

// check returns an error if nodes may together send the endpoint more than it
// bears, now or after learning of its present incarnation.
func (w *world) check() error {
	held, cold := 0, 0
	for _, p := range w.nodes {
		sh, ok := p.shares.table["e"]
		if !p.alive || !ok {
			continue
		}
		cold += sh.cold
		if sh.incarnation.current == w.incarnation() {
			held += max(sh.limit, sh.inFlight)
		} else {
			held += sh.cold
		}
	}
	switch {
	case held > w.bears():
		return fmt.Errorf("nodes hold %d, the endpoint bears %d", held, w.bears())
	case cold > w.cold:
		return fmt.Errorf("cold parts add up to %d, the cold limit is %d", cold, w.cold)
	case len(w.running) > w.bears():
		return fmt.Errorf("%d requests run, the endpoint bears %d", len(w.running), w.bears())
	}
	return nil
}

// heal restarts what is dead and delivers everything until nothing changes.
func (w *world) heal() {
	for _, p := range w.nodes {
		if !p.alive {
			w.start(p)
		}
		for len(p.tickets) > 0 {
			w.finish(p)
		}
	}
	w.now = w.now.Add(2 * staleAfter)
	w.transit = nil
	w.membership()
	for range 12 {
		w.now = w.now.Add(staleAfter / 5)
		w.observe(-1)
		for _, p := range w.nodes {
			p.shares.Observe(w.now, "e", w.incarnation())
			w.report(p, true)
		}
		w.send(w.ledger.Tick(w.now))
		for range 200 {
			w.deliverOne(false)
		}
	}
}
