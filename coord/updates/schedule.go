package updates

import "time"

// List is a list of the platform that nodes read.
type List int

// Lists.
const (
	ListOperators List = iota
	ListVMs
	ListQuarantine
	lists // the number of lists
)

// attempt is what is known of a node's own reads of a list.
type attempt struct {
	// failedAt is when the last read failed, or zero if it succeeded.
	failedAt time.Time
	// idle is whether a peer has replaced this node's reads since the last one, and
	// oldSince when that peer's data were first found to be old, or zero.
	idle     bool
	oldSince time.Time
	// random places the next read within its pause.
	random float64
}

// works reports whether the node reads the list by itself without failures.
func (a *attempt) works() bool { return !a.idle && a.failedAt.IsZero() }

// Pauses are the pauses after failed reads where reads are not spread out.
type Pauses struct {
	// Reader and Follower are those for operators and VMs, by whether the node is the
	// reader. Quarantine is that for quarantined parts.
	Reader, Follower, Quarantine time.Duration
}

// Schedule decides when a node reads the lists.
type Schedule struct {
	pauses   Pauses
	random   func() float64 // in [0, 1)
	attempts [lists]attempt
}

// NewSchedule returns a schedule without any reads.
func NewSchedule(p Pauses, random func() float64) *Schedule {
	return &Schedule{pauses: p, random: random}
}

const (
	// CheckInterval is the interval at which a node that need not read now asks its
	// schedule again.
	CheckInterval = 100 * time.Millisecond
	// peerRetryPause is the shortest pause between failed reads of a node that has
	// fresh data from a peer.
	peerRetryPause = 2 * time.Second
	// otherListsFactor multiplies the reader's pauses between reads of other lists
	// than VMs. It leaves room for two nodes that each take themselves for the reader.
	otherListsFactor = 3
)

// Record records the result of a read. The first success after a failure makes the
// other lists due, because the platform has probably returned for all of them.
func (s *Schedule) Record(now time.Time, l List, failed bool) {
	if !failed && !s.attempts[l].failedAt.IsZero() {
		for i := range s.attempts {
			s.attempts[i].failedAt = time.Time{}
		}
	}
	s.attempts[l] = attempt{random: s.random()}
	if failed {
		s.attempts[l].failedAt = now
	}
}

// Until returns the time until the next read of a list, zero or less if it is due.
// Answers of peers change it, so that it must be asked again after CheckInterval.
// hasPeerUpdates reports whether peers keep the node up to date; it counts only where
// reads are not spread out. There the caller keeps the pauses after failures itself.
func (s *Schedule) Until(now time.Time, l List, spread Spread, hasPeerUpdates bool) time.Duration {
	a := &s.attempts[l]
	switch {
	case !spread.IsActive() && hasPeerUpdates:
		a.idle, a.oldSince = true, time.Time{}
		return CheckInterval
	case !spread.IsActive():
		a.oldSince = time.Time{}
		return 0
	case spread.Fresh:
		a.idle, a.oldSince = true, time.Time{}
		return s.untilRetry(now, l, spread)
	case spread.Role == RoleReader:
		return s.untilReaderRead(now, l)
	}
	return s.untilSpreadRead(now, l, spread)
}

// untilRetry returns the time until the next read while a peer has fresh data. Only
// VMs are read, to find out whether this node can read again.
func (s *Schedule) untilRetry(now time.Time, l List, spread Spread) time.Duration {
	a := &s.attempts[l]
	if l != ListVMs || a.failedAt.IsZero() {
		a.failedAt = time.Time{}
		return CheckInterval
	}
	pause := max(peerRetryPause, spread.Pause(s.pauses.Follower))
	return a.failedAt.Add(Jitter(pause, a.random)).Sub(now)
}

// untilReaderRead returns the time until the next read of the reader while no other
// node has fresh data. While VMs can't be read, the other lists are read more rarely.
func (s *Schedule) untilReaderRead(now time.Time, l List) time.Duration {
	a := &s.attempts[l]
	if a.failedAt.IsZero() {
		return 0
	}
	pause := s.pauses.Reader
	if l == ListQuarantine {
		pause = s.pauses.Quarantine
	}
	if l != ListVMs && !s.attempts[ListVMs].failedAt.IsZero() {
		pause *= otherListsFactor
	}
	return a.failedAt.Add(pause).Sub(now)
}

// untilSpreadRead returns the time until the next read of a node that isn't the
// reader while no peer has fresh data. It reads only VMs until that succeeds.
func (s *Schedule) untilSpreadRead(now time.Time, l List, spread Spread) time.Duration {
	a := &s.attempts[l]
	base := s.pauses.Follower
	if l == ListQuarantine {
		base = max(base, s.pauses.Quarantine)
	}
	switch {
	case l != ListVMs && !s.attempts[ListVMs].works():
		return CheckInterval
	case !a.failedAt.IsZero():
		return a.failedAt.Add(Jitter(spread.Pause(base), a.random)).Sub(now)
	case a.idle && l == ListVMs:
		if a.oldSince.IsZero() {
			a.oldSince, a.random = now, s.random()
		}
		return a.oldSince.Add(spread.FirstPause(base, a.random)).Sub(now)
	}
	return 0
}
