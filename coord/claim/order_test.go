package claim

import (
	"fmt"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// order is one caller's order: it is sent, and repeated with the same key
// until an answer settles it or the caller's patience ends.
type order struct {
	c        *cluster
	id       int
	tickets  bool
	vouch    bool   // says on its first send that it is the first
	switches bool   // takes a ticket once told that the table is down
	request  string // fingerprint; the order's own if empty
	until    time.Time
	key      string
	sends    int
	keySent  int  // sends with the present key
	clean    bool // each of them was told "not run"
	state    orderState
	waiting  bool
	ledger   *ledger
	toldNo   bool
	keys     []Key
	record   func(*order, answerKind, time.Time, string)
}

type orderState string

const (
	open    orderState = "open"
	served  orderState = "served"
	refused orderState = "refused" // last told "not run"
	unsure  orderState = "unsure"  // last told "unknown" or nothing
)

type answerKind int

const (
	answeredDone answerKind = iota
	answeredNo
	answeredUnknown
	answeredNothing
)

// omitted stands for the value of a run whose body was not given.
const omitted = "*"

const (
	orderTimeout = time.Second
	repeatAfter  = time.Second
)

// entryVM returns a random VM that the balancer sends to.
func (c *cluster) entryVM() *vm {
	var live []*vm
	for _, v := range c.vms {
		if v.alive && !v.leaving {
			live = append(live, v)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[c.rng.IntN(len(live))]
}

func (o *order) begin(patience time.Duration) {
	o.state = open
	o.until = o.c.now.Add(patience)
	o.send()
}

// newKey takes a key: a ticket of the VM that the balancer picks, or a
// random one.
func (o *order) newKey(v *vm) {
	o.key = fmt.Sprintf("order-%d-%d", o.id, o.sends)
	if o.tickets {
		o.key = v.state.IssueTicket(o.c.now).String()
	}
	o.keySent = 0
	o.clean = true
	key := NewKey("archive", o.key)
	o.keys = append(o.keys, key)
	if o.ledger != nil {
		o.ledger.owner[key] = o
	}
}

func (o *order) call() Call {
	call := Call{Key: NewKey("archive", o.key), Fingerprint: o.request, First: o.vouch && o.clean}
	if o.request == "" {
		call.Fingerprint = fmt.Sprint(o.id)
	}
	if t, ok := ParseTicket(o.key); ok {
		call.Ticket = &t
	}
	return call
}

func (o *order) send() {
	v := o.c.entryVM()
	if v == nil {
		o.later(unsure)
		return
	}
	if o.key == "" {
		o.newKey(v)
	}
	call := o.call()
	o.sends++
	o.keySent++
	o.toldNo = false
	o.waiting = true
	sent, started, inc := o.sends, o.c.now, v.incarnation
	id := o.c.send(v, call, func(a Answer) {
		if sent == o.sends && o.waiting {
			o.waiting = false
			o.answered(a, started)
		}
	})
	o.c.after(orderTimeout, func() {
		if sent == o.sends && o.waiting {
			o.waiting = false // a late answer to this send is not heard any more
			o.c.step(v, inc, Cancelled{Call: id})
			o.note(answeredNothing, started, "")
			o.later(unsure)
		}
	})
}

func (o *order) note(kind answerKind, started time.Time, value string) {
	if kind != answeredNo {
		o.clean = false
	}
	if o.record != nil {
		o.record(o, kind, started, value)
	}
}

func (o *order) answered(a Answer, started time.Time) {
	switch {
	case a.Err == nil:
		o.state = served
		value := string(a.Outcome.Body)
		if a.Outcome.BodyOmitted {
			value = omitted
		}
		o.note(answeredDone, started, value)
	case a.Err.Ran == problem.RanNo:
		o.toldNo = true
		o.note(answeredNo, started, "")
		o.next(a.Err, refused)
	default:
		o.note(answeredUnknown, started, "")
		o.next(a.Err, unsure)
	}
}

// next repeats the order. A caller that has sent a key only once, and is told
// that this call was not dispatched, may take a new key.
func (o *order) next(err *problem.Error, last orderState) {
	if o.keySent == 1 {
		switch {
		case o.tickets && err.Message == ticketLost().Message:
			o.key = ""
		case o.switches && !o.tickets && err.Kind == problem.PlatformDown:
			o.key, o.tickets = "", true
		}
	}
	o.later(last)
}

func (o *order) later(last orderState) {
	wait := repeatAfter/2 + o.c.upTo(repeatAfter)
	if !o.c.now.Add(wait).Before(o.until) {
		o.state = last
		return
	}
	sends := o.sends
	o.c.after(wait, func() {
		if sends == o.sends && o.state == open {
			o.send()
		}
	})
}

// runCount returns how often the order ran under any of its keys.
func (o *order) runCount() int {
	n := 0
	for _, k := range o.keys {
		n += o.c.runs[k]
	}
	return n
}

// ledger counts broken promises over a set of orders.
type ledger struct {
	orders  []*order
	owner   map[Key]*order
	cluster *cluster
	lies    int // told "not run" and ran
}

// watch checks each run and each answer of the orders. A run breaks a promise
// if every call with the key was told "not run". A call that had no answer may
// still run after a later one was refused; its caller knows that it is open.
func (l *ledger) watch(c *cluster) {
	l.cluster = c
	l.owner = map[Key]*order{}
	c.onRun = func(k Key) {
		if o := l.owner[k]; o.toldNo && o.clean {
			l.lies++
		}
	}
}

// add starts an order and checks its answers.
func (l *ledger) add(c *cluster, o *order, patience time.Duration) {
	o.c, o.id, o.ledger = c, len(l.orders), l
	recorded := o.record
	o.record = func(o *order, kind answerKind, started time.Time, value string) {
		if kind == answeredNo && o.runCount() > 0 {
			l.lies++
		}
		if recorded != nil {
			recorded(o, kind, started, value)
		}
	}
	l.orders = append(l.orders, o)
	o.begin(patience)
}

type totals struct{ served, refused, unsure, doubled, lost, lies int }

// count sums up the orders: lost are those served without a run.
func (l *ledger) count() totals {
	t := totals{lies: l.lies + l.cluster.lies}
	for _, o := range l.orders {
		runs := o.runCount()
		if runs > 1 {
			t.doubled++
		}
		switch o.state {
		case served:
			t.served++
			if runs == 0 {
				t.lost++
			}
		case refused:
			t.refused++
		default:
			t.unsure++
		}
	}
	return t
}
