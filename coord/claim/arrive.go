package claim

import "time"

// handleArrived forwards a call with another VM's ticket to the ticket's issuer
// and accepts all others.
func (s *State) handleArrived(now time.Time, call Call) {
	if t := call.Ticket; t != nil && t.Issuer != s.opts.Self && t.Issuer.VM != s.opts.Self.VM {
		s.emit(Forward{Call: call, To: t.Issuer})
		return
	}
	s.accept(now, call)
}

// accept handles a call on this node.
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
		s.refuse(w, own, overloadedError())
	case s.down && !own:
		s.refuse(w, false, tableDownError())
	default:
		e := s.newEntry(call)
		e.ticket, e.expiry, e.issuer = own, expiry, issuer
		s.addWaiter(e, call)
		s.begin(now, e, call.Ticket != nil && !own)
	}
}

// begin starts processing a new key. lookUp is set for a ticket that has expired
// or whose issuer has ended: the key's row is read before anything else.
func (s *State) begin(now time.Time, e *entry, lookUp bool) {
	if !lookUp {
		s.advance(now, e)
		return
	}
	e.stage = orphaned
	s.readRows([]*entry{e}, e.key.Row(), e.issuer.closedRow())
}

// ownTicket reports whether this node issued the call's ticket and the ticket is
// still valid, with the time at which it expires. For a ticket of another node,
// it returns the issuer.
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

// join handles a call whose key is already in memory.
func (s *State) join(now time.Time, e *entry, call Call) {
	w := waiter{call.ID, call.First}
	switch {
	case call.Fingerprint != e.fingerprint:
		s.emit(Answer{Call: call.ID, Err: keyReusedError()})
	case e.stage == settled && (!e.trimmed || s.down):
		s.answer(w, e.final)
	case len(e.waiters) >= s.opts.MaxWaiters:
		s.emit(Answer{Call: call.ID, Err: overloadedError().WithRetryAfter(s.opts.RetryAfter).WithRanUnknown()})
	case s.stopping && e.stage != running && e.stage != settled:
		s.refuse(w, false, stoppingError())
	case e.stage == settled:
		s.addWaiter(e, call)
		if e.op == idle {
			s.readRows([]*entry{e}, e.key.Row())
		}
	default:
		s.addWaiter(e, call)
		s.advance(now, e)
	}
}

// handleForwardFailed handles a call that its ticket's issuer did not answer. If
// the issuer has ended, this node accepts the call. Otherwise only the issuer
// may dispatch it, and the call is answered with an error.
func (s *State) handleForwardFailed(now time.Time, ev ForwardFailed) {
	w := waiter{ev.Call.ID, ev.Call.First}
	switch ev.Reason {
	case IssuerGone:
		s.accept(now, ev.Call)
	case IssuerUnreachable:
		err := outcomeUnknownError("the ticket's issuer cannot be reached; this call was not dispatched")
		err.Remedy = "repeat it with the same ticket; if it was never sent before, a new ticket may be used"
		if w.first {
			err.Ran = ranNo
		}
		s.emit(Answer{Call: w.call, Err: err.WithRetryAfter(s.opts.RetryAfter)})
	default:
		err := outcomeUnknownError("the ticket's issuer did not answer")
		err.Remedy = "repeat it with the same ticket"
		s.emit(Answer{Call: w.call, Err: err.WithRetryAfter(s.opts.RetryAfter)})
	}
}
