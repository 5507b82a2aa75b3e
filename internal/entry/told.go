package entry

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
	"github.com/pimentoshore/pimentoshore/coord/news"
)

// peerAnswerTTL is how long an answer of another node stands in for own reads.
const peerAnswerTTL = 700 * time.Millisecond

// Position returns what this node knows already.
func (s *State) Position() news.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.record.Position()
	p.Suspects = s.suspects.Up(s.now())
	return p
}

// Told implements watch.Observer. A node that can't read from the platform
// tries again now and then, also while others tell it what is new.
func (s *State) Told() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.readFailedAt.IsZero() && now.Sub(s.readFailedAt) >= readRetryDelay {
		return false
	}
	return s.hasPeerUpdates(now)
}

// readRetryDelay is how long a node that is told what is new waits after a failed
// read of its own.
const readRetryDelay = 2 * time.Second

// told reports whether another node tells this one what is new. mu is held.
func (s *State) hasPeerUpdates(now time.Time) bool {
	return isRecent(s.peerAnsweredAt, now)
}

// hasLocalPeerUpdates reports whether another node of the same data centre does. mu is
// held.
func (s *State) hasLocalPeerUpdates(now time.Time) bool {
	return isRecent(s.localPeerAnsweredAt, now)
}

// isRecent reports whether an answer at a time still stands in for own reads.
func isRecent(at, now time.Time) bool { return !at.IsZero() && now.Sub(at) < peerAnswerTTL }

// Answer tells another node what it doesn't know yet.
func (s *State) Answer(after news.Position) news.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.suspects.Asked(now, after.Suspects)
	view := s.view.Load()
	if view == nil || !s.listed {
		return news.Answer{}
	}
	a := news.Answer{
		Known: true, Borrowed: s.isPlatformUnreachable(now) && s.hasPeerUpdates(now), OperatorsAge: now.Sub(view.AsOf), VMsAge: now.Sub(s.listedAsOf),
		Operators: s.record.OperatorsAfter(after.Operators), VMs: s.record.VMsAfter(after.VMs, after.Told == after.VMs),
		Mark: now.UnixNano(), Suspects: s.suspects.Down(now), Broken: s.targets.Broken(),
	}
	if !s.vmReadRecoveredAt.IsZero() {
		age := now.Sub(s.vmReadRecoveredAt)
		a.RegainedAge = &age
	}
	for _, vm := range s.vms.All() {
		if vm.Rank == 0 && vm.Group != "" && vm.Listed && vm.FailedProbes == 0 && vm.LearnedAt.UnixNano() >= after.Reports {
			a.Reports = append(a.Reports, news.Report{
				VM: vm.ID, Age: now.Sub(vm.HeardAt), Report: fleet.Report{State: vm.State, Load: vm.Load},
			})
		}
		if vm.Leaving && vm.Listed && vm.LeavingAt.UnixNano() >= after.Reports {
			a.Leaving = append(a.Leaving, news.Leaving{VM: vm.ID, Born: vm.Born})
		}
	}
	return a
}

// Hear takes in what another node has answered to a question that was sent at
// a time. Ages are counted from there, so that they are never too low. home is
// whether it is of the same data centre: what it finds broken is so from here.
func (s *State) Hear(asked time.Time, home bool, a news.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Operators != nil {
		s.applyOperators(asked.Add(-a.OperatorsAge), *a.Operators)
	}
	if a.RegainedAge != nil {
		if at := asked.Add(-*a.RegainedAge); at.After(s.vmReadRecoveredAt) {
			s.vmReadRecoveredAt = at
		}
	}
	if a.VMs != nil {
		s.applyVMs(asked.Add(-a.VMsAge), *a.VMs)
	}
	for _, r := range a.Reports {
		s.vms.ApplyRelayed(s.now(), asked.Add(-r.Age), r.VM, r.Report)
	}
	for _, l := range a.Leaving {
		s.vms.NoteLeaving(s.now(), l.VM, l.Born)
	}
	s.suspects.Told(asked, a.Suspects)
	s.peerAnsweredAt = s.now()
	if home {
		s.localPeerAnsweredAt = s.peerAnsweredAt
		s.targets.SetTold(a.Broken)
		s.targetsOutdated = s.targetsOutdated || len(a.Broken) > 0
	}
}

// Alone notes that no other node tells this one anything now.
func (s *State) Alone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerAnsweredAt, s.localPeerAnsweredAt = time.Time{}, time.Time{}
}

// Unreadable reports whether the platform does not answer this node, so that
// what it read last grows old.
func (s *State) Unreadable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isPlatformUnreachable(s.now())
}

// unreadable is Unreadable with mu held.
func (s *State) isPlatformUnreachable(now time.Time) bool {
	if s.readFailedAt.IsZero() {
		return false
	}
	return now.Sub(s.readAt) > staleReadAge
}

// staleReadAge is the age of what a node itself read last from which a failed read
// makes it ask any other node.
const staleReadAge = 800 * time.Millisecond
