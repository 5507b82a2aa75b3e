package lease

import "time"

// hold is the lease as held by this node.
type hold struct {
	active bool
	term   uint64
	// rowUntil is the end of the lease by the newest renewal known to be
	// written, until its end by renewals and promises.
	rowUntil     time.Time
	until        time.Time
	unfencedFrom time.Time
	sequence     uint64
}

func (h *hold) grant() Grant {
	return Grant{Term: h.term, Until: h.until, UnfencedFrom: h.unfencedFrom}
}

// expire ends a lease that has run out. Only a write of the row revives it.
func (m *Machine) expire(now time.Time) {
	if m.hold.active && !now.Before(m.hold.until) {
		m.lose(Lapsed)
	}
}

func (m *Machine) lose(reason LossReason) {
	if !m.hold.active {
		return
	}
	m.hold.active = false
	m.promises.reset()
	m.emit(LostLease{Term: m.hold.term, Reason: reason})
}

// written grants the lease for a row that this process is known to have
// written, counted from before the write was sent.
func (m *Machine) written(now time.Time, a attempt) {
	if a.row.Released || m.stopping || m.promised(now) {
		return
	}
	until := a.sentAt.Add(a.row.Duration)
	if !now.Before(until) {
		return
	}
	m.startTerm(a)
	m.hold.rowUntil = until
	if until.After(m.hold.until) || !m.hold.active {
		m.hold.until = until
	}
	if !m.hold.active {
		m.hold.active = true
		m.emit(BecameHolder{Grant: m.hold.grant()})
	}
}

// startTerm begins the numbering of a new term's orders and the wait for
// orders of earlier holders, whose lease had ended when a was sent.
func (m *Machine) startTerm(a attempt) {
	if m.hold.term == a.row.Term {
		return
	}
	m.hold.term = a.row.Term
	m.hold.sequence = 0
	m.hold.unfencedFrom = a.sentAt
	if a.revision > 0 {
		wait := m.opts.stretch(a.row.OrderTimeout + m.opts.PauseBound)
		m.hold.unfencedFrom = a.sentAt.Add(wait)
	}
}

// stop gives the lease up at once; the row is released when it can be.
func (m *Machine) stop(now time.Time) {
	if m.stopping {
		return
	}
	m.stopping = true
	m.read.next = now
	m.lose(Stopped)
}
