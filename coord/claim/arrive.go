package claim

import "time"

func (s *State) arrived(now time.Time, call Call) {
	if t := call.Ticket; t != nil && t.Issuer != s.opts.Self && t.Issuer.VM != s.opts.Self.VM {
		s.emit(Forward{Call: call, To: t.Issuer})
		return
	}
	s.accept(now, call)
}

// accept takes a call that this node handles itself.
func (s *State) accept(now time.Time, call Call) {
	if e, ok := s.entries[call.Key]; ok {
		s.join(now, e, call)
		return
	}
	issuer, expiry, own := s.ownTicket(now, call)
	w := waiter{call.ID, call.First}
	switch {
	case s.stopping:
		s.refuse(w, own, stoppingError())
	case len(s.entries) >= s.opts.MaxEntries || len(s.writer.queue) >= s.opts.MaxQueue:
		s.refuse(w, own, overloaded())
	case s.down && !own:
		s.refuse(w, false, tableDown())
	default:
		e := s.newEntry(call)
		e.ticket, e.expiry, e.issuer = own, expiry, issuer
		s.wait(e, call)
		s.begin(now, e, call.Ticket != nil && !own)
	}
}

// begin starts on a new key. A ticket that this node cannot vouch for, as its
// issuer is gone or it has expired, is looked up first.
func (s *State) begin(now time.Time, e *entry, lookUp bool) {
	if !lookUp {
		s.advance(now, e)
		return
	}
	e.stage = orphaned
	s.readRows([]*entry{e}, e.key.Row(), e.issuer.closedRow())
}

// ownTicket returns the ticket's issuer and, if this node may vouch for the
// ticket, its expiry.
func (s *State) ownTicket(now time.Time, call Call) (issuer Node, expiry time.Time, own bool) {
	if call.Ticket == nil {
		return Node{}, time.Time{}, false
	}
	if call.Ticket.Issuer != s.opts.Self {
		return call.Ticket.Issuer, time.Time{}, false
	}
	expiry, valid := s.ticketExpiry(now, *call.Ticket)
	return Node{}, expiry, valid
}

// join adds a repeat of a key in memory.
func (s *State) join(now time.Time, e *entry, call Call) {
	w := waiter{call.ID, call.First}
	switch {
	case call.Fingerprint != e.fingerprint:
		s.emit(Answer{Call: call.ID, Err: keyReused()})
	case e.stage == settled && (!e.trimmed || s.down):
		s.answer(w, e.final)
	case len(e.waiters) >= s.opts.MaxWaiters:
		s.emit(Answer{Call: call.ID, Err: overloaded().WithRetryAfter(s.opts.RetryAfter).WithRanUnknown()})
	case s.stopping && e.stage != running && e.stage != settled:
		s.refuse(w, false, stoppingError())
	case e.stage == settled:
		s.wait(e, call)
		if e.op == idle {
			s.readRows([]*entry{e}, e.key.Row())
		}
	default:
		s.wait(e, call)
		s.advance(now, e)
	}
}

// forwardFailed ends a call whose ticket's issuer gave no answer. Only the
// issuer may dispatch it, unless it is gone for good.
func (s *State) forwardFailed(now time.Time, ev ForwardFailed) {
	w := waiter{ev.Call.ID, ev.Call.First}
	switch ev.Reason {
	case IssuerGone:
		s.accept(now, ev.Call)
	case IssuerUnreachable:
		err := outcomeUnknown("the ticket's issuer cannot be reached; this call was not dispatched")
		err.Remedy = "repeat it with the same ticket; if it was never sent before, a new ticket may be used"
		if w.first {
			err.Ran = ranNo
		}
		s.emit(Answer{Call: w.call, Err: err.WithRetryAfter(s.opts.RetryAfter)})
	default:
		err := outcomeUnknown("the ticket's issuer did not answer")
		err.Remedy = "repeat it with the same ticket"
		s.emit(Answer{Call: w.call, Err: err.WithRetryAfter(s.opts.RetryAfter)})
	}
}
