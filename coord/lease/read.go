package lease

import "time"

// startRead sends the next read when it is due. Reads and writes of one node
// never overlap, so that each write follows a fresh read.
func (m *Machine) startRead(now time.Time) {
	if m.read.inFlight || m.hasWriteInFlight() || now.Before(m.read.next) || m.isReadDeferred(now) {
		return
	}
	m.read.lastID++
	m.read.inFlight = true
	m.read.allRegistrations = m.isOwnRow() || m.isSuccessor()
	m.emit(ReadRows{
		ID:  m.read.lastID,
		Key: Key(m.opts.DataCentre),
		Own: CandidateKey(m.opts.DataCentre, m.opts.VM),
		All: m.read.allRegistrations,
		VMs: m.needsVMList(now),
	})
}

// needsVMList reports whether the next read should include the platform's list
// of VMs. A holder reads it every VMsEvery. An unlisted candidate reads it from
// takeoverAt on, when the row has been unchanged long enough.
func (m *Machine) needsVMList(now time.Time) bool {
	if m.isOwnRow() {
		return !m.presence.hasList || now.Sub(m.presence.updatedAt) >= m.opts.VMsEvery
	}
	return m.isUnlisted() && !now.Before(m.observedRow.takeoverAt)
}

// hasWriteInFlight reports whether a write has not been answered yet.
func (m *Machine) hasWriteInFlight() bool {
	for _, a := range m.attempts.list {
		if !a.answerLost {
			return true
		}
	}
	return false
}

func (m *Machine) handleReadFailed(now time.Time, ev ReadFailed) {
	if !m.read.inFlight || ev.Read != m.read.lastID {
		return
	}
	m.read.inFlight = false
	m.read.next = now.Add(m.retryInterval(now))
	m.outage.failedAt, m.outage.random = now, m.outage.rng.Float64()
}

// retryInterval returns the delay after a failed read. It is the normal poll
// interval for a node that neither holds the lease nor has to settle a write.
func (m *Machine) retryInterval(now time.Time) time.Duration {
	if m.isOwnRow() || m.stopping || m.attempts.hasUnsettled() {
		return m.opts.RetryEvery
	}
	return m.pollInterval(now)
}

func (m *Machine) handleRowsRead(now time.Time, ev RowsRead) {
	if !m.read.inFlight || ev.Read != m.read.lastID {
		return
	}
	m.read.inFlight = false
	m.read.answeredAt = now
	m.outage.failedAt = time.Time{}
	m.enterEra(now, ev.Era)
	if ev.Era < m.era || ev.Revision < m.observedRow.revision {
		m.read.next = now.Add(m.opts.RetryEvery)
		return
	}
	m.observeRow(now, ev)
	if ev.VMsKnown {
		m.presence.update(now, ev.VMs)
		m.updateHolderGone(now)
	}
	if m.read.allRegistrations && m.isSuccessor() {
		m.allowSuccession(now, ev.Registrations)
	}
	m.updateRegistration(ev.Registrations)
	m.writeRow(now, ev)
	m.scheduleRead(now)
}

// handleRowRelayed applies a row that another node has read. While relayed rows
// arrive, this node reads rarely, only to check its registration.
func (m *Machine) handleRowRelayed(now time.Time, ev RowRelayed) {
	if !m.observedRow.hasRead {
		return
	}
	m.enterEra(now, ev.Era)
	if ev.Era < m.era || ev.Revision <= m.observedRow.revision {
		return
	}
	m.read.relayedAt = now
	m.observeRow(now, RowsRead{Row: &ev.Row, Revision: ev.Revision})
	if m.read.inFlight || m.stopping || m.hasWriteInFlight() || m.isOwnRow() || m.attempts.hasUnsettled() || !m.registered {
		return
	}
	m.read.next = m.read.answeredAt.Add(relayedPollFactor * m.pollInterval(now))
	if due := m.observedRow.takeoverAt; due.Before(m.read.next) {
		m.read.next = due
	}
}

// relayedPollFactor multiplies the interval between a candidate's reads while
// other nodes relay the row to it.
const relayedPollFactor = 10

// observeRow records the row and uses it to settle this node's own writes.
func (m *Machine) observeRow(now time.Time, ev RowsRead) {
	m.observedRow.hasRead = true
	if ev.Row == nil || ev.Revision == m.observedRow.revision {
		return
	}
	own, found := m.attempts.find(ev.Row.Token)
	m.recordRow(now, *ev.Row, ev.Revision)
	switch {
	case found:
		m.applyWrite(now, own)
	case !m.isOwnRow():
		m.loseLease(Superseded)
	}
}

// recordRow records a new revision of the row.
func (m *Machine) recordRow(now time.Time, row Row, revision uint64) {
	if row.Term != m.observedRow.row.Term || m.observedRow.revision == 0 {
		m.observedRow.termChangedAt = now
		m.observedRow.holderGone = false
	}
	m.observedRow.row = row
	m.observedRow.revision = revision
	m.observedRow.changedAt = now
	m.observedRow.takeoverAt = m.takeoverTime(now, row)
	m.attempts.dropBefore(revision)
	if row.Released && m.isOwnRow() {
		m.emit(Released{Term: row.Term})
	}
}

// isReadingForOthers reports whether other nodes rely on this one's own reads. A
// node that receives relayed rows passes those on instead, and so does one of many
// nodes that gets answers of others.
func (m *Machine) isReadingForOthers(now time.Time) bool {
	r := &m.read
	requested := !r.requestedAt.IsZero() && now.Sub(r.requestedAt) < requestedReadPeriod
	relayed := !r.relayedAt.IsZero() && now.Sub(r.relayedAt) < relayedRenewals*m.opts.RenewEvery
	return requested && !relayed && !m.leavesReadsToOthers(now)
}

// handleRowRequested records that other nodes rely on this node's reads, and
// brings the next read forward if needed.
func (m *Machine) handleRowRequested(now time.Time) {
	m.read.requestedAt = now
	if !m.isReadingForOthers(now) {
		return
	}
	if next := m.read.answeredAt.Add(m.opts.PollEvery); m.observedRow.hasRead && next.Before(m.read.next) {
		m.read.next = next
	}
}

const (
	// requestedReadPeriod is how long a node reads for others after a request
	// for the row.
	requestedReadPeriod = time.Second
	// relayedRenewals is the number of renewal intervals for which a relayed row
	// replaces a node's own reads.
	relayedRenewals = 2
)

// pollInterval returns the interval between this candidate's reads.
func (m *Machine) pollInterval(now time.Time) time.Duration {
	limit, count := m.opts.PollersPerInterval, len(m.observedRow.row.Candidates)
	if limit <= 0 || count <= limit || m.isReadingForOthers(now) {
		return m.opts.PollEvery
	}
	return m.opts.PollEvery * time.Duration(count) / time.Duration(limit)
}

// scheduleRead sets the time of the next read after one was answered.
func (m *Machine) scheduleRead(now time.Time) {
	switch {
	case m.stopping:
		m.read.next = now.Add(m.opts.RetryEvery)
	case m.hasWriteInFlight():
		m.read.next = m.sentAt.Add(m.opts.RenewEvery)
	case m.isOwnRow() || m.isSuccessor() || m.attempts.hasUnsettled() || m.observedRow.revision == 0:
		m.read.next = now.Add(m.opts.RetryEvery)
	default:
		m.read.next = now.Add(m.pollInterval(now))
		due := m.observedRow.takeoverAt
		if now.Before(due) && due.Before(m.read.next) {
			m.read.next = due
		}
	}
}

// handleWriteAnswered settles a write, or schedules a read that settles it.
func (m *Machine) handleWriteAnswered(now time.Time, ev WriteAnswered) {
	a, ok := m.attempts.find(ev.Token)
	if !ok {
		return
	}
	switch ev.Outcome {
	case Applied:
		m.recordRow(now, a.row, ev.Revision)
		m.applyWrite(now, a)
	case Unknown:
		m.handleLostAnswer(now, a)
	case Conflict:
		m.attempts.drop(ev.Token)
		m.read.next = now
	case NotWritten:
		m.attempts.drop(ev.Token)
		m.read.next = now.Add(m.opts.RetryEvery)
	}
}

func (m *Machine) handleLostAnswer(now time.Time, a attempt) {
	m.answerLost = true
	if m.disabled.readBack {
		m.applyWrite(now, a)
	}
	m.attempts.markLost(a.row.Token, m.read.lastID+1)
	m.attempts.merge(now.Add(-m.opts.Duration))
	m.read.next = now
}
