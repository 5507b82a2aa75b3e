package lease

import "time"

// updateRegistration writes this VM's registration if it is missing, or
// removes it in a planned stop.
func (m *Machine) updateRegistration(regs []Registration) {
	key := CandidateKey(m.opts.DataCentre, m.opts.VM)
	var own Registration
	for _, r := range regs {
		if r.VM == m.opts.VM {
			own = r
		}
	}
	m.registered = own.Candidate == m.self()
	switch {
	case m.stopping && m.registered && !m.keepsRegistered:
		m.emit(RemoveCandidate{Era: m.era, Key: key, Revision: own.Revision})
	case !m.stopping && !m.registered:
		m.emit(RegisterCandidate{Era: m.era, Key: key, Revision: own.Revision, Candidate: m.self()})
	}
}

// pruneCandidates returns the registered candidates and this VM. It leaves out
// candidates whose VM is gone and removes their registrations. A candidate
// removed by mistake registers again and cannot take over until it is listed.
func (m *Machine) pruneCandidates(now time.Time, regs []Registration) []Candidate {
	var list []Candidate
	for _, r := range regs {
		if r.VM != m.opts.VM && m.presence.isGone(now, r.VM, m.opts.VMListLag) {
			m.emit(RemoveCandidate{Era: m.era, Key: CandidateKey(m.opts.DataCentre, r.VM), Revision: r.Revision})
			continue
		}
		list = append(list, r.Candidate)
	}
	return withCandidate(list, m.self())
}

// presence records which VMs the platform's list, which may be stale, has shown.
type presence struct {
	listed map[string]bool
	// everListed contains the VMs that were listed at any time. absentSince is when
	// isGone was first called for a VM that was not listed.
	everListed  map[string]bool
	absentSince map[string]time.Time
	hasList     bool
	updatedAt   time.Time
}

func newPresence() presence {
	return presence{listed: map[string]bool{}, everListed: map[string]bool{}, absentSince: map[string]time.Time{}}
}

func (p *presence) update(now time.Time, vms []string) {
	p.hasList = true
	p.updatedAt = now
	clear(p.listed)
	for _, vm := range vms {
		p.listed[vm] = true
		p.everListed[vm] = true
		delete(p.absentSince, vm)
	}
}

// isAbsent reports whether the newest list does not contain the VM.
func (p *presence) isAbsent(vm string) bool {
	return p.hasList && !p.listed[vm]
}

// isGone reports whether a VM is absent for a reason other than being too new to
// be listed: it was listed before, or has been absent for at least lag.
func (p *presence) isGone(now time.Time, vm string, lag time.Duration) bool {
	if !p.isAbsent(vm) {
		return false
	}
	if p.everListed[vm] {
		return true
	}
	since, ok := p.absentSince[vm]
	if !ok {
		p.absentSince[vm] = now
		return false
	}
	return now.Sub(since) >= lag
}
