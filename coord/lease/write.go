package lease

import (
	"strconv"
	"time"
)

// writeRow renews, releases or takes over the row after a fresh read, unless a
// promise forbids it or an earlier write is not yet settled. After a lost answer, which
// is read back at once, the next write waits for RetryEvery.
func (m *Machine) writeRow(now time.Time, ev RowsRead) {
	if m.isBoundByPromise(now) || !m.attempts.isReadBack(ev.Read) {
		return
	}
	if m.answerLost && now.Sub(m.sentAt) < m.opts.RetryEvery {
		return
	}
	switch {
	case m.isOwnRow() && m.stopping:
		m.release(now)
	case m.isOwnRow():
		m.renew(now, ev)
	case !m.stopping && m.canTakeOver(now):
		m.takeOver(now)
	}
}

func (m *Machine) sendWrite(now time.Time, row Row) {
	m.writes++
	m.sentAt, m.answerLost = now, false
	row.Token = m.opts.Incarnation + "-" + strconv.FormatUint(m.writes, 10)
	m.attempts.list = append(m.attempts.list, attempt{row: row, revision: m.observedRow.revision, sentAt: now})
	m.emit(WriteRow{Era: m.era, Key: Key(m.opts.DataCentre), Revision: m.observedRow.revision, Row: row})
}

// newRow returns the row to write in a term, without its candidates. It keeps an
// earlier holder's longer order timeout until that holder's orders have ended.
func (m *Machine) newRow(now time.Time, term uint64) Row {
	row := Row{
		Term: term, Holder: m.opts.VM, Incarnation: m.opts.Incarnation,
		Duration: m.opts.Duration, Promise: m.opts.Promise, OrderTimeout: m.opts.OrderTimeout,
	}
	settled := m.held.active && m.held.term == term && !now.Before(m.held.unfencedFrom)
	if !settled {
		row.OrderTimeout = max(row.OrderTimeout, m.observedRow.row.OrderTimeout)
	}
	return row
}

func (m *Machine) renew(now time.Time, ev RowsRead) {
	row := m.newRow(now, m.observedRow.row.Term)
	row.Renewal = m.observedRow.row.Renewal + 1
	row.Candidates = m.observedRow.row.Candidates
	if m.read.allRegistrations {
		row.Candidates = m.pruneCandidates(now, m.withPreviousEra(now, ev.Registrations))
	}
	m.sendWrite(now, row)
}

// release writes the row as released, so that any candidate may take over at
// once. It removes this process from the list, as it never takes over again.
func (m *Machine) release(now time.Time) {
	if m.observedRow.row.Released {
		return
	}
	row := m.newRow(now, m.observedRow.row.Term)
	row.Renewal = m.observedRow.row.Renewal + 1
	row.Released = true
	row.Candidates = withoutCandidate(m.observedRow.row.Candidates, m.opts.VM)
	m.sendWrite(now, row)
}
