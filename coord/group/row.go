package group

import (
	"strconv"
	"time"
)

// lostAnswerTimeouts is the number of order timeouts after which a platform
// request is considered lost.
const lostAnswerTimeouts = 4

// rowState is the coordinator's view of the row in the platform's table.
type rowState struct {
	known         bool // revision is known from the last read or write
	revision      uint64
	version       uint64 // version of the groups in memory
	storedVersion uint64 // newest version that the table contains

	reading      bool
	writing      bool
	token        string    // token of the last write
	writeVersion uint64    // version of the last write
	readOnce     bool      // the row has been read since the lease was gained
	askedAt      time.Time // when the pending read or write was requested
	retryAt      time.Time
	inherited    []Group // groups read from the row and not installed yet
	// unreachable is set while the table cannot be reached. Orders are then
	// sent without waiting for the row.
	unreachable bool
}

// stepRow reads and writes the row as needed, one request at a time. A write
// costs a pass over all groups, so rows are only written on ticks.
func (m *Manager) stepRow(now time.Time, tick bool) {
	r := &m.row
	if r.reading || r.writing {
		m.checkAnswerTimeout(now)
		return
	}
	if now.Before(r.retryAt) {
		return
	}
	if !r.known {
		r.reading, r.askedAt = true, now
		m.emit(ReadRow{})
		return
	}
	if tick && m.stage == stageActive && r.version != r.storedVersion {
		m.writeRow(now)
	}
}

// checkAnswerTimeout marks the table as unreachable when an answer is late,
// and gives up the request when the answer is considered lost.
func (m *Manager) checkAnswerTimeout(now time.Time) {
	r := &m.row
	waited := now.Sub(r.askedAt)
	if waited >= m.opts.OrderTimeout {
		m.setUnreachable(true)
	}
	if waited >= lostAnswerTimeouts*m.opts.OrderTimeout {
		r.reading, r.writing, r.known = false, false, false
	}
}

func (m *Manager) writeRow(now time.Time) {
	r := &m.row
	m.writes++
	r.token = strconv.FormatUint(m.term, 10) + "." + strconv.FormatUint(m.writes, 10)
	r.writeVersion = r.version
	r.writing, r.askedAt = true, now
	m.visits += uint64(len(m.groups))
	row := Row{Term: m.term, Token: r.token, Groups: m.Groups()}
	m.emit(WriteRow{Revision: r.revision, Token: r.token, Value: row.Encode()})
}

// handleRowRead processes the row that was read. The row's token tells whether
// the last write succeeded. A row with a later term ends this coordinator's
// work.
func (m *Manager) handleRowRead(now time.Time, ev RowRead) {
	if m.stage == stageOff || !m.row.reading {
		return
	}
	r := &m.row
	r.reading = false
	row, err := DecodeRow(ev.Value)
	if err != nil {
		row = Row{} // running groups are still adopted from their members' reports
	}
	if row.Term > m.term {
		m.stopCoordinating(now)
		m.emit(Progress{Notice: NoticeDeposed})
		return
	}
	first := !r.readOnce
	r.readOnce = true
	r.known, r.revision = true, ev.Revision
	if r.token != "" && row.Token == r.token {
		m.confirmWrite()
	}
	m.setUnreachable(false)
	if first {
		r.inherited = row.Groups
	}
	if first && m.stage == stageActive {
		m.installInherited(now)
	}
}

func (m *Manager) handleRowReadFailed(now time.Time) {
	m.row.reading = false
	m.row.retryAt = now.Add(m.opts.RowRetry)
	m.setUnreachable(true)
}

func (m *Manager) handleRowWritten(now time.Time, ev RowWritten) {
	r := &m.row
	if !r.writing || ev.Token != r.token {
		return
	}
	r.writing = false
	switch ev.Outcome {
	case WriteApplied:
		r.revision = ev.Revision
		m.confirmWrite()
		m.setUnreachable(false)
	case WriteNotWritten:
		r.retryAt = now.Add(m.opts.RowRetry)
		m.setUnreachable(true)
	case WriteConflict, WriteUnknown:
		r.known = false
	}
}

// confirmWrite records that the table contains the last write.
func (m *Manager) confirmWrite() {
	m.row.storedVersion = m.row.writeVersion
	m.markAwaitingRow()
}

// setUnreachable records whether the table is unreachable.
func (m *Manager) setUnreachable(down bool) {
	m.row.unreachable = down
	if down {
		m.markAwaitingRow()
	}
}

// markAwaitingRow schedules the members of the groups whose join orders wait
// for the row to be written.
func (m *Manager) markAwaitingRow() {
	waiting := m.awaitingRow
	m.awaitingRow = nil
	for _, g := range waiting {
		g.awaitingRow = false
		for _, v := range g.members {
			m.markVM(v)
		}
	}
}

// rowPermitsJoin reports whether the group's members may be ordered to join:
// the table contains the group, or cannot be reached.
func (m *Manager) rowPermitsJoin(g *groupState) bool {
	if !m.opts.enabled(WriteBeforeJoin) || m.row.unreachable || g.version <= m.row.storedVersion {
		return true
	}
	if !g.awaitingRow {
		g.awaitingRow = true
		m.awaitingRow = append(m.awaitingRow, g)
	}
	return false
}
