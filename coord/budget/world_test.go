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
	// staleAfter is the age from which all messages except grants are dropped,
	// as the embedding program does. Grants may be delivered at any age.
	staleAfter = maxMessageAge
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

// process is the current process of one entry VM.
type process struct {
	name    string
	restart int
	alive   bool
	shares  *Shares
	tickets []Ticket // not yet released
}

func (p *process) incarnation() string { return fmt.Sprintf("%s.%d", p.name, p.restart) }

// world simulates one endpoint with its nodes, ledger and messages in transit.
// The endpoint refuses requests addressed to another incarnation.
type world struct {
	now       time.Time
	draw      func(n int) int
	nodes     []*process
	term      uint64
	ledger    *Ledger
	disabled  mechanisms
	warmup    Warmup // the endpoint's actual warm-up
	opts      LedgerOptions
	cold      int
	guest     bool
	inTransit []message
	restarts  int
	completed uint64
	running   []int // per request at the endpoint, the index of its node
}

// setup contains the options of a walk.
type setup struct {
	disabled mechanisms
	noWarmup bool
	// demand divides a constant limit by demand, as for a client account.
	demand bool
	// guest puts the last node into another data centre.
	guest bool
}

func newWorld(draw func(int) int, s setup) *world {
	w := &world{
		now: time.Unix(1000, 0), draw: draw, disabled: s.disabled,
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

func (w *world) limit() int { return w.warmup.Limit(w.cold, worldWarm, w.completed) }

func (w *world) start(p *process) {
	p.restart++
	p.alive = true
	p.tickets = nil
	p.shares = NewShares(p.name, p.incarnation())
}

func (w *world) randomNode() *process { return w.nodes[w.draw(len(w.nodes))] }

func (w *world) changeCoordinator() {
	w.term++
	w.opts.Term = w.term
	w.ledger = NewLedger(w.opts)
	w.ledger.disabled = w.disabled
	w.sendMembership()
	w.send(w.ledger.SetEndpoint(w.now, Endpoint{
		Name: "e", Incarnation: w.incarnation(), ColdInFlight: w.cold, MaxInFlight: worldWarm,
	}))
}

func (w *world) sendMembership() {
	var nodes []Node
	for _, p := range w.nodes {
		nodes = append(nodes, Node{Name: p.name, Live: p.alive, Guest: w.guest && p.name == "c"})
	}
	w.send(w.ledger.SetNodes(w.now, nodes))
}

func (w *world) send(e Effects) {
	for i := range e.Grants {
		w.inTransit = append(w.inTransit, message{sent: w.now, grant: &e.Grants[i]})
	}
	for i := range e.Announcements {
		w.inTransit = append(w.inTransit, message{sent: w.now, announce: &e.Announcements[i]})
	}
}

func (w *world) report(p *process, full bool) {
	if p.alive {
		u := p.shares.Report("dc", full)
		w.inTransit = append(w.inTransit, message{sent: w.now, usage: &u})
	}
}

func (w *world) findProcess(name string) *process {
	i := slices.IndexFunc(w.nodes, func(p *process) bool { return p.name == name })
	return w.nodes[i]
}

func (w *world) deliver(m message) {
	late := w.now.Sub(m.sent) >= staleAfter
	switch {
	case m.grant != nil:
		if p := w.findProcess(m.grant.Node); p.alive {
			p.shares.ApplyGrant(w.now, *m.grant)
		}
	case late:
	case m.announce != nil:
		if p := w.findProcess(m.announce.Node); p.alive && p.shares.ApplyAnnouncement(*m.announce) {
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

// deliverOne delivers a random message, and may keep a duplicate in transit.
func (w *world) deliverOne(keep bool) {
	if len(w.inTransit) == 0 {
		return
	}
	i := w.draw(len(w.inTransit))
	m := w.inTransit[i]
	if !keep {
		w.inTransit = slices.Delete(w.inTransit, i, i+1)
	}
	w.deliver(m)
}

func (w *world) dropOne() {
	if len(w.inTransit) > 0 {
		i := w.draw(len(w.inTransit))
		w.inTransit = slices.Delete(w.inTransit, i, i+1)
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
	completed := t.Incarnation == w.incarnation()
	p.shares.Release(t, completed)
	if completed {
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
	w.inTransit = append(w.inTransit, message{
		sent: w.now, observed: &observation{node, w.incarnation(), w.completed},
	})
}

// step performs one random action.
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
		w.finish(w.randomNode())
	case k < 900:
		w.report(w.randomNode(), w.draw(3) == 0)
	case k < 930:
		w.send(w.ledger.Tick(w.now))
	case k < 960:
		w.observe(w.draw(len(w.nodes)+1) - 1)
	case k < 965:
		if p := w.randomNode(); p.alive {
			p.shares.SetWaitingAtSource("dc", "e", w.draw(6))
		}
	case k < 975:
		w.now = w.now.Add(time.Duration(w.draw(4000)) * time.Millisecond)
	default:
		w.injectFault()
	}
}

// injectFault injects one random fault that the protocol has to tolerate.
func (w *world) injectFault() {
	switch w.draw(8) {
	case 0:
		w.restartEndpoint()
	case 1:
		w.changeCoordinator()
	case 2, 3:
		w.restartNode(w.randomNode())
	case 4:
		w.removeNode(w.randomNode())
	case 5, 6:
		w.sendMembership()
	default:
		if p := w.randomNode(); p.alive {
			p.shares.SuspectRestart("e")
		}
	}
}

func (w *world) restartNode(p *process) {
	w.kill(p)
	w.start(p)
}

// removeNode kills a node and reports it to the ledger as gone.
func (w *world) removeNode(p *process) {
	w.kill(p)
	w.sendMembership()
	w.send(w.ledger.NodeGone(w.now, p.name))
}

// check returns an error if the nodes together may send the endpoint more
// requests than its limit, now or once they learn of its current incarnation.
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
	case held > w.limit():
		return fmt.Errorf("nodes hold %d, the endpoint's limit is %d", held, w.limit())
	case cold > w.cold:
		return fmt.Errorf("cold parts add up to %d, the cold limit is %d", cold, w.cold)
	case len(w.running) > w.limit():
		return fmt.Errorf("%d requests are running, the endpoint's limit is %d", len(w.running), w.limit())
	}
	return nil
}

// heal restarts dead nodes, finishes all requests, discards the messages in
// transit, and then exchanges new ones for longer than late messages count.
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
	w.inTransit = nil
	w.sendMembership()
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
