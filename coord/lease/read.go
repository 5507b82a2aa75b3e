package lease

import "time"

// startRead sends the next read when it is due. Reads and writes of one node
// never overlap, so that each write follows a fresh read.
func (m *Machine) startRead(now time.Time) {
	if m.read.inFlight || m.writing() || now.Before(m.read.next) {
		return
	}
	m.read.id++
	m.read.inFlight = true
	m.read.all = m.mine() || m.succeeds()
	m.emit(ReadRows{
		ID:  m.read.id,
		Key: Key(m.opts.DataCentre),
		Own: CandidateKey(m.opts.DataCentre, m.opts.VM),
		All: m.read.all,
		VMs: m.wantsVMs(now),
	})
}

// wantsVMs reports whether the next read should bring the platform's list of
// VMs: for a holder now and then, for a newcomer while the holder is silent.
func (m *Machine) wantsVMs(now time.Time) bool {
	if m.mine() {
		return !m.presence.read || now.Sub(m.presence.at) >= m.opts.VMsEvery
	}
	return m.newcomer() && !now.Before(m.seen.takeoverAt)
}

// writing reports whether a write has not been answered yet.
func (m *Machine) writing() bool {
	for _, a := range m.attempts.list {
		if !a.answered {
			return true
		}
	}
	return false
}

func (m *Machine) readFailed(now time.Time, ev ReadFailed) {
	if !m.read.inFlight || ev.Read != m.read.id {
		return
	}
	m.read.inFlight = false
	m.read.next = now.Add(m.retryAfter(now))
}

// retryAfter returns the pause after a failed read. Those who do not hold the
// lease need not hurry.
func (m *Machine) retryAfter(now time.Time) time.Duration {
	if m.mine() || m.stopping || m.attempts.unsettled() {
		return m.opts.RetryEvery
	}
	return m.pollEvery(now)
}

func (m *Machine) rowsRead(now time.Time, ev RowsRead) {
	if !m.read.inFlight || ev.Read != m.read.id {
		return
	}
	m.read.inFlight = false
	m.read.answeredAt = now
	if ev.Revision < m.seen.revision {
		m.read.next = now.Add(m.opts.RetryEvery)
		return
	}
	m.observe(now, ev)
	if ev.VMsKnown {
		m.presence.update(now, ev.VMs)
		m.watchHolder(now)
	}
	if m.read.all && m.succeeds() {
		m.succeedAlone(now, ev.Registrations)
	}
	m.register(ev.Registrations)
	m.write(now, ev)
	m.scheduleRead(now)
}

// rowSeen takes in what another node has read. While such news come, this one
// reads seldom: only to look after its registration.
func (m *Machine) rowSeen(now time.Time, ev RowRelayed) {
	if !m.seen.known || ev.Revision <= m.seen.revision {
		return
	}
	m.read.toldAt = now
	m.observe(now, RowsRead{Row: &ev.Row, Revision: ev.Revision})
	if m.read.inFlight || m.stopping || m.writing() || m.mine() || m.attempts.unsettled() || !m.registered {
		return
	}
	m.read.next = m.read.answeredAt.Add(seenPolls * m.pollEvery(now))
	if due := m.seen.takeoverAt; due.Before(m.read.next) {
		m.read.next = due
	}
}

// seenPolls times the usual interval is that of a candidate's reads while
// others tell it of the row.
const seenPolls = 10

// observe takes in the row and settles this node's own writes by it.
func (m *Machine) observe(now time.Time, ev RowsRead) {
	m.seen.known = true
	if ev.Row == nil || ev.Revision == m.seen.revision {
		return
	}
	own, found := m.attempts.find(ev.Row.Token)
	m.moveTo(now, *ev.Row, ev.Revision)
	switch {
	case found:
		m.written(now, own)
	case !m.mine():
		m.lose(Superseded)
	}
}

// moveTo records a new revision of the row.
func (m *Machine) moveTo(now time.Time, row Row, revision uint64) {
	if row.Term != m.seen.row.Term || m.seen.revision == 0 {
		m.seen.termAt = now
		m.seen.holderGone = false
	}
	m.seen.row = row
	m.seen.revision = revision
	m.seen.at = now
	m.seen.takeoverAt = m.takeoverAt(now, row)
	m.attempts.dropBefore(revision)
	if row.Released && m.mine() {
		m.emit(Released{Term: row.Term})
	}
}

// forOthers reports whether other nodes rely on this one's own reads. One that
// is told the row itself passes on what it hears.
func (m *Machine) forOthers(now time.Time) bool {
	r := &m.read
	asked := !r.askedAt.IsZero() && now.Sub(r.askedAt) < askedFor
	told := !r.toldAt.IsZero() && now.Sub(r.toldAt) < toldRenewals*m.opts.RenewEvery
	return asked && !told
}

// rowAsked notes that others rely on what this node reads.
func (m *Machine) rowAsked(now time.Time) {
	m.read.askedAt = now
	if !m.forOthers(now) {
		return
	}
	if soon := m.read.answeredAt.Add(m.opts.PollEvery); m.seen.known && soon.Before(m.read.next) {
		m.read.next = soon
	}
}

const (
	// askedFor is how long a node that was asked for the row reads for others.
	askedFor = time.Second
	// toldRenewals is for how many renewals what a node was told stands in for
	// own reads.
	toldRenewals = 2
)

// pollEvery returns the interval between this candidate's reads.
func (m *Machine) pollEvery(now time.Time) time.Duration {
	per, all := m.opts.PollersPerInterval, len(m.seen.row.Candidates)
	if per <= 0 || all <= per || m.forOthers(now) {
		return m.opts.PollEvery
	}
	return m.opts.PollEvery * time.Duration(all) / time.Duration(per)
}

// scheduleRead plans the next read after one that was answered.
func (m *Machine) scheduleRead(now time.Time) {
	switch {
	case m.stopping:
		m.read.next = now.Add(m.opts.RetryEvery)
	case m.writing():
		m.read.next = m.sentAt.Add(m.opts.RenewEvery)
	case m.mine() || m.succeeds() || m.attempts.unsettled() || m.seen.revision == 0:
		m.read.next = now.Add(m.opts.RetryEvery)
	default:
		m.read.next = now.Add(m.pollEvery(now))
		due := m.seen.takeoverAt
		if now.Before(due) && due.Before(m.read.next) {
			m.read.next = due
		}
	}
}

// writeAnswered settles a write, or plans a read that does.
func (m *Machine) writeAnswered(now time.Time, ev WriteAnswered) {
	a, ok := m.attempts.find(ev.Token)
	if !ok {
		return
	}
	switch ev.Outcome {
	case Applied:
		m.moveTo(now, a.row, ev.Revision)
		m.written(now, a)
	case Unknown:
		m.answerLost(now, a)
	case Conflict:
		m.attempts.drop(ev.Token)
		m.read.next = now
	case NotWritten:
		m.attempts.drop(ev.Token)
		m.read.next = now.Add(m.opts.RetryEvery)
	}
}

func (m *Machine) answerLost(now time.Time, a attempt) {
	if m.off.readBack {
		m.written(now, a)
	}
	m.attempts.lost(a.row.Token, m.read.id+1)
	m.attempts.merge(now.Add(-m.opts.Duration))
	m.read.next = now
}
