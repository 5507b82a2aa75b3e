package config

import (
	"fmt"
	"time"
)

// poller keeps track of the node's own reads of the platform.
type poller struct {
	pending  bool      // a read is in flight
	sentAt   time.Time // of the last read
	nextPoll time.Time
	failures int  // in a row
	fallback bool // the node polls in place of readers that have stopped
	target   Head // the head that was read last
}

func (p *poller) recordStart(now time.Time) {
	p.pending = true
	p.sentAt = now
}

func (p *poller) recordSuccess(now time.Time, interval time.Duration) {
	p.pending = false
	p.failures = 0
	p.nextPoll = now.Add(interval)
}

func (p *poller) recordFailure(now time.Time, wait time.Duration) {
	p.pending = false
	p.failures++
	p.nextPoll = now.Add(wait)
}

// tickPoll starts a poll if one is due. Late answers to reads that have timed
// out are still processed, since adoption does not depend on which read an
// answer belongs to.
func (s *State) tickPoll(now time.Time) []Effect {
	if s.poll.pending && now.Sub(s.poll.sentAt) >= s.opts.ReadTimeout {
		s.poll.recordFailure(now, s.pollBackoff())
	}
	if s.poll.pending || now.Before(s.poll.nextPoll) || !s.shouldPoll(now) {
		return nil
	}
	s.poll.recordStart(now)
	return []Effect{ReadHead{}}
}

// shouldPoll reports whether the node should read the platform itself. That is
// the case if it is a reader, has no configuration yet, has received no digest
// for some time, or the newest known read is so old that the node must act as a
// fallback reader. Non-readers become fallback readers one after the other, in
// order of rank.
func (s *State) shouldPoll(now time.Time) bool {
	if s.IsReader() || s.current.Number == 0 {
		return true
	}
	if now.Sub(laterOf(s.lastDigestAt, s.started)) >= s.opts.StaleAfter/isolationDivisor {
		return true
	}
	turns := time.Duration(s.rank - s.opts.Readers)
	wait := s.opts.StaleAfter + turns*s.opts.StaleAfter/fallbackDivisor
	if now.Sub(laterOf(s.lastReadAt, s.started)) >= wait {
		s.poll.fallback = true
	}
	return s.poll.fallback
}

// updateLastRead records the newest read that a peer knows of. A fallback reader
// stops polling once a VM with a lower rank has read the platform again.
func (s *State) updateLastRead(now time.Time, d Digest) {
	if d.ReadAge < s.opts.StaleAfter && d.ReadBy != s.opts.VM && ranksBefore(d.ReadBy, s.opts.VM) {
		s.poll.fallback = false
	}
	if at := now.Add(-d.ReadAge); at.After(s.lastReadAt) {
		s.lastReadAt, s.lastReadBy = at, d.ReadBy
	}
}

const (
	// isolationDivisor divides StaleAfter to give the time without any digest
	// after which a node polls. It is shorter than StaleAfter, since such a
	// node cannot rely on its peers.
	isolationDivisor = 2
	// fallbackDivisor divides StaleAfter to give the delay between one node
	// becoming a fallback reader and the next one in order of rank.
	fallbackDivisor = 4
)

// pollBackoff returns the delay after a failed poll. Readers keep polling at
// PollInterval, so that they detect the end of an outage soon. Other nodes back
// off exponentially with jitter.
func (s *State) pollBackoff() time.Duration {
	wait := s.opts.PollInterval
	if s.IsReader() {
		return wait
	}
	for range min(s.poll.failures, maxDoublings) {
		wait *= 2
	}
	wait = min(wait, s.opts.MaxBackoff*2/3) // jitter adds up to half
	return wait/2 + time.Duration(s.rng.Int64N(int64(wait)))
}

// maxDoublings limits the exponent of the backoff to avoid overflow.
const maxDoublings = 10

// handleHeadRead compares the platform's head with the configuration in force
// and reads what is missing.
func (s *State) handleHeadRead(now time.Time, head Head) []Effect {
	if s.poll.sentAt.After(s.lastReadAt) {
		s.lastReadAt, s.lastReadBy = s.poll.sentAt, s.opts.VM
	}
	s.poll.target = head
	switch {
	case head.Number < s.current.Number:
		s.poll.recordSuccess(now, s.opts.PollInterval)
		return s.reportConflict(head.Number, "", head.Token,
			fmt.Sprintf("the platform's head has number %d, which is below this node's number %d", head.Number, s.current.Number))
	case head.Number == s.current.Number:
		s.poll.recordSuccess(now, s.opts.PollInterval)
		if head.Token == s.current.Token {
			return nil
		}
		return s.reportConflict(head.Number, "", head.Token,
			fmt.Sprintf("two different changes have number %d", head.Number))
	case s.current.Number == 0 && head.Snapshot > 0:
		s.poll.recordStart(now)
		return []Effect{ReadSnapshot{Number: head.Snapshot}}
	default:
		return s.readChanges(now)
	}
}

func (s *State) readChanges(now time.Time) []Effect {
	s.poll.recordStart(now)
	return []Effect{ReadChanges{After: s.current.Number, Limit: readLimit}}
}

// handleChangesRead adopts the changes and keeps reading until the target is
// reached. If no change could be adopted, it reads a newer snapshot instead, if
// there is one.
func (s *State) handleChangesRead(now time.Time, changes []Change) []Effect {
	before := s.current.Number
	effects := s.adopt(now, "", changes)
	target := s.poll.target
	switch {
	case s.current.Number >= target.Number:
		s.poll.recordSuccess(now, s.opts.PollInterval)
	case s.current.Number > before:
		effects = append(effects, s.readChanges(now)...)
	case target.Snapshot > s.current.Number:
		s.poll.recordStart(now)
		effects = append(effects, ReadSnapshot{Number: target.Snapshot})
	default:
		s.poll.recordFailure(now, s.pollBackoff())
	}
	return effects
}

func (s *State) handleSnapshotRead(now time.Time, snapshot Snapshot) []Effect {
	effects := s.adoptSnapshot(now, "", snapshot)
	if s.current.Number < snapshot.Number {
		s.poll.recordFailure(now, s.pollBackoff())
		return effects
	}
	if s.current.Number < s.poll.target.Number {
		return append(effects, s.readChanges(now)...)
	}
	s.poll.recordSuccess(now, s.opts.PollInterval)
	return effects
}

func laterOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
