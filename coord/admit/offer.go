package admit

import (
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/budget"
	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// Offer decides whether a new request is admitted, queued or refused. An
// admitted request must be placed before the controller is called again, and
// ended with Release.
func (c *Controller) Offer(now time.Time, r Request) Decision {
	a, ok := c.accounts[r.Account]
	if !ok {
		return refuse(unknownAccountError(r.Account))
	}
	if r.Cost <= 0 {
		r.Cost = 1
	}
	c.sequence++
	return c.offer(now, c.target(r.Target), a, queuedRequest{Request: r, sequence: c.sequence})
}

func (c *Controller) offer(now time.Time, t *target, a *account, w queuedRequest) Decision {
	l := t.lane(a)
	if w.missesDeadline(now, t.throughput.serviceTime(w.Cost)) {
		return refuse(c.tooLateError(now, t))
	}
	if c.canStart(t, l, &w) {
		c.start(now, t, l, w)
		return Decision{Verdict: Admit}
	}
	if p := c.checkQueue(now, t, l, &w); p != nil {
		return refuse(p)
	}
	c.enqueue(now, t, l, w)
	return Decision{Verdict: Queue, Displaced: c.trim(now, t)}
}

// canStart reports whether the request can start now without overtaking another
// one that could.
func (c *Controller) canStart(t *target, l *lane, w *queuedRequest) bool {
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

// checkQueue returns an error if the request must not be queued, and nil
// otherwise.
func (c *Controller) checkQueue(now time.Time, t *target, l *lane, w *queuedRequest) *problem.Error {
	if p := c.checkWaiting(now, t, l, w, l.position(w)); p != nil {
		return p
	}
	if t.queued >= c.opts.MaxQueue && (c.opts.DisableFairness || t.longest(l) == l) {
		return c.queueFullError(now, t)
	}
	return nil
}

// checkAccountLimit returns an error if no part of the account's limit will become
// free in time for the request.
func (c *Controller) checkAccountLimit(now time.Time, t *target, a *account, w *queuedRequest, ahead int) *problem.Error {
	s := c.shares.State(a.share)
	if s.Limit > s.InFlight || c.canGrow(now, a, s) {
		return nil
	}
	start := now.Add(a.estimateWait(now, ahead))
	if s.Limit == 0 && !s.Scarce {
		return noShareError(a)
	}
	if s.Limit == 0 || w.missesDeadline(start, t.throughput.serviceTime(w.Cost)) {
		return c.accountLimitError(now, a)
	}
	return nil
}

// canGrow reports whether this node's share of the account's limit may still grow
// for the waiting requests.
func (c *Controller) canGrow(now time.Time, a *account, s budget.State) bool {
	if s.Scarce || s.Limit >= a.MaxInFlight {
		return false
	}
	return a.waiting == 0 || now.Sub(a.waitingSince) <= c.opts.ShareWait
}

// estimateWait estimates how long it takes until enough of the account's running
// requests have ended to start one that has the given number of others ahead of
// it.
func (a *account) estimateWait(now time.Time, ahead int) time.Duration {
	return time.Duration(ahead+1) * a.throughput.interval(now)
}

// estimateWait estimates how long the request at the given position of its lane
// waits for a slot at an endpoint if every account gets its weighted share.
func (c *Controller) estimateWait(now time.Time, t *target, l *lane, position int) time.Duration {
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
	return time.Duration(ahead) * t.throughput.interval(now)
}

// enqueue adds the request to the lane and requests a larger share of the account's
// limit.
func (c *Controller) enqueue(now time.Time, t *target, l *lane, w queuedRequest) {
	if len(l.items) == 0 {
		l.virtualTime = max(l.virtualTime, t.virtualTime)
		t.lanes = append(t.lanes, l)
	}
	l.insert(w)
	t.queued++
	a := l.account
	if a.waiting == 0 {
		a.waitingSince = now
	}
	a.waiting++
	c.shares.SetWaitingAtSource(c.opts.Source, a.share, a.waiting)
}

// recordDequeue updates the counts after a request has been removed from a lane.
func (c *Controller) recordDequeue(t *target, l *lane) {
	t.queued--
	if len(l.items) == 0 {
		t.lanes = slices.DeleteFunc(t.lanes, func(o *lane) bool { return o == l })
	}
	l.account.waiting--
	c.shares.SetWaitingAtSource(c.opts.Source, l.account.share, l.account.waiting)
}

// start acquires a unit of the account's limit, charges the request's cost to the
// lane and records it as running.
func (c *Controller) start(now time.Time, t *target, l *lane, w queuedRequest) {
	a := l.account
	ticket, _ := c.shares.Acquire(a.share)
	if len(l.items) == 0 {
		l.virtualTime = max(l.virtualTime, t.virtualTime)
	}
	t.virtualTime = max(t.virtualTime, l.virtualTime)
	l.virtualTime += w.Cost / float64(a.Weight)
	t.throughput.recordStart(now)
	a.throughput.recordStart(now)
	c.running[w.ID] = &runningRequest{request: w, account: a, target: t, ticket: ticket, started: now}
}
