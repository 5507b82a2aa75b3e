package claim

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// foreignRowRead goes on with an entry whose row another token holds. A write
// of the entry's own that is still on its way cannot land any more, as its
// condition names an older revision.
func (s *State) foreignRowRead(now time.Time, e *entry, rec Record) {
	e.stored = ""
	switch e.stage {
	case claiming, following:
		s.resolve(now, e, rec)
	case releasing:
		s.drop(e)
	case settled:
		e.stored = e.final.Status
		s.answerAll(e, e.final)
		s.advance(now, e)
	}
}

// resolve decides on the waiting calls by another claimant's record.
func (s *State) resolve(now time.Time, e *entry, rec Record) {
	switch {
	case rec.Status == Released:
		e.stage = claiming
		s.advance(now, e)
	case rec.Status == Claimed && rec.Claimant.VM != s.opts.Self.VM && rec.Fingerprint == e.fingerprint:
		e.stage = following
		e.seen = rec
		s.emit(AskPeer{Key: e.key, To: rec.Claimant})
	case rec.Status == Claimed && rec.Claimant != s.opts.Self && rec.Fingerprint == e.fingerprint:
		s.claimantGone(now, e, rec)
	default:
		s.conclude(e, rec)
	}
}

// conclude answers the waiting calls by a record and forgets the key.
func (s *State) conclude(e *entry, rec Record) {
	if rec.Fingerprint != "" && rec.Fingerprint != e.fingerprint {
		for _, w := range s.takeWaiters(e) {
			s.emit(Answer{Call: w.call, Err: keyReused()})
		}
	}
	s.answerAll(e, rec)
	s.replyAll(e, Reply{Kind: ReplySettled, Record: &rec})
	s.drop(e)
}

// claimantGone marks the claim of a node that has ended as lost.
func (s *State) claimantGone(now time.Time, e *entry, rec Record) {
	e.stage, e.marker, e.ticket = settled, true, false
	e.token, e.stored = rec.Token, rec.Status
	e.final = rec
	e.final.Status = Unknown
	s.answerAll(e, e.final)
	s.advance(now, e)
}

func (s *State) peerReplied(now time.Time, ev PeerReplied) {
	e := s.entries[ev.Key]
	if e == nil || e.stage != following || e.op != idle || e.seen.Claimant != ev.From {
		return
	}
	switch {
	case ev.Reply.Kind == ReplySettled && ev.Reply.Record != nil:
		s.conclude(e, *ev.Reply.Record)
	case ev.Reply.Kind == ReplyGone:
		s.claimantGone(now, e, e.seen)
	case (ev.Reply.Kind == ReplyReleased || ev.Reply.Kind == ReplyNotFound) && e.rereads < maxRereads:
		e.rereads++
		s.readRows([]*entry{e}, e.key.Row())
	default:
		err := outcomeUnknown("the node that runs an earlier call with this key cannot be asked")
		err.Remedy = "repeat it with the same key"
		s.refuseAll(e, false, err)
		s.drop(e)
	}
}

func (s *State) peerAsked(ev PeerAsked) {
	e := s.entries[ev.Key]
	switch {
	case ev.Incarnation != s.opts.Self.Incarnation:
		s.emit(ReplyPeer{ev.RequestID, Reply{Kind: ReplyGone}})
	case e == nil || e.stage == following || e.stage == orphaned || e.marker:
		s.emit(ReplyPeer{ev.RequestID, Reply{Kind: ReplyNotFound}})
	case e.stage == settled:
		s.emit(ReplyPeer{ev.RequestID, Reply{Kind: ReplySettled, Record: &e.final}})
	case len(e.asks) >= s.opts.MaxWaiters:
		s.emit(ReplyPeer{ev.RequestID, Reply{Kind: ReplyUnreachable}})
	default:
		e.asks = append(e.asks, ev.RequestID)
	}
}

func (s *State) replyAll(e *entry, reply Reply) {
	for _, ask := range e.asks {
		s.emit(ReplyPeer{RequestID: ask, Reply: reply})
	}
	e.asks = nil
}

// orphanRead decides on a ticket that this node cannot vouch for. Unless its
// issuer has stated that all its claims are in the table, only a recorded
// outcome says anything.
func (s *State) orphanRead(now time.Time, e *entry, rec Record, exists, closed bool) {
	switch {
	case exists && rec.Status == Finished:
		s.conclude(e, rec)
	case closed && (!exists || rec.Status == Released):
		e.stage = claiming
		s.advance(now, e)
	case closed:
		s.resolve(now, e, rec)
	default:
		s.refuseAll(e, false, ticketLost())
		s.drop(e)
	}
}

func ticketLost() *problem.Error {
	return problem.New(problem.OutcomeUnknown,
		"the ticket has expired or its issuer is gone; this call was not dispatched",
		"if the ticket was never sent before, use a new one, else check at the service whether the call took effect")
}
