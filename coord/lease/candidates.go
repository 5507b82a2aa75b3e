package lease

import "time"

// register keeps this VM's registration in the table, or removes it once a
// planned stop has begun.
func (m *Machine) register(regs []Registration) {
	key := CandidateKey(m.opts.DataCentre, m.opts.VM)
	var own Registration
	for _, r := range regs {
		if r.VM == m.opts.VM {
			own = r
		}
	}
	m.registered = own.Candidate == m.self()
	switch {
	case m.stopping && m.registered:
		m.emit(RemoveCandidate{Key: key, Revision: own.Revision})
	case !m.stopping && !m.registered:
		m.emit(RegisterCandidate{Key: key, Revision: own.Revision, Candidate: m.self()})
	}
}

// liveCandidates returns the registered candidates and this VM, without
// those whose VM is gone, whose registrations it removes. A candidate that is
// left out by error registers again and cannot take over before it is listed.
func (m *Machine) liveCandidates(now time.Time, regs []Registration) []Candidate {
	var list []Candidate
	for _, r := range regs {
		if r.VM != m.opts.VM && m.presence.gone(now, r.VM, m.opts.VMListLag) {
			m.emit(RemoveCandidate{Key: CandidateKey(m.opts.DataCentre, r.VM), Revision: r.Revision})
			continue
		}
		list = append(list, r.Candidate)
	}
	return withCandidate(list, m.self())
}

// presence is what the platform's lagging list of VMs has shown.
type presence struct {
	listed map[string]bool
	// known holds the VMs that were listed at any time, absentSince when a
	// VM was first asked for while it was not listed.
	known       map[string]bool
	absentSince map[string]time.Time
	read        bool
	at          time.Time
}

func newPresence() presence {
	return presence{listed: map[string]bool{}, known: map[string]bool{}, absentSince: map[string]time.Time{}}
}

func (p *presence) update(now time.Time, vms []string) {
	p.read = true
	p.at = now
	clear(p.listed)
	for _, vm := range vms {
		p.listed[vm] = true
		p.known[vm] = true
		delete(p.absentSince, vm)
	}
}

// absent reports whether the newest list lacks the VM.
func (p *presence) absent(vm string) bool {
	return p.read && !p.listed[vm]
}

// gone reports whether a VM is absent and not merely too new to be listed.
func (p *presence) gone(now time.Time, vm string, lag time.Duration) bool {
	if !p.absent(vm) {
		return false
	}
	if p.known[vm] {
		return true
	}
	since, ok := p.absentSince[vm]
	if !ok {
		p.absentSince[vm] = now
		return false
	}
	return now.Sub(since) >= lag
}
