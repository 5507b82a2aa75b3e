package entry

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
	"github.com/pimentoshore/pimentoshore/coord/updates"
)

// learnedSince returns what this node has learned since a time, or everything if
// since is zero. Ends of endpoints that are not confirmed are left out unless
// unconfirmed is set. s.mu must be held.
func (s *State) learnedSince(now, since time.Time, unconfirmed bool) updates.Learned {
	var l updates.Learned
	for _, vm := range s.vms.All() {
		if a, ok := announcementSince(now, since, vm); ok {
			l.Announced = append(l.Announced, a)
		}
	}
	if u := s.quarantine.UpdateSince(now, since, unconfirmed); !u.IsEmpty() {
		l.Quarantine = &u
	}
	return l
}

// announcementSince returns what a VM has said of itself, if any of it since a
// time.
func announcementSince(now, since time.Time, vm *fleet.VM) (updates.Announcement, bool) {
	limited := !vm.Limit.ChangedAt.IsZero()
	news := vm.Leaving && !vm.LeavingAt.Before(since) || limited && !vm.Limit.ChangedAt.Before(since)
	if !vm.Listed || !news {
		return updates.Announcement{}, false
	}
	a := updates.Announcement{VM: vm.ID, Born: vm.Born, Leaving: vm.Leaving}
	if limited {
		a.Limit = &updates.Limit{PerSecond: vm.Limit.PerSecond, Age: now.Sub(vm.Limit.At)}
	}
	return a, true
}

// applyLearned applies what a peer has learned, with ages from asOf. s.mu must be
// held.
func (s *State) applyLearned(asOf time.Time, l updates.Learned) {
	now := s.now()
	for _, a := range l.Announced {
		if a.Leaving {
			s.vms.MarkLeaving(now, a.VM, a.Born)
		}
		if a.Limit != nil && s.vms.SetLimit(now, asOf.Add(-a.Limit.Age), a.VM, a.Born, a.Limit.PerSecond) {
			s.log.Info("endpoint limits its requests", "endpoint", a.VM, "per_second", a.Limit.PerSecond, "from", "peer")
		}
	}
	if l.Quarantine == nil {
		return
	}
	added, released := s.quarantine.Apply(now, asOf, *l.Quarantine)
	s.logQuarantined(added, "peer")
	s.logReleased(released)
}

// recordReported records that a peer has answered a request sent at asked. It then
// knows what this node had learned by that time, unless another process answered
// before: then it gets everything with the next request. s.mu must be
// held.
func (s *State) recordReported(asked time.Time, process string) {
	s.reportedSince = asked
	if process != s.reportedTo {
		s.reportedTo, s.reportedSince = process, time.Time{}
	}
}
