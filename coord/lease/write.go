package lease

import (
	"strconv"
	"time"
)

// write renews, releases or takes over the row after a fresh read, if no
// earlier write stands in the way.
func (m *Machine) write(now time.Time, ev RowsRead) {
	if m.promised(now) || !m.attempts.readBack(ev.Read) {
		return
	}
	switch {
	case m.mine() && m.stopping:
		m.release(now)
	case m.mine():
		m.renew(now, ev)
	case !m.stopping && m.mayTakeOver(now):
		m.takeOver(now)
	}
}

func (m *Machine) send(now time.Time, row Row) {
	m.writes++
	m.sentAt = now
	row.Token = m.opts.Incarnation + "-" + strconv.FormatUint(m.writes, 10)
	m.attempts.list = append(m.attempts.list, attempt{row: row, revision: m.seen.revision, sentAt: now})
	m.emit(WriteRow{Key: Key(m.opts.DataCentre), Revision: m.seen.revision, Row: row})
}

// row returns the row to write in a term, without its candidates. It keeps
// an earlier holder's longer order timeout until its orders have ended.
func (m *Machine) newRow(now time.Time, term uint64) Row {
	row := Row{
		Term: term, Holder: m.opts.VM, Incarnation: m.opts.Incarnation,
		Duration: m.opts.Duration, Promise: m.opts.Promise, OrderTimeout: m.opts.OrderTimeout,
	}
	settled := m.hold.active && m.hold.term == term && !now.Before(m.hold.unfencedFrom)
	if !settled {
		row.OrderTimeout = max(row.OrderTimeout, m.seen.row.OrderTimeout)
	}
	return row
}

func (m *Machine) renew(now time.Time, ev RowsRead) {
	row := m.newRow(now, m.seen.row.Term)
	row.Renewal = m.seen.row.Renewal + 1
	row.Candidates = m.seen.row.Candidates
	if m.read.all {
		row.Candidates = m.liveCandidates(now, ev.Registrations)
	}
	m.send(now, row)
}

// release gives the row up for any candidate to take at once. This process
// leaves the list, as it never takes over again.
func (m *Machine) release(now time.Time) {
	if m.seen.row.Released {
		return
	}
	row := m.newRow(now, m.seen.row.Term)
	row.Renewal = m.seen.row.Renewal + 1
	row.Released = true
	row.Candidates = withoutCandidate(m.seen.row.Candidates, m.opts.VM)
	m.send(now, row)
}
