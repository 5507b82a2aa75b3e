package entry

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
	"github.com/pimentoshore/pimentoshore/coord/news"
)

// toldFor is how long an answer of another node stands in for own reads.
const toldFor = 700 * time.Millisecond

// Position returns what this node knows already.
func (s *State) Position() news.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.record.Position()
	p.Suspects = s.suspects.ForRequest(s.now())
	return p
}

// HasPeerUpdates implements watch.Observer. A node that can't read from the platform
// tries again now and then, also while others tell it what is new.
func (s *State) HasPeerUpdates() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.readFailedAt.IsZero() && now.Sub(s.readFailedAt) >= readAgain {
		return false
	}
	return s.told(now)
}

// readAgain is how long a node that is told what is new waits after a failed
// read of its own.
const readAgain = 2 * time.Second

// told reports whether another node tells this one what is new. mu is held.
func (s *State) told(now time.Time) bool {
	return toldLately(s.toldAt, now)
}

// toldHome reports whether another node of the same data centre does. mu is
// held.
func (s *State) toldHome(now time.Time) bool {
	return toldLately(s.toldAtHome, now)
}

// toldLately reports whether an answer at a time still stands in for own reads.
func toldLately(at, now time.Time) bool { return !at.IsZero() && now.Sub(at) < toldFor }

// Answer tells another node what it doesn't know yet.
func (s *State) Answer(after news.Position) news.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.suspects.AddFromRequest(now, after.Suspects)
	view := s.view.Load()
	if view == nil || !s.listed {
		return news.Answer{}
	}
	a := news.Answer{
		Known: true, Borrowed: s.unreadable(now) && s.told(now), OperatorsAge: now.Sub(view.AsOf), VMsAge: now.Sub(s.listedAsOf),
		Operators: s.record.OperatorsAfter(after.Operators), VMs: s.record.VMsAfter(after.VMs, after.ReceivedVMs == after.VMs),
		Mark: now.UnixNano(), Suspects: s.suspects.ForAnswer(now), Broken: s.targets.Broken(),
	}
	if !s.regainedAt.IsZero() {
		age := now.Sub(s.regainedAt)
		a.RegainedAge = &age
	}
	for _, vm := range s.vms.All() {
		if vm.Rank == 0 && vm.Group != "" && vm.Listed && vm.FailedProbes == 0 && vm.ReceivedAt.UnixNano() >= after.Mark {
			a.Reports = append(a.Reports, news.Report{
				VM: vm.ID, Age: now.Sub(vm.ReportedAt), Report: fleet.Report{State: vm.State, Load: vm.Load},
			})
		}
		if vm.Leaving && vm.Listed && vm.LeavingAt.UnixNano() >= after.Mark {
			a.Leaving = append(a.Leaving, news.Leaving{VM: vm.ID, Born: vm.Born})
		}
	}
	return a
}

// ApplyAnswer takes in what another node has answered to a question that was sent at
// a time. Ages are counted from there, so that they are never too low. home is
// whether it is of the same data centre: what it finds broken is so from here.
func (s *State) ApplyAnswer(asked time.Time, home bool, a news.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Operators != nil {
		s.takeOperators(asked.Add(-a.OperatorsAge), *a.Operators)
	}
	if a.RegainedAge != nil {
		if at := asked.Add(-*a.RegainedAge); at.After(s.regainedAt) {
			s.regainedAt = at
		}
	}
	if a.VMs != nil {
		s.takeVMs(asked.Add(-a.VMsAge), *a.VMs)
	}
	for _, r := range a.Reports {
		s.vms.ApplyRelayed(s.now(), asked.Add(-r.Age), r.VM, r.Report)
	}
	for _, l := range a.Leaving {
		s.vms.MarkLeaving(s.now(), l.VM, l.Born)
	}
	s.suspects.AddFromAnswer(asked, a.Suspects)
	s.toldAt = s.now()
	if home {
		s.toldAtHome = s.toldAt
		s.targets.SetReportedBroken(a.Broken)
		s.outdated = s.outdated || len(a.Broken) > 0
	}
}

// ClearPeerUpdates notes that no other node tells this one anything now.
func (s *State) ClearPeerUpdates() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.toldAt, s.toldAtHome = time.Time{}, time.Time{}
}

// IsPlatformUnreachable reports whether the platform does not answer this node, so that
// what it read last grows old.
func (s *State) IsPlatformUnreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unreadable(s.now())
}

// unreadable is Unreadable with mu held.
func (s *State) unreadable(now time.Time) bool {
	if s.readFailedAt.IsZero() {
		return false
	}
	return now.Sub(s.readAt) > readOld
}

// readOld is the age of what a node itself read last from which a failed read
// makes it ask any other node.
const readOld = 800 * time.Millisecond
