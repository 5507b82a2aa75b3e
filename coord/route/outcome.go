package route

import "time"

// settle ends the accounting of an attempt and returns its candidate.
func (t *Table) settle(choice Choice, whole bool) *candidate {
	c := choice.candidate
	if choice.Action == Dispatch {
		t.shares.Release(choice.Ticket, whole)
	} else {
		c.own = max(0, c.own-1)
	}
	return c
}

// news takes in the incarnation named in an answer. The one that the request
// was sent to is no news: a long answer may end after the endpoint restarted.
func (t *Table) news(now time.Time, c *candidate, choice Choice, incarnation string) {
	if c.held() && incarnation != choice.Ticket.Incarnation {
		t.seen(now, c, incarnation)
	}
}

// current reports whether the attempt went to what the candidate is now.
func (c *candidate) current(choice Choice) bool {
	return choice.Action != Dispatch || choice.Ticket.Incarnation == c.incarnation
}

func (t *Table) firstToken(now time.Time, ev FirstToken) {
	c := ev.Choice.candidate
	if !c.current(ev.Choice) {
		return
	}
	c.latency.ended(now)
	t.measured(now, c, ev.Took)
}

func (t *Table) measured(now time.Time, c *candidate, took time.Duration) {
	c.latency.sample(now, took)
	if c.tier == local {
		c.target.peers.sample(took)
	}
}

func (t *Table) completed(now time.Time, ev Completed) {
	c := t.settle(ev.Choice, true)
	t.news(now, c, ev.Choice, ev.Incarnation)
	if c.current(ev.Choice) {
		if !ev.FirstTokenReported {
			c.latency.ended(now)
			t.measured(now, c, ev.Took)
		}
		c.failures = 0
		c.ramp.completed(c.limit)
	}
	c.refresh()
}

func (t *Table) failed(now time.Time, ev Failed) {
	c := t.settle(ev.Choice, false)
	t.news(now, c, ev.Choice, ev.Incarnation)
	if c.current(ev.Choice) {
		if !ev.FirstTokenReported {
			c.latency.ended(now)
		}
		t.blame(now, c, ev)
	}
	c.refresh()
}

// blame draws the consequences of a failed attempt for later choices.
func (t *Table) blame(now time.Time, c *candidate, ev Failed) {
	switch ev.Reason {
	case Refused:
		t.avoid(c, now.Add(avoidFull))
	case Broken:
		c.failures++
		c.ramp.restart(t.opts.NoRamp)
		if further := c.failures - c.maxFailures(); further >= 0 && !c.target.mostAvoided() {
			t.avoid(c, now.Add(failureDelay(further)))
		}
		if c.held() && ev.Incarnation == "" {
			t.shares.SuspectRestart(c.name)
		}
	case FailedDownstream, Cancelled:
	}
}
