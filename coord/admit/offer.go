package admit

import (
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/budget"
	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// Offer decides on a new request. An admitted one must be placed before the
// controller is called again, and ended by Release.
func (c *Controller) Offer(now time.Time, r Request) Decision {
	a, ok := c.accounts[r.Account]
	if !ok {
		return refuse(unknownAccount(r.Account))
	}
	if r.Cost <= 0 {
		r.Cost = 1
	}
	c.sequence++
	return c.offer(now, c.target(r.Target), a, waiting{Request: r, sequence: c.sequence})
}

func (c *Controller) offer(now time.Time, t *target, a *account, w waiting) Decision {
	l := t.lane(a)
	if w.late(now, t.pace.serviceTime(w.Cost)) {
		return refuse(c.tooLate(now, t))
	}
	if c.mayStart(t, l, &w) {
		c.start(now, t, l, w)
		return Decision{Verdict: Admit}
	}
	if p := c.cannotWait(now, t, l, &w); p != nil {
		return refuse(p)
	}
	c.enqueue(now, t, l, w)
	return Decision{Verdict: Queue, Displaced: c.trim(now, t)}
}

// mayStart reports whether the request can start without passing another one
// that could.
func (c *Controller) mayStart(t *target, l *lane, w *waiting) bool {
	if c.shares.Free(l.account.share) <= 0 || c.capacity.Free(t.name) <= 0 {
		return false
	}
	if l.position(w) > 0 {
		return false
	}
	for _, other := range t.lanes {
		if other != l && c.shares.Free(other.account.share) > 0 {
			return false
		}
	}
	return true
}

// cannotWait returns why the request must not be queued, or nil.
func (c *Controller) cannotWait(now time.Time, t *target, l *lane, w *waiting) *problem.Error {
	if p := c.expired(now, t, l, w, l.position(w)); p != nil {
		return p
	}
	if t.queued >= c.opts.MaxQueue && (c.opts.Unfair || t.longest(l) == l) {
		return c.queueFull(now, t)
	}
	return nil
}

// accountFull returns a refusal if no part of the account's limit will come
// free for the request in time.
func (c *Controller) accountFull(now time.Time, t *target, a *account, w *waiting, ahead int) *problem.Error {
	s := c.shares.State(a.share)
	if s.Limit > s.InFlight || c.growing(now, a, s) {
		return nil
	}
	start := now.Add(a.wait(now, ahead))
	if s.Limit == 0 && !s.Scarce {
		return noShare(a)
	}
	if s.Limit == 0 || w.late(start, t.pace.serviceTime(w.Cost)) {
		return c.accountLimit(now, a)
	}
	return nil
}

// growing reports whether the node's part of the account's limit may still
// grow for the requests that wait.
func (c *Controller) growing(now time.Time, a *account, s budget.State) bool {
	if s.Scarce || s.Limit >= a.MaxInFlight {
		return false
	}
	return a.waiting == 0 || now.Sub(a.wanting) <= c.opts.ShareWait
}

// wait estimates how long the account's own requests take to make room for
// one behind the given number of others.
func (a *account) wait(now time.Time, ahead int) time.Duration {
	return time.Duration(ahead+1) * a.pace.interval(now)
}

// wait estimates how long the request at the position of its lane waits for a
// place at an endpoint, when every account gets its weighted part.
func (c *Controller) wait(now time.Time, t *target, l *lane, position int) time.Duration {
	if c.capacity.Free(t.name) > t.queued {
		return 0
	}
	weights := l.account.Weight
	others := 0
	for _, other := range t.lanes {
		if other != l {
			weights += other.account.Weight
			others += len(other.items)
		}
	}
	share := float64(weights) / float64(l.account.Weight)
	ahead := min(int(float64(position+1)*share), position+1+others)
	return time.Duration(ahead) * t.pace.interval(now)
}

func (c *Controller) enqueue(now time.Time, t *target, l *lane, w waiting) {
	if len(l.items) == 0 {
		l.served = max(l.served, t.served)
		t.lanes = append(t.lanes, l)
	}
	l.insert(w)
	t.queued++
	a := l.account
	if a.waiting == 0 {
		a.wanting = now
	}
	a.waiting++
	c.shares.SetWaitingAtSource(c.opts.Source, a.share, a.waiting)
}

// dequeued keeps the counts when a request has left a lane.
func (c *Controller) dequeued(t *target, l *lane) {
	t.queued--
	if len(l.items) == 0 {
		t.lanes = slices.DeleteFunc(t.lanes, func(o *lane) bool { return o == l })
	}
	l.account.waiting--
	c.shares.SetWaitingAtSource(c.opts.Source, l.account.share, l.account.waiting)
}

// start takes what the request uses.
func (c *Controller) start(now time.Time, t *target, l *lane, w waiting) {
	a := l.account
	ticket, _ := c.shares.Acquire(a.share)
	if len(l.items) == 0 {
		l.served = max(l.served, t.served)
	}
	t.served = max(t.served, l.served)
	l.served += w.Cost / float64(a.Weight)
	t.pace.started(now)
	a.pace.started(now)
	c.running[w.ID] = &run{request: w, account: a, target: t, ticket: ticket, started: now}
}
