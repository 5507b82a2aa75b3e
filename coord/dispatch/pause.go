package dispatch

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// trialTimeout is how long the first request after a pause may go unanswered
// before another request is sent as a trial.
const trialTimeout = time.Second

// pause is the state of a pause that an endpoint requested when it rejected a
// request. This node sends it nothing until the pause ends, then a single trial
// request. The others follow once the trial is answered, so that they don't all
// arrive at the same moment.
type pause struct {
	until time.Time
	// needsTrial is set until a request has been answered after the pause.
	needsTrial bool
	// trial is the pending trial request, sent at trialAt.
	trial   *Ticket
	trialAt time.Time
}

// remaining returns the time until the pause ends; it is negative afterwards.
func (p *pause) remaining(now time.Time) time.Duration { return p.until.Sub(now) }

// isTrialPending reports whether a trial request is in flight whose answer the
// other requests must await.
func (p *pause) isTrialPending(now time.Time) bool {
	return p.needsTrial && p.trial != nil && now.Sub(p.trialAt) < trialTimeout
}

// recordSend records a request sent after the pause. It becomes the trial if
// one is needed.
func (p *pause) recordSend(now time.Time, ticket *Ticket) {
	if p.needsTrial {
		p.trial, p.trialAt = ticket, now
	}
}

// recordAnswer records that a request is being answered. The answer counts only
// for the trial: a request sent before the pause proves nothing.
func (p *pause) recordAnswer(ticket *Ticket) {
	if p.trial == ticket {
		p.needsTrial, p.trial = false, nil
	}
}

// recordEnd records the end of a request. A trial that did not succeed is
// followed by another one.
func (p *pause) recordEnd(ticket *Ticket, outcome Outcome) {
	if p.trial != ticket {
		return
	}
	p.trial = nil
	p.needsTrial = outcome != Succeeded
}

// Pause records that the endpoint of a ticket has asked to receive no requests
// for d. It returns the duration applied, which is at most fleet.MaxPause, or 0
// if the endpoint has restarted since the request was sent.
func (t *Table) Pause(now time.Time, ticket *Ticket, d time.Duration) time.Duration {
	target := ticket.Target
	if target.Born != ticket.born {
		return 0
	}
	d = min(d, fleet.MaxPause)
	if until := now.Add(d); until.After(target.pause.until) {
		target.pause.until = until
	}
	target.pause.needsTrial, target.pause.trial = true, nil
	return d
}

// RecordProgress records that bytes of a request's answer have arrived.
func (t *Table) RecordProgress(now time.Time, ticket *Ticket) {
	if !ticket.Begun {
		t.recordFirstByte(now, ticket)
		ticket.BegunAt = now
	}
	ticket.ProgressAt, ticket.Begun = now, true
	ticket.Target.progressAt = now
	ticket.Target.pause.recordAnswer(ticket)
}

// MarkLeaving records that the endpoint of a ticket has announced that it is
// leaving, so that it gets no more requests. It reports whether this was not
// known before.
func (t *Table) MarkLeaving(now time.Time, ticket *Ticket) bool {
	return t.vms != nil && t.vms.MarkLeaving(now, ticket.Target.ID, ticket.born)
}

// SetLimit records the requests a second that the endpoint of a ticket named in an
// answer as its limit, 0 for none. It reports whether the limit has changed.
func (t *Table) SetLimit(now time.Time, ticket *Ticket, perSecond float64) bool {
	return t.vms != nil && t.vms.SetLimit(now, now, ticket.Target.ID, ticket.born, perSecond)
}
