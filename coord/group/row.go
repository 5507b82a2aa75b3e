package group

import (
	"strconv"
	"time"
)

// lostAnswerTimeouts is the number of order timeouts after which an answer
// of the platform counts as lost.
const lostAnswerTimeouts = 4

// rowState is what the coordinator knows of the row in the platform's table.
type rowState struct {
	known    bool   // revision is that of the last read or write
	revision uint64 //
	version  uint64 // of the groups in memory
	applied  uint64 // newest version that the row holds

	reading   bool
	writing   bool
	token     string    // of the last write
	attempt   uint64    // version of the last write
	merged    bool      // the row was read since the lease was gained
	askedAt   time.Time // when the open read or write was asked for
	retryAt   time.Time
	inherited []Group // read, and not installed yet
	// down is set while the table cannot be reached. Orders go on without
	// the row then.
	down bool
}

// stepRow reads and writes the row as needed, one request at a time. Writing
// costs a pass over all groups, so it is done on ticks only.
func (m *Manager) stepRow(now time.Time, tick bool) {
	r := &m.row
	if r.reading || r.writing {
		m.awaitAnswer(now)
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
	if tick && m.stage == stageActive && r.version != r.applied {
		m.writeRow(now)
	}
}

// awaitAnswer treats the platform as down while it is slow, and an answer
// that does not come as lost.
func (m *Manager) awaitAnswer(now time.Time) {
	r := &m.row
	waited := now.Sub(r.askedAt)
	if waited >= m.opts.OrderTimeout {
		m.setDown(true)
	}
	if waited >= lostAnswerTimeouts*m.opts.OrderTimeout {
		r.reading, r.writing, r.known = false, false, false
	}
}

func (m *Manager) writeRow(now time.Time) {
	r := &m.row
	m.writes++
	r.token = strconv.FormatUint(m.term, 10) + "." + strconv.FormatUint(m.writes, 10)
	r.attempt = r.version
	r.writing, r.askedAt = true, now
	m.visits += uint64(len(m.groups))
	row := Row{Term: m.term, Token: r.token, Groups: m.Groups()}
	m.emit(WriteRow{Revision: r.revision, Token: r.token, Value: row.Encode()})
}

// rowRead settles the last write by its token. A row of a later term ends
// this coordinator's work.
func (m *Manager) rowRead(now time.Time, ev RowRead) {
	if m.stage == stageOff || !m.row.reading {
		return
	}
	r := &m.row
	r.reading = false
	row, err := DecodeRow(ev.Value)
	if err != nil {
		row = Row{} // the members' reports still say what runs
	}
	if row.Term > m.term {
		m.lose(now)
		m.emit(Progress{Notice: NoticeDeposed})
		return
	}
	first := !r.merged
	r.merged = true
	r.known, r.revision = true, ev.Revision
	if r.token != "" && row.Token == r.token {
		m.applied()
	}
	m.setDown(false)
	if first {
		r.inherited = row.Groups
	}
	if first && m.stage == stageActive {
		m.install(now)
	}
}

func (m *Manager) rowReadFailed(now time.Time) {
	m.row.reading = false
	m.row.retryAt = now.Add(m.opts.RowRetry)
	m.setDown(true)
}

func (m *Manager) rowWritten(now time.Time, ev RowWritten) {
	r := &m.row
	if !r.writing || ev.Token != r.token {
		return
	}
	r.writing = false
	switch ev.Outcome {
	case WriteApplied:
		r.revision = ev.Revision
		m.applied()
		m.setDown(false)
	case WriteNotWritten:
		r.retryAt = now.Add(m.opts.RowRetry)
		m.setDown(true)
	case WriteConflict, WriteUnknown:
		r.known = false
	}
}

// applied records that the row holds the last write.
func (m *Manager) applied() {
	m.row.applied = m.row.attempt
	m.driveAwaiting()
}

// setDown records whether the table can be reached.
func (m *Manager) setDown(down bool) {
	m.row.down = down
	if down {
		m.driveAwaiting()
	}
}

// driveAwaiting looks again at the groups whose orders wait for the row.
func (m *Manager) driveAwaiting() {
	waiting := m.awaitingRow
	m.awaitingRow = nil
	for _, g := range waiting {
		g.awaiting = false
		for _, v := range g.members {
			m.markVM(v)
		}
	}
}

// rowAllows reports whether the group's members may be told to join: the row
// holds the group, or the table cannot be reached.
func (m *Manager) rowAllows(g *groupState) bool {
	if !m.opts.enabled(WriteFirst) || m.row.down || g.version <= m.row.applied {
		return true
	}
	if !g.awaiting {
		g.awaiting = true
		m.awaitingRow = append(m.awaitingRow, g)
	}
	return false
}
