package admit

import (
	"slices"
	"time"
)

// Release ends an admitted request and returns the effects on waiting ones.
// complete is whether the caller got the complete answer; only then does the
// request contribute to the mean service time.
func (c *Controller) Release(now time.Time, id ID, complete bool) []Effect {
	r, ok := c.running[id]
	if !ok {
		return nil
	}
	c.endRequest(now, r, complete)
	return c.admitAllWaiting(now, nil)
}

func (c *Controller) endRequest(now time.Time, r *runningRequest, complete bool) {
	delete(c.running, r.request.ID)
	c.shares.Release(r.ticket, complete)
	took := now.Sub(r.started)
	r.target.throughput.recordEnd(now, took, r.request.Cost, complete)
	r.account.throughput.recordEnd(now, took, r.request.Cost, complete)
}

// Requeue decides again on an admitted request that could not be placed. The
// request keeps its original position in the queue.
func (c *Controller) Requeue(now time.Time, id ID) Decision {
	r, ok := c.running[id]
	if !ok {
		return refuse(unknownRequestError())
	}
	c.endRequest(now, r, false)
	l := r.target.lane(r.account)
	l.virtualTime -= r.request.Cost / float64(r.account.Weight)
	if p := c.checkQueue(now, r.target, l, &r.request); p != nil {
		return refuse(p)
	}
	c.enqueue(now, r.target, l, r.request)
	return Decision{Verdict: Queue, Displaced: c.trim(now, r.target)}
}

// Cancel removes a waiting request whose caller has gone away.
func (c *Controller) Cancel(id ID, targetName string) {
	t, ok := c.targets[targetName]
	if !ok {
		return
	}
	for _, l := range t.lanes {
		if l.remove(id) {
			c.recordDequeue(t, l)
			return
		}
	}
}

// Tick refuses waiting requests that can no longer be answered in time and admits
// others for which there is capacity.
func (c *Controller) Tick(now time.Time) []Effect {
	var out []Effect
	for _, t := range c.targetList {
		if t.queued > 0 {
			out = c.expire(now, t, out)
		}
	}
	return c.admitAllWaiting(now, out)
}

func (c *Controller) admitAllWaiting(now time.Time, out []Effect) []Effect {
	for _, t := range c.targetList {
		if t.queued > 0 {
			out = c.admitWaiting(now, t, out)
		}
	}
	return out
}

// admitWaiting admits waiting requests of the target while there is capacity.
func (c *Controller) admitWaiting(now time.Time, t *target, out []Effect) []Effect {
	free := c.capacity.Free(t.name)
	for ; free > 0 && t.queued > 0; free-- {
		l := c.nextLane(t)
		if l == nil {
			break
		}
		w := l.removeAt(0)
		c.recordDequeue(t, l)
		c.start(now, t, l, w)
		out = append(out, Effect{ID: w.ID, Verdict: Admit})
	}
	return out
}

// nextLane returns the lane to serve next, or nil if no account has a free share:
// highest priority first, then lowest virtual time, then earliest deadline.
func (c *Controller) nextLane(t *target) *lane {
	var best *lane
	for _, l := range t.lanes {
		if c.shares.Free(l.account.share) <= 0 {
			continue
		}
		if best == nil || c.precedes(l, best) {
			best = l
		}
	}
	return best
}

func (c *Controller) precedes(l, o *lane) bool {
	a, b := &l.items[0], &o.items[0]
	if a.Priority != b.Priority || c.opts.DisableFairness {
		return a.before(b)
	}
	if l.virtualTime != o.virtualTime {
		return l.virtualTime < o.virtualTime
	}
	return a.before(b)
}

// expire refuses waiting requests whose estimated start is too late, whose target
// is not served, or that did not get a share of their account's limit in time.
func (c *Controller) expire(now time.Time, t *target, out []Effect) []Effect {
	for _, l := range slices.Clone(t.lanes) {
		for i := 0; i < len(l.items); {
			w := &l.items[i]
			p := c.checkWaiting(now, t, l, w, i)
			if p == nil {
				i++
				continue
			}
			out = append(out, Effect{ID: w.ID, Verdict: Refuse, Problem: p})
			l.removeAt(i)
			c.recordDequeue(t, l)
		}
	}
	return out
}

// trim refuses the last requests of the longest lanes while the queue exceeds its
// limit.
func (c *Controller) trim(now time.Time, t *target) []Effect {
	var out []Effect
	for t.queued > c.opts.MaxQueue {
		l := t.longest(nil)
		w := l.removeAt(len(l.items) - 1)
		c.recordDequeue(t, l)
		out = append(out, Effect{ID: w.ID, Verdict: Refuse, Problem: c.queueFullError(now, t)})
	}
	return out
}

// longest returns the lane with the most waiting requests relative to its weight,
// counting one more for the lane that a request is about to join.
func (t *target) longest(joining *lane) *lane {
	var longest *lane
	most := 0.0
	for _, l := range t.lanes {
		if length := l.weightedLength(joining); length > most {
			longest, most = l, length
		}
	}
	if joining != nil && joining.weightedLength(joining) > most {
		return joining
	}
	return longest
}

// weightedLength returns the number of waiting requests divided by the account's
// weight, counting one more if the lane is joining.
func (l *lane) weightedLength(joining *lane) float64 {
	n := len(l.items)
	if l == joining {
		n++
	}
	return float64(n) / float64(l.account.Weight)
}
