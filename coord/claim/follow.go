package claim

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// handleForeignRow handles an entry whose row contains a token other than the
// entry's. A delayed write of the entry can no longer be applied, as its
// condition names an older revision.
func (s *State) handleForeignRow(now time.Time, e *entry, rec Record) {
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

// resolve decides what to do with the waiting calls when the row contains the
// given record, which has another token.
func (s *State) resolve(now time.Time, e *entry, rec Record) {
	switch {
	case rec.Status == Released:
		e.stage = claiming
		s.advance(now, e)
	case rec.Status == Claimed && rec.Claimant.VM != s.opts.Self.VM && rec.Fingerprint == e.fingerprint:
		e.stage = following
		e.foreign = rec
		s.emit(AskPeer{Key: e.key, To: rec.Claimant})
	case rec.Status == Claimed && rec.Claimant != s.opts.Self && rec.Fingerprint == e.fingerprint:
		s.settleAbandoned(now, e, rec)
	default:
		s.conclude(e, rec)
	}
}

// conclude answers the waiting calls and peers with a record and drops the key.
func (s *State) conclude(e *entry, rec Record) {
	if rec.Fingerprint != "" && rec.Fingerprint != e.fingerprint {
		for _, w := range s.takeWaiters(e) {
			s.emit(Answer{Call: w.call, Err: keyReusedError()})
		}
	}
	s.answerAll(e, rec)
	s.replyAll(e, Reply{Kind: ReplySettled, Record: &rec})
	s.drop(e)
}

// settleAbandoned settles the claim of a node that has ended as Unknown.
func (s *State) settleAbandoned(now time.Time, e *entry, rec Record) {
	e.stage, e.abandoned, e.ticket = settled, true, false
	e.token, e.stored = rec.Token, rec.Status
	e.final = rec
	e.final.Status = Unknown
	s.answerAll(e, e.final)
	s.advance(now, e)
}

func (s *State) handlePeerReplied(now time.Time, ev PeerReplied) {
	e := s.entries[ev.Key]
	if e == nil || e.stage != following || e.op != idle || e.foreign.Claimant != ev.From {
		return
	}
	switch {
	case ev.Reply.Kind == ReplySettled && ev.Reply.Record != nil:
		s.conclude(e, *ev.Reply.Record)
	case ev.Reply.Kind == ReplyGone:
		s.settleAbandoned(now, e, e.foreign)
	case (ev.Reply.Kind == ReplyReleased || ev.Reply.Kind == ReplyNotFound) && e.rereadCount < maxRereads:
		e.rereadCount++
		s.readRows([]*entry{e}, e.key.Row())
	default:
		err := outcomeUnknownError("the node that runs an earlier call with this key cannot be reached")
		err.Remedy = "repeat it with the same key"
		s.refuseAll(e, false, err)
		s.drop(e)
	}
}

func (s *State) handlePeerAsked(ev PeerAsked) {
	e := s.entries[ev.Key]
	switch {
	case ev.Incarnation != s.opts.Self.Incarnation:
		s.emit(ReplyPeer{ev.RequestID, Reply{Kind: ReplyGone}})
	case e == nil || e.stage == following || e.stage == orphaned || e.abandoned:
		s.emit(ReplyPeer{ev.RequestID, Reply{Kind: ReplyNotFound}})
	case e.stage == settled:
		s.emit(ReplyPeer{ev.RequestID, Reply{Kind: ReplySettled, Record: &e.final}})
	case len(e.peerRequests) >= s.opts.MaxWaiters:
		s.emit(ReplyPeer{ev.RequestID, Reply{Kind: ReplyUnreachable}})
	default:
		e.peerRequests = append(e.peerRequests, ev.RequestID)
	}
}

// replyAll answers all peers that wait for the entry's outcome.
func (s *State) replyAll(e *entry, reply Reply) {
	for _, id := range e.peerRequests {
		s.emit(ReplyPeer{RequestID: id, Reply: reply})
	}
	e.peerRequests = nil
}

// handleOrphan handles a ticket that has expired or whose issuer has ended. closed
// reports whether the issuer's closing row exists, which means that all its
// claims are in the table. Without that row, only a recorded outcome settles the
// call; a missing or released row does not show that the call was not sent.
func (s *State) handleOrphan(now time.Time, e *entry, rec Record, exists, closed bool) {
	switch {
	case exists && rec.Status == Finished:
		s.conclude(e, rec)
	case closed && (!exists || rec.Status == Released):
		e.stage = claiming
		s.advance(now, e)
	case closed:
		s.resolve(now, e, rec)
	default:
		s.refuseAll(e, false, ticketLostError())
		s.drop(e)
	}
}

func ticketLostError() *problem.Error {
	return problem.New(problem.OutcomeUnknown,
		"the ticket has expired or its issuer is gone; this call was not dispatched",
		"if the ticket was never sent before, use a new one; otherwise check at the service whether the call took effect")
}
