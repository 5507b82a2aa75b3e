package claim

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/coord/table"
)

var epoch = time.Unix(1000, 0)

// sim runs functions in order of time on a fake clock.
type sim struct {
	now   time.Time
	rng   *rand.Rand
	queue timeline
	seq   int
}

type planned struct {
	at  time.Time
	seq int
	f   func()
}

type timeline []planned

func (q timeline) Len() int      { return len(q) }
func (q timeline) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timeline) Push(x any)   { *q = append(*q, x.(planned)) }
func (q timeline) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q *timeline) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSim(seed uint64) *sim {
	return &sim{now: epoch, rng: rand.New(rand.NewPCG(seed, 1))}
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, planned{s.now.Add(d), s.seq, f})
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		p := heap.Pop(&s.queue).(planned)
		s.now = p.at
		p.f()
	}
	s.now = end
}

func (s *sim) chance(p float64) bool { return s.rng.Float64() < p }

func (s *sim) upTo(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d))) + time.Millisecond
}

// fakeTable applies transactions whole or not at all.
type fakeTable struct {
	rows     map[string]table.Row
	revision uint64
	commits  int
	reads    int
}

func (f *fakeTable) get(keys []string) []table.Row {
	f.reads++
	rows := make([]table.Row, len(keys))
	for i, key := range keys {
		rows[i] = f.rows[key]
		rows[i].Key = key
	}
	return rows
}

func (f *fakeTable) list(prefix, after string, limit int) []table.Row {
	var rows []table.Row
	for _, key := range slices.Sorted(maps.Keys(f.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, f.rows[key])
		}
	}
	return rows
}

func (f *fakeTable) commit(txn table.Txn) (table.Outcome, uint64) {
	f.commits++
	for _, c := range txn.Conditions {
		if f.rows[c.Key].Revision != c.Revision {
			return table.Conflict, 0
		}
	}
	f.revision++
	for _, w := range txn.Writes {
		f.rows[w.Key] = table.Row{Key: w.Key, Value: w.Value, Revision: f.revision}
		if w.Delete {
			delete(f.rows, w.Key)
		}
	}
	return table.Applied, f.revision
}

// faults are the chances of each fault.
type faults struct {
	lostCommit, lateCommit, readFailed float64
	notSent, lostAnswer, lateRun       float64
	lostReply, lostForward             float64
}

// cluster joins several States, a table and a service that counts its runs.
type cluster struct {
	*sim
	opts   Options
	faults faults
	table  *fakeTable
	up     bool // the table
	vms    []*vm
	runs   map[Key]int
	total  int
	onRun  func(Key)
	// cutSite is a site that reaches neither the others nor the table, or -1.
	cutSite int
	tick    time.Duration
	// tamper alters an event on its way into a State: a mechanism off.
	tamper func(*vm, Event) Event
	// tamperTxn alters a transaction on its way to the table.
	tamperTxn func(table.Txn) table.Txn
	calls     uint64
	ran       map[uint64]bool // calls whose dispatch ran
	toldNo    map[uint64]bool // calls that were told "not run"
	lies      int             // calls in both
}

// vm is an entry VM with its present State.
type vm struct {
	name        string
	site        int
	incarnation int
	alive       bool
	leaving     bool // takes no new calls from the balancer
	pausedUntil time.Time
	backlog     []func() // events that came during a pause, in order
	state       *State
	callers     map[uint64]func(Answer)
	asks        map[uint64]func(Reply)
}

func newCluster(seed uint64, opts Options, sites, perSite int) *cluster {
	c := &cluster{
		sim: newSim(seed), opts: opts, up: true,
		table: &fakeTable{rows: map[string]table.Row{}}, runs: map[Key]int{},
		ran: map[uint64]bool{}, toldNo: map[uint64]bool{},
		onRun: func(Key) {}, cutSite: -1, tick: tickInterval,
		tamper:    func(_ *vm, ev Event) Event { return ev },
		tamperTxn: func(txn table.Txn) table.Txn { return txn },
	}
	for site := range sites {
		for i := range perSite {
			v := &vm{name: fmt.Sprintf("d%d-e%d", site, i), site: site}
			c.vms = append(c.vms, v)
			c.boot(v)
		}
	}
	return c
}

// Intervals of a node's ticks.
const (
	tickInterval     = 100 * time.Millisecond
	longTickInterval = 500 * time.Millisecond // in long courses
)

// boot starts a new incarnation without memory.
func (c *cluster) boot(v *vm) {
	v.incarnation++
	v.alive, v.leaving = true, false
	opts := c.opts
	opts.Self = Node{VM: v.name, Incarnation: fmt.Sprint(v.incarnation)}
	v.state = New(opts)
	v.callers, v.asks = map[uint64]func(Answer){}, map[uint64]func(Reply){}
	v.pausedUntil, v.backlog = time.Time{}, nil
	c.ticks(v, v.incarnation)
}

func (c *cluster) ticks(v *vm, incarnation int) {
	if !v.alive || v.incarnation != incarnation {
		return
	}
	c.step(v, incarnation, Tick{})
	c.after(c.tick, func() { c.ticks(v, incarnation) })
}

func (c *cluster) kill(v *vm) { v.alive = false }

// step delivers an event to one incarnation of a VM, later if it is paused.
func (c *cluster) step(v *vm, incarnation int, ev Event) {
	if !v.alive || v.incarnation != incarnation {
		return
	}
	if v.pausedUntil.After(c.now) || len(v.backlog) > 0 {
		if len(v.backlog) == 0 {
			c.resume(v)
		}
		v.backlog = append(v.backlog, func() { c.step(v, incarnation, ev) })
		return
	}
	for _, e := range v.state.Step(c.now, c.tamper(v, ev)) {
		c.carry(v, incarnation, e)
	}
}

// resume delivers the backlog at the end of the pause.
func (c *cluster) resume(v *vm) {
	c.after(v.pausedUntil.Sub(c.now), func() {
		if v.pausedUntil.After(c.now) {
			c.resume(v)
			return
		}
		backlog := v.backlog
		v.backlog = nil
		for _, f := range backlog {
			f()
		}
	})
}

func (c *cluster) carry(v *vm, inc int, e Effect) {
	switch e := e.(type) {
	case Commit:
		c.commit(v, inc, e)
	case Read:
		c.read(v, inc, e)
	case Dispatch:
		c.dispatch(v, inc, e)
	case Forward:
		c.forward(v, inc, e)
	case AskPeer:
		c.ask(v, inc, e)
	case ReplyPeer:
		if reply := v.asks[e.RequestID]; reply != nil {
			delete(v.asks, e.RequestID)
			c.after(c.upTo(2*time.Millisecond), func() { reply(e.Reply) })
		}
	case Answer:
		c.toldNo[e.Call] = e.Err != nil && e.Err.Ran == problem.RanNo
		c.checkCall(e.Call)
		if answer := v.callers[e.Call]; answer != nil {
			delete(v.callers, e.Call)
			c.after(c.upTo(2*time.Millisecond), func() { answer(e) })
		}
	}
}

const (
	tableLatency = 6 * time.Millisecond
	callTimeout  = 400 * time.Millisecond
	lateLimit    = 2 * time.Second
)

func (c *cluster) commit(v *vm, inc int, e Commit) {
	txn := c.tamperTxn(e.Txn)
	lost := c.chance(c.faults.lostCommit)
	late := c.chance(c.faults.lateCommit)
	c.after(c.upTo(tableLatency), func() {
		if !c.tableFor(v) {
			c.step(v, inc, Committed{Batch: e.Batch, Outcome: table.NotWritten})
			return
		}
		if late {
			c.after(c.upTo(lateLimit), func() { c.table.commit(txn) })
		}
		if late || lost && c.chance(0.5) {
			c.after(callTimeout, func() { c.step(v, inc, Committed{Batch: e.Batch, Outcome: table.Unknown}) })
			return
		}
		outcome, revision := c.table.commit(txn)
		if lost {
			outcome, revision = table.Unknown, 0
		}
		c.after(c.upTo(tableLatency), func() {
			c.step(v, inc, Committed{Batch: e.Batch, Outcome: outcome, Revision: revision})
		})
	})
}

func (c *cluster) tableFor(v *vm) bool { return c.up && v.site != c.cutSite }

func (c *cluster) cut(a, b *vm) bool { return (a.site == c.cutSite) != (b.site == c.cutSite) }

func (c *cluster) read(v *vm, inc int, e Read) {
	c.after(c.upTo(tableLatency), func() {
		if !c.tableFor(v) || c.chance(c.faults.readFailed) {
			c.step(v, inc, ReadFailed{Read: e.Read})
			return
		}
		c.step(v, inc, RowsRead{Read: e.Read, Rows: c.table.get(e.Keys)})
	})
}

// dispatch sends a call to the service. A killed sender does not stop it.
func (c *cluster) dispatch(v *vm, inc int, e Dispatch) {
	if c.chance(c.faults.notSent) {
		c.after(c.upTo(2*time.Millisecond), func() { c.step(v, inc, NotSent{Key: e.Key, Attempt: e.Attempt}) })
		return
	}
	delay := c.upTo(5 * time.Millisecond)
	if c.chance(c.faults.lateRun) {
		delay = c.upTo(lateLimit)
	}
	lost := c.chance(c.faults.lostAnswer)
	c.after(delay, func() {
		c.runs[e.Key]++
		c.ran[e.Call] = true
		c.checkCall(e.Call)
		c.total++
		body := []byte(fmt.Sprint(c.total))
		c.onRun(e.Key)
		c.after(c.upTo(20*time.Millisecond), func() {
			if lost {
				c.step(v, inc, Failed{Key: e.Key, Attempt: e.Attempt})
				return
			}
			c.step(v, inc, Answered{Key: e.Key, Attempt: e.Attempt, Outcome: Outcome{StatusCode: 201, Body: body}})
		})
	})
}

// checkCall counts a call that was told "not run" and ran, in either order.
func (c *cluster) checkCall(call uint64) {
	if c.ran[call] && c.toldNo[call] {
		c.lies++
	}
}

func (c *cluster) find(name string) *vm {
	for _, v := range c.vms {
		if v.name == name {
			return v
		}
	}
	return nil
}

func (v *vm) runsIncarnation(n Node) bool {
	return v.alive && n.Incarnation == fmt.Sprint(v.incarnation)
}

// goneFor reports whether the platform's list or a newer incarnation shows
// that a node has ended. A dead VM stays in the list until it is replaced.
func (v *vm) goneFor(n Node) bool {
	return v.alive && n.Incarnation != fmt.Sprint(v.incarnation)
}

func (c *cluster) forward(v *vm, inc int, e Forward) {
	to := c.find(e.To.VM)
	fail := func(reason ForwardReason) {
		c.after(c.upTo(2*time.Millisecond), func() { c.step(v, inc, ForwardFailed{Call: e.Call, Reason: reason}) })
	}
	switch {
	case to.goneFor(e.To):
		fail(IssuerGone)
		return
	case !to.alive || c.cut(v, to):
		fail(IssuerUnreachable)
		return
	}
	answered := false
	toInc := to.incarnation
	id := c.send(to, e.Call, func(a Answer) {
		if answered || c.chance(c.faults.lostForward) {
			return
		}
		answered = true
		if origin := v.callers[e.Call.ID]; origin != nil && v.alive && v.incarnation == inc {
			delete(v.callers, e.Call.ID)
			origin(a)
		}
	})
	c.after(4*callTimeout, func() {
		if !answered {
			answered = true
			c.step(to, toInc, Cancelled{Call: id})
			c.step(v, inc, ForwardFailed{Call: e.Call, Reason: IssuerSilent})
		}
	})
}

// send brings a call to a VM and returns its handle there.
func (c *cluster) send(to *vm, call Call, answer func(Answer)) uint64 {
	c.calls++
	call.ID = c.calls
	inc := to.incarnation
	to.callers[call.ID] = answer
	c.after(c.upTo(2*time.Millisecond), func() { c.step(to, inc, Arrived{call}) })
	return call.ID
}

func (c *cluster) ask(v *vm, inc int, e AskPeer) {
	to := c.find(e.To.VM)
	replied := false
	reply := func(r Reply) {
		if !replied {
			replied = true
			c.step(v, inc, PeerReplied{Key: e.Key, From: e.To, Reply: r})
		}
	}
	if to.goneFor(e.To) {
		c.after(time.Millisecond, func() { reply(Reply{Kind: ReplyGone}) })
		return
	}
	c.after(4*callTimeout, func() { reply(Reply{Kind: ReplyUnreachable}) })
	if !to.runsIncarnation(e.To) || c.cut(v, to) || c.chance(c.faults.lostReply) {
		return
	}
	c.calls++
	id, toInc := c.calls, to.incarnation
	to.asks[id] = reply
	c.after(c.upTo(2*time.Millisecond), func() {
		c.step(to, toInc, PeerAsked{RequestID: id, Key: e.Key, Incarnation: e.To.Incarnation})
	})
}
