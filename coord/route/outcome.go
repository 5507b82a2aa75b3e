package route

import "time"

// endAttempt releases what Pick reserved for an attempt and returns its
// candidate.
func (t *Table) endAttempt(choice Choice, whole bool) *candidate {
	c := choice.candidate
	if choice.Action == Dispatch {
		t.shares.Release(choice.Ticket, whole)
	} else {
		c.ownInFlight = max(0, c.ownInFlight-1)
	}
	return c
}

// observeAnswer records the incarnation named in an answer. The one to which the
// request was sent is ignored, because a long answer may end after the endpoint
// has restarted.
func (t *Table) observeAnswer(now time.Time, c *candidate, choice Choice, incarnation string) {
	if c.hasShare() && incarnation != choice.Ticket.Incarnation {
		t.observeIncarnation(now, c, incarnation)
	}
}

// isCurrent reports whether the attempt went to the candidate's present
// incarnation.
func (c *candidate) isCurrent(choice Choice) bool {
	return choice.Action != Dispatch || choice.Ticket.Incarnation == c.incarnation
}

func (t *Table) handleFirstToken(now time.Time, ev FirstToken) {
	c := ev.Choice.candidate
	if !c.isCurrent(ev.Choice) {
		return
	}
	c.latency.endRequest(now)
	t.recordLatency(now, c, ev.Took)
}

// recordLatency adds a sample to the candidate's latency and, for a local
// endpoint, to the median of its target.
func (t *Table) recordLatency(now time.Time, c *candidate, took time.Duration) {
	c.latency.add(now, took)
	if c.tier == local {
		c.target.latency.add(took)
	}
}

func (t *Table) handleCompleted(now time.Time, ev Completed) {
	c := t.endAttempt(ev.Choice, true)
	t.observeAnswer(now, c, ev.Choice, ev.Incarnation)
	if c.isCurrent(ev.Choice) {
		if !ev.FirstTokenReported {
			c.latency.endRequest(now)
			t.recordLatency(now, c, ev.Took)
		}
		c.failures = 0
		c.ramp.grow(c.limit)
	}
	c.refresh()
}

func (t *Table) handleFailed(now time.Time, ev Failed) {
	c := t.endAttempt(ev.Choice, false)
	t.observeAnswer(now, c, ev.Choice, ev.Incarnation)
	if c.isCurrent(ev.Choice) {
		if !ev.FirstTokenReported {
			c.latency.endRequest(now)
		}
		t.penalise(now, c, ev)
	}
	c.refresh()
}

// penalise makes later decisions avoid or limit a candidate after a failed
// attempt, depending on the reason.
func (t *Table) penalise(now time.Time, c *candidate, ev Failed) {
	switch ev.Reason {
	case Refused:
		t.avoid(c, now.Add(avoidRefused))
	case Broken:
		c.failures++
		c.ramp.reset(t.opts.NoRamp)
		if further := c.failures - c.failureLimit(); further >= 0 && !c.target.tooManyAvoided() {
			t.avoid(c, now.Add(backoff(further)))
		}
		if c.hasShare() && ev.Incarnation == "" {
			t.shares.SuspectRestart(c.name)
		}
	case FailedDownstream, Cancelled:
	}
}
