package claim

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

const ranNo = problem.RanNo

// advance does what the entry's stage calls for next.
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
		s.refuseAll(e, e.stored == Claimed, tableDown())
	}
	switch {
	case len(e.waiters) == 0:
		e.stage = releasing
		s.advanceReleasing(now, e)
	case e.holdsClaim() && !busy:
		s.run(e)
	case e.ticket && s.tableSlow(now):
		s.run(e)
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
	case e.stored == Released || e.stored == "" && !e.perhaps:
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
	if !e.ticket || e.marker {
		s.drop(e)
		return
	}
	if !e.trimmed {
		s.trim(e)
		heap.Push(&s.used, e)
	}
}

// trim leaves the body to the table.
func (s *State) trim(e *entry) {
	e.trimmed = true
	if e.final.Outcome != nil {
		e.final.Outcome = e.final.Outcome.bounded(0)
	}
}

// run dispatches the call that has waited longest.
func (s *State) run(e *entry) {
	e.stage = running
	e.sent = false
	e.attempts++
	e.attempt = fmt.Sprintf("%s/%d", e.token, e.attempts)
	e.runner = e.waiters[0].call
	s.emit(Dispatch{Key: e.key, Call: e.runner, Attempt: e.attempt})
}

// attemptEvent handles what became of an attempt. Events of an attempt that
// is no longer the running one are dropped.
func (s *State) attemptEvent(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case Sent:
		if e := s.attemptOf(ev.Key, ev.Attempt); e != nil {
			e.sent = true
		}
	case NotSent:
		if e := s.attemptOf(ev.Key, ev.Attempt); e != nil {
			s.notSent(now, e, ev.Err)
		}
	case Answered:
		if e := s.attemptOf(ev.Key, ev.Attempt); e != nil {
			s.settle(now, e, Finished, &ev.Outcome)
		}
	case Failed:
		if e := s.attemptOf(ev.Key, ev.Attempt); e != nil {
			s.settle(now, e, Unknown, nil)
		}
	}
}

func (s *State) attemptOf(key Key, attempt string) *entry {
	e := s.entries[key]
	if e == nil || e.stage != running || e.attempt != attempt {
		return nil
	}
	return e
}

// notSent goes on with the next call that waits for the key. Once each has
// been tried, all are refused together: none is told "not run" while another
// may still run.
func (s *State) notSent(now time.Time, e *entry, err *problem.Error) {
	if e.sent {
		s.settle(now, e, Unknown, nil)
		return
	}
	if err == nil {
		err = noEndpoint()
	}
	e.stage = claiming
	e.tried++
	e.rotate()
	if s.stopping || e.tried >= len(e.waiters) {
		s.refuseAll(e, true, err)
		e.tried = 0
	}
	s.advance(now, e)
}

// rotate puts the call that was dispatched behind the others.
func (e *entry) rotate() {
	if len(e.waiters) > 0 && e.waiters[0].call == e.runner {
		e.waiters = append(e.waiters[1:], e.waiters[0])
	}
}

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

func noEndpoint() *problem.Error {
	return problem.New(problem.NoEndpoint, "the call could not be sent to an endpoint", "repeat it with the same key later")
}
