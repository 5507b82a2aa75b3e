package admit

import (
	"slices"
	"time"
)

// Release ends an admitted request. Whole says that its caller got the whole
// answer, which tells how long the work takes.
func (c *Controller) Release(now time.Time, id ID, whole bool) []Effect {
	r, ok := c.running[id]
	if !ok {
		return nil
	}
	c.end(now, r, whole)
	return c.serveAll(now, nil)
}

func (c *Controller) end(now time.Time, r *run, whole bool) {
	delete(c.running, r.request.ID)
	c.shares.Release(r.ticket, whole)
	took := now.Sub(r.started)
	r.target.pace.ended(now, took, r.request.Cost, whole)
	r.account.pace.ended(now, took, r.request.Cost, whole)
}

// Requeue decides anew on an admitted request that could not be placed. It
// keeps its place among the waiting ones.
func (c *Controller) Requeue(now time.Time, id ID) Decision {
	r, ok := c.running[id]
	if !ok {
		return refuse(unknownRequest())
	}
	c.end(now, r, false)
	l := r.target.lane(r.account)
	l.served -= r.request.Cost / float64(r.account.Weight)
	if p := c.cannotWait(now, r.target, l, &r.request); p != nil {
		return refuse(p)
	}
	c.enqueue(now, r.target, l, r.request)
	return Decision{Verdict: Queue, Displaced: c.trim(now, r.target)}
}

// Cancel drops a waiting request whose caller went away.
func (c *Controller) Cancel(id ID, targetName string) {
	t, ok := c.targets[targetName]
	if !ok {
		return
	}
	for _, l := range t.lanes {
		if l.remove(id) {
			c.dequeued(t, l)
			return
		}
	}
}

// Tick refuses waiting requests that have become too late and admits others
// where there is room.
func (c *Controller) Tick(now time.Time) []Effect {
	var out []Effect
	for _, t := range c.order {
		if t.queued > 0 {
			out = c.expire(now, t, out)
		}
	}
	return c.serveAll(now, out)
}

func (c *Controller) serveAll(now time.Time, out []Effect) []Effect {
	for _, t := range c.order {
		if t.queued > 0 {
			out = c.serve(now, t, out)
		}
	}
	return out
}

// serve admits waiting requests of the target while there is room.
func (c *Controller) serve(now time.Time, t *target, out []Effect) []Effect {
	room := c.capacity.Free(t.name)
	for ; room > 0 && t.queued > 0; room-- {
		l := c.next(t)
		if l == nil {
			break
		}
		w := l.removeAt(0)
		c.dequeued(t, l)
		c.start(now, t, l, w)
		out = append(out, Effect{ID: w.ID, Verdict: Admit})
	}
	return out
}

// next returns the lane to serve: highest priority first, then least served
// for its weight, then earliest deadline.
func (c *Controller) next(t *target) *lane {
	var best *lane
	for _, l := range t.lanes {
		if c.shares.Free(l.account.share) <= 0 {
			continue
		}
		if best == nil || c.goesBefore(l, best) {
			best = l
		}
	}
	return best
}

func (c *Controller) goesBefore(l, o *lane) bool {
	a, b := &l.items[0], &o.items[0]
	if a.Priority != b.Priority || c.opts.Unfair {
		return a.before(b)
	}
	if l.served != o.served {
		return l.served < o.served
	}
	return a.before(b)
}

// expire refuses waiting requests whose estimated start has become too late,
// and those that waited in vain for a part of their account's limit.
func (c *Controller) expire(now time.Time, t *target, out []Effect) []Effect {
	for _, l := range slices.Clone(t.lanes) {
		for i := 0; i < len(l.items); {
			w := &l.items[i]
			p := c.expired(now, t, l, w, i)
			if p == nil {
				i++
				continue
			}
			out = append(out, Effect{ID: w.ID, Verdict: Refuse, Problem: p})
			l.removeAt(i)
			c.dequeued(t, l)
		}
	}
	return out
}

// trim refuses the last requests of the longest lanes while the queue is
// over its bound.
func (c *Controller) trim(now time.Time, t *target) []Effect {
	var out []Effect
	for t.queued > c.opts.MaxQueue {
		l := t.longest(nil)
		w := l.removeAt(len(l.items) - 1)
		c.dequeued(t, l)
		out = append(out, Effect{ID: w.ID, Verdict: Refuse, Problem: c.queueFull(now, t)})
	}
	return out
}

// longest returns the lane with the most waiting requests for its weight,
// counting one more for the lane that a request is about to join.
func (t *target) longest(joining *lane) *lane {
	var longest *lane
	most := 0.0
	for _, l := range t.lanes {
		if length := l.length(joining); length > most {
			longest, most = l, length
		}
	}
	if joining != nil && joining.length(joining) > most {
		return joining
	}
	return longest
}

// length is the number of waiting requests for the account's weight.
func (l *lane) length(joining *lane) float64 {
	n := len(l.items)
	if l == joining {
		n++
	}
	return float64(n) / float64(l.account.Weight)
}
