package lease

import "time"

// takeoverAt returns when a row first seen now may be taken over: at once if
// it was released, else after its holder's lease has run out on any clock.
// Candidates are spread over RetryEvery so that few of them collide. Those that
// have started lately come after the others, who know more of the endpoints.
func (m *Machine) takeoverAt(now time.Time, row Row) time.Time {
	if row.Released || m.off.takeoverWait {
		return now
	}
	wait := m.opts.stretch(row.wait())
	spread := time.Duration(m.rng.Int64N(int64(m.opts.RetryEvery)))
	if now.Sub(m.startedAt) < newFor {
		spread += m.opts.RetryEvery
	}
	return now.Add(wait + spread)
}

// newFor is how long after its start a process may lack what others know.
const newFor = 20 * time.Second

// succeeds reports whether an earlier process of this VM holds the lease. It is
// dead, so that this one may take over at once; but where other candidates have
// gone on running, they know more and do better.
func (m *Machine) succeeds() bool {
	return m.seen.revision > 0 && m.seen.row.Holder == m.opts.VM && !m.mine() && !m.seen.row.Released
}

// succeedAlone lets this process take over from an earlier one of its VM if all
// other candidates have started since the row was written.
func (m *Machine) succeedAlone(now time.Time, regs []Registration) {
	for _, r := range regs {
		if r.VM != m.opts.VM && r.Revision < m.seen.revision {
			return
		}
	}
	m.seen.takeoverAt = now
}

// mayTakeOver reports whether the row as last read may be taken over. A row
// that does not exist may be: there is no earlier holder.
func (m *Machine) mayTakeOver(now time.Time) bool {
	if m.seen.revision == 0 {
		return m.seen.known
	}
	if now.Before(m.seen.takeoverAt) {
		return false
	}
	return !m.newcomer() || m.seen.holderGone
}

// newcomer reports whether this VM is not listed in the row, so that its
// holder does not ask it for promises. A holder whose row names no promises
// asks nobody.
func (m *Machine) newcomer() bool {
	if m.seen.row.Promise == 0 {
		return false
	}
	return m.seen.revision > 0 && !m.seen.row.Released && !m.seen.row.lists(m.opts.VM) && !m.off.listed
}

// watchHolder notes whether the platform's list of VMs lacks the holder. A
// list that may be older than the holder's term proves nothing.
func (m *Machine) watchHolder(now time.Time) {
	if m.seen.revision == 0 || now.Sub(m.seen.termAt) < m.opts.stretch(m.opts.VMListLag) {
		return
	}
	m.seen.holderGone = m.presence.absent(m.seen.row.Holder)
}

// takeOver begins a new term. The list of candidates stays as it was but for
// this VM; the first renewal brings it up to date.
func (m *Machine) takeOver(now time.Time) {
	row := m.newRow(now, m.seen.row.Term+1)
	row.Candidates = withCandidate(m.seen.row.Candidates, m.self())
	m.send(now, row)
}
