package claim

import (
	"fmt"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// order is a call that its caller repeats with the same key until it is served or
// its deadline has passed.
type order struct {
	c                *cluster
	id               int
	tickets          bool
	marksFirst       bool   // sets Call.First while nothing can have run
	switchesToTicket bool   // uses a ticket after an answer that the table is down
	request          string // fingerprint; if empty, the order's ID is used
	deadline         time.Time
	key              string
	sends            int
	sendsWithKey     int  // number of sends with the current key
	allNotRun        bool // each send with the current key was answered "not run"
	state            orderState
	waiting          bool
	audit            *audit
	lastNotRun       bool // the last send was answered "not run"
	keys             []Key
	record           func(*order, answerKind, time.Time, string)
}

type orderState string

const (
	open       orderState = "open"
	served     orderState = "served"
	refused    orderState = "refused" // last answer was "not run"
	unresolved orderState = "unsure"  // last answer was "unknown", or there was none
)

type answerKind int

const (
	answeredOutcome answerKind = iota
	answeredNotRun
	answeredUnknown
	unanswered
)

// omittedBody is the value of a run whose response body was omitted.
const omittedBody = "*"

const (
	orderTimeout  = time.Second
	retryInterval = time.Second
)

// randomEntryVM returns a random VM to which the load balancer sends calls, or nil
// if there is none.
func (c *cluster) randomEntryVM() *vm {
	var live []*vm
	for _, v := range c.vms {
		if v.alive && !v.draining {
			live = append(live, v)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[c.rng.IntN(len(live))]
}

func (o *order) start(timeout time.Duration) {
	o.state = open
	o.deadline = o.c.now.Add(timeout)
	o.send()
}

// newKey gives the order a new key: a ticket of the given VM, or a plain key.
func (o *order) newKey(v *vm) {
	o.key = fmt.Sprintf("order-%d-%d", o.id, o.sends)
	if o.tickets {
		o.key = v.state.IssueTicket(o.c.now).String()
	}
	o.sendsWithKey = 0
	o.allNotRun = true
	key := NewKey("archive", o.key)
	o.keys = append(o.keys, key)
	if o.audit != nil {
		o.audit.orderByKey[key] = o
	}
}

func (o *order) call() Call {
	call := Call{Key: NewKey("archive", o.key), Fingerprint: o.request, First: o.marksFirst && o.allNotRun}
	if o.request == "" {
		call.Fingerprint = fmt.Sprint(o.id)
	}
	if t, ok := ParseTicket(o.key); ok {
		call.Ticket = &t
	}
	return call
}

func (o *order) send() {
	v := o.c.randomEntryVM()
	if v == nil {
		o.retryLater(unresolved)
		return
	}
	if o.key == "" {
		o.newKey(v)
	}
	call := o.call()
	o.sends++
	o.sendsWithKey++
	o.lastNotRun = false
	o.waiting = true
	sent, started, inc := o.sends, o.c.now, v.incarnation
	id := o.c.send(v, call, func(a Answer) {
		if sent == o.sends && o.waiting {
			o.waiting = false
			o.handleAnswer(a, started)
		}
	})
	o.c.after(orderTimeout, func() {
		if sent == o.sends && o.waiting {
			o.waiting = false // ignore a late answer to this send
			o.c.step(v, inc, Cancelled{Call: id})
			o.recordAnswer(unanswered, started, "")
			o.retryLater(unresolved)
		}
	})
}

func (o *order) recordAnswer(kind answerKind, started time.Time, value string) {
	if kind != answeredNotRun {
		o.allNotRun = false
	}
	if o.record != nil {
		o.record(o, kind, started, value)
	}
}

func (o *order) handleAnswer(a Answer, started time.Time) {
	switch {
	case a.Err == nil:
		o.state = served
		value := string(a.Outcome.Body)
		if a.Outcome.BodyOmitted {
			value = omittedBody
		}
		o.recordAnswer(answeredOutcome, started, value)
	case a.Err.Ran == problem.RanNo:
		o.lastNotRun = true
		o.recordAnswer(answeredNotRun, started, "")
		o.retryAfterError(a.Err, refused)
	default:
		o.recordAnswer(answeredUnknown, started, "")
		o.retryAfterError(a.Err, unresolved)
	}
}

// retryAfterError repeats the order. A caller that has sent its key only once may
// use a new key if the answer is that this call was not dispatched.
func (o *order) retryAfterError(err *problem.Error, last orderState) {
	if o.sendsWithKey == 1 {
		switch {
		case o.tickets && err.Message == ticketLostError().Message:
			o.key = ""
		case o.switchesToTicket && !o.tickets && err.Kind == problem.PlatformDown:
			o.key, o.tickets = "", true
		}
	}
	o.retryLater(last)
}

// retryLater sends the order again after a random delay, or ends it in state last
// if its deadline comes first.
func (o *order) retryLater(last orderState) {
	wait := retryInterval/2 + o.c.randDuration(retryInterval)
	if !o.c.now.Add(wait).Before(o.deadline) {
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

// audit counts the violated guarantees of a set of orders.
type audit struct {
	orders      []*order
	orderByKey  map[Key]*order
	cluster     *cluster
	falseNotRun int // answered "not run", although the order ran
}

// attach makes the audit check each run in the cluster. A run is a violation if
// every call with the key was answered "not run". It is none if a call had no
// answer: that call may still run after a later one was refused, and its caller
// knows that its outcome is open.
func (l *audit) attach(c *cluster) {
	l.cluster = c
	l.orderByKey = map[Key]*order{}
	c.onRun = func(k Key) {
		if o := l.orderByKey[k]; o.lastNotRun && o.allNotRun {
			l.falseNotRun++
		}
	}
}

// add starts an order and checks its answers.
func (l *audit) add(c *cluster, o *order, timeout time.Duration) {
	o.c, o.id, o.audit = c, len(l.orders), l
	record := o.record
	o.record = func(o *order, kind answerKind, started time.Time, value string) {
		if kind == answeredNotRun && o.runCount() > 0 {
			l.falseNotRun++
		}
		if record != nil {
			record(o, kind, started, value)
		}
	}
	l.orders = append(l.orders, o)
	o.start(timeout)
}

type totals struct{ served, refused, unresolved, duplicated, servedWithoutRun, falseNotRun int }

// count returns the number of orders per final state and per violation.
func (l *audit) count() totals {
	t := totals{falseNotRun: l.falseNotRun + l.cluster.falseNotRun}
	for _, o := range l.orders {
		runs := o.runCount()
		if runs > 1 {
			t.duplicated++
		}
		switch o.state {
		case served:
			t.served++
			if runs == 0 {
				t.servedWithoutRun++
			}
		case refused:
			t.refused++
		default:
			t.unresolved++
		}
	}
	return t
}
