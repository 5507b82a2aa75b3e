package lease

import "time"

// takeoverTime returns when a row first seen now may be taken over: at once if
// it was released, otherwise after its holder's lease has run out on any clock.
// Random delays of up to RetryEvery keep candidates from colliding. Recently
// started candidates wait another RetryEvery, because the others know more about
// the endpoints.
func (m *Machine) takeoverTime(now time.Time, row Row) time.Time {
	if row.Released || m.disabled.takeoverWait {
		return now
	}
	wait := m.opts.compensateDrift(row.takeoverWait())
	spread := time.Duration(m.rng.Int64N(int64(m.opts.RetryEvery)))
	if now.Sub(m.startedAt) < startupPeriod {
		spread += m.opts.RetryEvery
	}
	return now.Add(wait + spread)
}

// startupPeriod is how long a process may know less than the others after it
// started.
const startupPeriod = 20 * time.Second

// isSuccessor reports whether an earlier process of this VM holds the lease. That
// process has ended, so this one may take over at once. It should not do so while
// other candidates have kept running, because they know more.
func (m *Machine) isSuccessor() bool {
	return m.observedRow.revision > 0 && m.observedRow.row.Holder == m.opts.VM && !m.isOwnRow() && !m.observedRow.row.Released
}

// allowSuccession lets this process take over from an earlier one of its VM at
// once if all other candidates have started since the row was written.
func (m *Machine) allowSuccession(now time.Time, regs []Registration) {
	for _, r := range regs {
		if r.VM != m.opts.VM && r.Revision < m.observedRow.revision {
			return
		}
	}
	m.observedRow.takeoverAt = now
}

// canTakeOver reports whether the latest known row may be taken over. A row
// that does not exist may be once no lease of an earlier era lasts, or by the holder
// of that lease.
func (m *Machine) canTakeOver(now time.Time) bool {
	if m.observedRow.revision == 0 {
		return m.observedRow.hasRead && (m.held.active || !now.Before(m.observedRow.takeoverAt))
	}
	if now.Before(m.observedRow.takeoverAt) {
		return false
	}
	return !m.isUnlisted() || m.observedRow.holderGone
}

// isUnlisted reports whether this VM is not listed in the row, so that the
// holder does not request promises from it. It is false if the row has no
// Promise, because such a holder requests none.
func (m *Machine) isUnlisted() bool {
	if m.observedRow.row.Promise == 0 {
		return false
	}
	return m.observedRow.revision > 0 && !m.observedRow.row.Released && !m.observedRow.row.isListed(m.opts.VM) && !m.disabled.listedOnly
}

// updateHolderGone records whether the holder is absent from the platform's list
// of VMs. It ignores a list that may be older than the holder's term.
func (m *Machine) updateHolderGone(now time.Time) {
	if m.observedRow.revision == 0 || now.Sub(m.observedRow.termChangedAt) < m.opts.compensateDrift(m.opts.VMListLag) {
		return
	}
	m.observedRow.holderGone = m.presence.isAbsent(m.observedRow.row.Holder)
}

// takeOver begins a new term. It keeps the list of candidates and adds this VM;
// the first renewal updates the list.
func (m *Machine) takeOver(now time.Time) {
	row := m.newRow(now, max(m.observedRow.row.Term+1, firstTerm(m.era)))
	row.Candidates = withCandidate(m.observedRow.row.Candidates, m.self())
	if m.observedRow.revision == 0 {
		row.Candidates = withCandidate(m.previous.candidates, m.self())
	}
	m.sendWrite(now, row)
}
