package entry

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/updates"
)

// peerAnswerTTL is how long an answer from a peer replaces this node's own reads
// of the platform.
const peerAnswerTTL = 700 * time.Millisecond

// Position returns the versions that this node has already received.
func (s *State) Position() updates.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.record.Position()
	if s.cat != nil && !s.cat.StatesKeys() && s.rereadVersion != s.cat.Version {
		p.Operators = updates.Revision{} // the platform's row states the rule for keys
	}
	p.Suspects = s.suspects.ForRequest(s.now())
	p.Learned = s.learnedSince(s.now(), s.reportedSince, true)
	p.Demand = s.demand.Below(s.now())
	if s.peerCatalogOutdated {
		p.Catalog = s.cat
	}
	return p
}

// HasPeerUpdates implements watch.Observer. It reports whether peers keep this
// node up to date. From readRetryDelay after a failed read it returns false
// regardless, so that the node retries the read. Where reads are spread out,
// updates.Schedule decides instead.
func (s *State) HasPeerUpdates() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.readFailedAt.IsZero() && now.Sub(s.readFailedAt) >= readRetryDelay {
		return false
	}
	return s.hasPeerUpdates(now)
}

// readRetryDelay is how long a node that receives updates from peers waits after
// a failed read of the platform.
const readRetryDelay = 2 * time.Second

// hasPeerUpdates reports whether a peer has answered within peerAnswerTTL. s.mu
// must be held.
func (s *State) hasPeerUpdates(now time.Time) bool {
	return isRecent(s.peerAnsweredAt, now)
}

// hasLocalPeerUpdates reports whether a peer in the same data centre has answered
// within peerAnswerTTL. s.mu must be held.
func (s *State) hasLocalPeerUpdates(now time.Time) bool {
	return isRecent(s.localPeerAnsweredAt, now)
}

// isRecent reports whether an answer received at the given time still replaces
// own reads.
func isRecent(at, now time.Time) bool { return !at.IsZero() && now.Sub(at) < peerAnswerTTL }

// Answer returns the updates that a peer at the given position lacks.
func (s *State) Answer(after updates.Position) updates.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.suspects.AddFromRequest(now, after.Suspects)
	s.applyLearned(now, after.Learned)
	s.demand.RecordRequester(now, after.VM, after.Demand)
	s.applyRequesterCatalog(after.Catalog)
	view := s.view.Load()
	if view == nil || !s.listed {
		return updates.Answer{}
	}
	a := updates.Answer{
		Known: true, Borrowed: s.isPlatformUnreachable(now) && s.hasPeerUpdates(now) && !s.relaysSource, OperatorsAge: now.Sub(view.AsOf), VMsAge: now.Sub(s.listedAsOf),
		Operators: s.record.OperatorsAfter(after), VMs: s.record.VMsAfter(after.VMs, after.ReceivedVMs == after.VMs),
		Era:            s.record.Position().VMs.Era,
		CatalogVersion: s.cat.Version,
		Mark:           now.UnixNano(), Suspects: s.suspects.ForAnswer(now), Broken: s.targets.Broken(),
		Learned: s.learnedSince(now, time.Unix(0, after.Mark), false),
		Demand:  s.demand.Total(now),
	}
	if a.Operators != nil {
		a.Returns = s.record.Returns(now)
	}
	if !s.vmReadRecoveredAt.IsZero() {
		age := now.Sub(s.vmReadRecoveredAt)
		a.RegainedAge = &age
	}
	for _, vm := range s.vms.All() {
		if vm.Rank == 0 && vm.Group != "" && !vm.IsStandby() && vm.Listed && vm.FailedProbes == 0 && vm.ReceivedAt.UnixNano() >= after.Mark {
			a.Reports = append(a.Reports, updates.Report{
				VM: vm.ID, Age: now.Sub(vm.ReportedAt), Report: vm.Report(now),
			})
		}
	}
	return a
}

// applyRequesterCatalog puts a peer's configuration in force if it is newer than
// this node's, which can be if the platform came back from an older copy. s.mu must
// be held.
func (s *State) applyRequesterCatalog(c *catalog.Catalog) {
	if c != nil && s.isValid(c) && s.record.PutCatalog(c) {
		s.setCatalog(time.Time{})
	}
}

// ApplyAnswer applies a peer's answer to a request that was sent at asked. Ages
// are counted from that time, so that they are never too low. sameDC says whether
// the peer is in the same data centre; only then do the groups that it finds
// broken count as broken here too.
func (s *State) ApplyAnswer(asked time.Time, sameDC bool, a updates.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Operators != nil {
		s.applyOperators(asked.Add(-a.OperatorsAge), *a.Operators)
		if a.Returns != nil {
			s.record.PutReturns(s.now(), a.Operators.Revision(), a.Returns)
		}
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
	s.suspects.AddFromAnswer(asked, a.Suspects)
	s.applyLearned(asked, a.Learned)
	s.demand.RecordTotal(s.now(), a.Demand)
	s.recordReported(asked, a.Process)
	s.peerCatalogOutdated = s.cat != nil && a.Known && a.CatalogVersion < s.cat.Version
	s.peerAnsweredAt = s.now()
	if sameDC {
		s.localPeerAnsweredAt = s.peerAnsweredAt
		s.targets.SetReportedBroken(a.Broken)
		s.targetsOutdated = s.targetsOutdated || len(a.Broken) > 0
	}
}

// SetSource records whether this node is one of so many that reads are spread out,
// and whether the peer that answered may be followed at any time. Then this node's
// answers count as its own, because requests to such peers never form a cycle.
func (s *State) SetSource(spreadsReads, precedes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spreadsReads, s.relaysSource = spreadsReads, spreadsReads && precedes
}

// ReadsPlatform reports whether this node's own reads of VMs succeed.
func (s *State) ReadsPlatform() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readFailedAt.IsZero() && !s.readAt.IsZero() && s.now().Sub(s.readAt) < ownReadTTL
}

// ownReadTTL is about twice the longest wait and round trip of a read.
const ownReadTTL = 1500 * time.Millisecond

// ClearPeerUpdates records that no peer currently provides updates.
func (s *State) ClearPeerUpdates() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerAnsweredAt, s.localPeerAnsweredAt = time.Time{}, time.Time{}
}

// IsPlatformUnreachable reports whether reads of the platform fail and this
// node's last successful read is older than staleReadAge.
func (s *State) IsPlatformUnreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isPlatformUnreachable(s.now())
}

// isPlatformUnreachable implements IsPlatformUnreachable. s.mu must be held.
func (s *State) isPlatformUnreachable(now time.Time) bool {
	if s.readFailedAt.IsZero() {
		return false
	}
	return now.Sub(s.readAt) > staleReadAge
}

// staleReadAge is the age of a node's last successful read above which a failed
// read makes it ask any peer.
const staleReadAge = 800 * time.Millisecond
