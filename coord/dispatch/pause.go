package dispatch

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// trialMost bounds the wait for the answer to the first request after a pause,
// until another one may try.
const trialMost = time.Second

// pause is what an endpoint asked for when it turned a request away: no
// requests from this node until a time. Then one request tries, and the others
// follow once it is answered, so that they don't all arrive at the same moment.
type pause struct {
	until time.Time
	// trying is whether no request has succeeded since.
	trying bool
	// trial is the request that tries now, and since when.
	trial   *Ticket
	trialAt time.Time
}

// left returns how much of the pause is left.
func (p *pause) left(now time.Time) time.Duration { return p.until.Sub(now) }

// tried reports whether a request is trying the endpoint now, whose answer the
// others wait for.
func (p *pause) tried(now time.Time) bool {
	return p.trying && p.trial != nil && now.Sub(p.trialAt) < trialMost
}

// send notes a request that is sent after the pause.
func (p *pause) send(now time.Time, ticket *Ticket) {
	if p.trying {
		p.trial, p.trialAt = ticket, now
	}
}

// answered notes that a request is being answered. One that was sent before
// the pause shows nothing.
func (p *pause) answered(ticket *Ticket) {
	if p.trial == ticket {
		p.trying, p.trial = false, nil
	}
}

// ended notes the end of a request.
func (p *pause) ended(ticket *Ticket, outcome Outcome) {
	if p.trial != ticket {
		return
	}
	p.trial = nil
	p.trying = outcome != Succeeded
}

// Pause notes that the endpoint of a ticket has asked for no requests for d. It
// returns how long it will get none.
func (t *Table) Pause(now time.Time, ticket *Ticket, d time.Duration) time.Duration {
	target := ticket.Target
	if target.Born != ticket.born {
		return 0
	}
	d = min(d, fleet.MaxPause)
	if until := now.Add(d); until.After(target.pause.until) {
		target.pause.until = until
	}
	target.pause.trying, target.pause.trial = true, nil
	return d
}

// RecordProgress notes that a request's answer has begun or goes on.
func (t *Table) RecordProgress(now time.Time, ticket *Ticket) {
	if !ticket.Begun {
		t.noteFirst(now, ticket)
	}
	ticket.ProgressAt, ticket.Begun = now, true
	ticket.Target.progressAt = now
	ticket.Target.pause.answered(ticket)
}

// MarkLeaving notes that the endpoint of a ticket has said that it leaves: it gets
// nothing more. It reports whether that is new.
func (t *Table) MarkLeaving(now time.Time, ticket *Ticket) bool {
	return t.vms != nil && t.vms.MarkLeaving(now, ticket.Target.ID, ticket.born)
}

// left reports whether a target's VM has said that it leaves since the pools
// were made.
func (t *Table) left(target *Target) bool {
	vm := t.vms.Get(target.ID)
	return vm != nil && vm.Leaving
}
