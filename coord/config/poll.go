package config

import (
	"fmt"
	"time"
)

// poller is the node's own reading of the platform.
type poller struct {
	pending  bool
	sentAt   time.Time
	next     time.Time
	failures int
	standIn  bool // polls in place of silent readers
	target   Head // the newest head read
}

func (p *poller) start(now time.Time) {
	p.pending = true
	p.sentAt = now
}

func (p *poller) succeeded(now time.Time, interval time.Duration) {
	p.pending = false
	p.failures = 0
	p.next = now.Add(interval)
}

func (p *poller) failed(now time.Time, wait time.Duration) {
	p.pending = false
	p.failures++
	p.next = now.Add(wait)
}

// tickPoll starts a poll if one is due. A late answer to a timed out read is
// still taken: adoption does not depend on which read it answers.
func (s *State) tickPoll(now time.Time) []Effect {
	if s.poll.pending && now.Sub(s.poll.sentAt) >= s.opts.ReadTimeout {
		s.poll.failed(now, s.pollBackoff())
	}
	if s.poll.pending || now.Before(s.poll.next) || !s.mayPoll(now) {
		return nil
	}
	s.poll.start(now)
	return []Effect{ReadHead{}}
}

// mayPoll reports whether the node should read the platform itself: it is a
// reader, it has nothing yet, it hears no peer at all, or the readers before
// it have been silent for so long that its turn has come.
func (s *State) mayPoll(now time.Time) bool {
	if s.Reader() || s.current.Number == 0 {
		return true
	}
	if now.Sub(latest(s.heardAt, s.started)) >= s.opts.StaleAfter/silentShare {
		return true
	}
	turns := time.Duration(s.rank - s.opts.Readers)
	wait := s.opts.StaleAfter + turns*s.opts.StaleAfter/staleTurns
	if now.Sub(latest(s.readAt, s.started)) >= wait {
		s.poll.standIn = true
	}
	return s.poll.standIn
}

// heardRead takes the newest read that a peer knows of. A stand-in stops once
// a VM that comes before it reads again.
func (s *State) heardRead(now time.Time, d Digest) {
	if d.ReadAge < s.opts.StaleAfter && d.ReadBy != s.opts.VM && preferred(d.ReadBy, s.opts.VM) {
		s.poll.standIn = false
	}
	if at := now.Add(-d.ReadAge); at.After(s.readAt) {
		s.readAt, s.readBy = at, d.ReadBy
	}
}

const (
	// silentShare divides StaleAfter: a node that hears nobody polls sooner.
	silentShare = 2
	// staleTurns divides StaleAfter: the time between one node's turn to
	// replace silent readers and the next node's.
	staleTurns = 4
)

// pollBackoff returns the wait after a failed poll. Readers keep their pace,
// so that the end of an outage is seen soon; the others back off.
func (s *State) pollBackoff() time.Duration {
	wait := s.opts.PollInterval
	if s.Reader() {
		return wait
	}
	for range min(s.poll.failures, maxDoublings) {
		wait *= 2
	}
	wait = min(wait, s.opts.MaxBackoff)
	return wait/2 + time.Duration(s.rng.Int64N(int64(wait)))
}

const maxDoublings = 10

func (s *State) headRead(now time.Time, head Head) []Effect {
	if s.poll.sentAt.After(s.readAt) {
		s.readAt, s.readBy = s.poll.sentAt, s.opts.VM
	}
	s.poll.target = head
	switch {
	case head.Number < s.current.Number:
		s.poll.succeeded(now, s.opts.PollInterval)
		return s.conflict(head.Number, "", head.Token,
			fmt.Sprintf("the platform's head went back to %d and this node has %d", head.Number, s.current.Number))
	case head.Number == s.current.Number:
		s.poll.succeeded(now, s.opts.PollInterval)
		if head.Token == s.current.Token {
			return nil
		}
		return s.conflict(head.Number, "", head.Token,
			fmt.Sprintf("two different changes have number %d", head.Number))
	case s.current.Number == 0 && head.Snapshot > 0:
		s.poll.start(now)
		return []Effect{ReadSnapshot{Number: head.Snapshot}}
	default:
		return s.readChanges(now)
	}
}

func (s *State) readChanges(now time.Time) []Effect {
	s.poll.start(now)
	return []Effect{ReadChanges{After: s.current.Number, Limit: readLimit}}
}

func (s *State) changesRead(now time.Time, changes []Change) []Effect {
	before := s.current.Number
	effects := s.adopt(now, "", changes)
	target := s.poll.target
	switch {
	case s.current.Number >= target.Number:
		s.poll.succeeded(now, s.opts.PollInterval)
	case s.current.Number > before:
		effects = append(effects, s.readChanges(now)...)
	case target.Snapshot > s.current.Number:
		s.poll.start(now)
		effects = append(effects, ReadSnapshot{Number: target.Snapshot})
	default:
		s.poll.failed(now, s.pollBackoff())
	}
	return effects
}

func (s *State) snapshotRead(now time.Time, snapshot Snapshot) []Effect {
	effects := s.adoptSnapshot(now, "", snapshot)
	if s.current.Number < snapshot.Number {
		s.poll.failed(now, s.pollBackoff())
		return effects
	}
	if s.current.Number < s.poll.target.Number {
		return append(effects, s.readChanges(now)...)
	}
	s.poll.succeeded(now, s.opts.PollInterval)
	return effects
}

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
