package claim

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

const ranNo = problem.RanNo

// advance takes the next step for an entry, depending on its stage.
func (s *State) advance(now time.Time, e *entry) {
	switch e.stage {
	case claiming:
		s.advanceClaiming(now, e)
	case releasing:
		s.advanceReleasing(now, e)
	case settled:
		s.advanceSettled(now, e)
	}
}

func (s *State) advanceClaiming(now time.Time, e *entry) {
	busy := e.op == writing || e.op == reading
	if s.down && !e.ticket && !busy {
		s.refuseAll(e, e.stored == Claimed, tableDownError())
	}
	switch {
	case len(e.waiters) == 0:
		e.stage = releasing
		s.advanceReleasing(now, e)
	case e.holdsClaim() && !busy:
		s.dispatch(e)
	case e.ticket && s.isTableSlow(now):
		s.dispatch(e)
	case e.op == idle:
		s.enqueue(now, e)
	}
}

func (s *State) advanceReleasing(now time.Time, e *entry) {
	switch {
	case len(e.waiters) > 0:
		e.stage = claiming
		s.advanceClaiming(now, e)
	case e.op != idle:
	case e.stored == Released || e.stored == "" && !e.mayBeStored:
		s.replyAll(e, Reply{Kind: ReplyReleased})
		s.drop(e)
	default:
		s.enqueue(now, e)
	}
}

func (s *State) advanceSettled(now time.Time, e *entry) {
	if e.op != idle {
		return
	}
	if e.stored != e.final.Status {
		s.enqueue(now, e)
		return
	}
	if !e.ticket || e.abandoned {
		s.drop(e)
		return
	}
	if !e.trimmed {
		s.trim(e)
		heap.Push(&s.usedTickets, e)
	}
}

// trim drops the response body from memory; the row in the table still has it.
func (s *State) trim(e *entry) {
	e.trimmed = true
	if e.final.Outcome != nil {
		e.final.Outcome = e.final.Outcome.bounded(0)
	}
}

// dispatch starts an attempt for the first call in the waiting list.
func (s *State) dispatch(e *entry) {
	e.stage = running
	e.sent = false
	e.attemptCount++
	e.attemptID = fmt.Sprintf("%s/%d", e.token, e.attemptCount)
	e.dispatchedCall = e.waiters[0].call
	s.emit(Dispatch{Key: e.key, Call: e.dispatchedCall, Attempt: e.attemptID})
}

// handleAttemptEvent handles the result of an attempt. It ignores events of
// attempts that are not the running one.
func (s *State) handleAttemptEvent(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case Sent:
		if e := s.runningAttempt(ev.Key, ev.Attempt); e != nil {
			e.sent = true
		}
	case NotSent:
		if e := s.runningAttempt(ev.Key, ev.Attempt); e != nil {
			s.handleNotSent(now, e, ev.Err)
		}
	case Answered:
		if e := s.runningAttempt(ev.Key, ev.Attempt); e != nil {
			s.settle(now, e, Finished, &ev.Outcome)
		}
	case Failed:
		if e := s.runningAttempt(ev.Key, ev.Attempt); e != nil {
			s.settle(now, e, Unknown, nil)
		}
	}
}

// runningAttempt returns the key's entry if the given attempt is its running
// one, and otherwise nil.
func (s *State) runningAttempt(key Key, attempt string) *entry {
	e := s.entries[key]
	if e == nil || e.stage != running || e.attemptID != attempt {
		return nil
	}
	return e
}

// handleNotSent retries with the next call that waits for the key. When every
// waiting call has been tried, all are refused together, so that no caller is
// told "not run" while another call with the key may still run.
func (s *State) handleNotSent(now time.Time, e *entry, err *problem.Error) {
	if e.sent {
		s.settle(now, e, Unknown, nil)
		return
	}
	if err == nil {
		err = noEndpointError()
	}
	e.stage = claiming
	e.notSentCount++
	e.rotateWaiters()
	if s.stopping || e.notSentCount >= len(e.waiters) {
		s.refuseAll(e, true, err)
		e.notSentCount = 0
	}
	s.advance(now, e)
}

// rotateWaiters moves the dispatched call to the end of the waiting list.
func (e *entry) rotateWaiters() {
	if len(e.waiters) > 0 && e.waiters[0].call == e.dispatchedCall {
		e.waiters = append(e.waiters[1:], e.waiters[0])
	}
}

// settle records the final status of a key and answers its callers and peers.
// Callers get the whole body; the record is limited to Options.MaxBody bytes.
func (s *State) settle(now time.Time, e *entry, status Status, outcome *Outcome) {
	e.stage = settled
	e.final = Record{Fingerprint: e.fingerprint, Claimant: s.opts.Self, Token: e.token, Status: status}
	if outcome != nil {
		e.final.Outcome = outcome
	}
	s.answerAll(e, e.final)
	if outcome != nil {
		e.final.Outcome = outcome.bounded(s.opts.MaxBody)
	}
	s.replyAll(e, Reply{Kind: ReplySettled, Record: &e.final})
	s.advance(now, e)
}

func noEndpointError() *problem.Error {
	return problem.New(problem.NoEndpoint, "the call could not be sent to an endpoint", "repeat it with the same key later")
}
