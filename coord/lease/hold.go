package lease

import "time"

// heldLease is the state of the lease while this node holds it.
type heldLease struct {
	active bool
	term   uint64
	// rowUntil is the end of the lease according to the newest renewal known
	// to be written. until also takes promises into account.
	rowUntil     time.Time
	until        time.Time
	unfencedFrom time.Time
	sequence     uint64
}

func (h *heldLease) grant() Grant {
	return Grant{Term: h.term, Until: h.until, UnfencedFrom: h.unfencedFrom}
}

// expire ends a lease that has run out. Only a write of the row can start it
// again.
func (m *Machine) expire(now time.Time) {
	if m.held.active && !now.Before(m.held.until) {
		m.loseLease(Lapsed)
	}
}

func (m *Machine) loseLease(reason LossReason) {
	if !m.held.active {
		return
	}
	m.held.active = false
	m.promises.reset()
	m.emit(LostLease{Term: m.held.term, Reason: reason})
}

// applyWrite grants the lease for a row that this process is known to have
// written, counted from before the write was sent.
func (m *Machine) applyWrite(now time.Time, a attempt) {
	if a.row.Released || m.stopping || m.isBoundByPromise(now) {
		return
	}
	until := a.sentAt.Add(a.row.Duration)
	if !now.Before(until) {
		return
	}
	m.startTerm(now, a)
	m.held.rowUntil = until
	if until.After(m.held.until) || !m.held.active {
		m.held.until = until
	}
	if !m.held.active {
		m.held.active = true
		m.emit(BecameHolder{Grant: m.held.grant()})
	}
}

// startTerm restarts the numbering of orders for a new term and computes how
// long orders of earlier terms may still take effect. The leases of other holders
// had ended when a was sent; one of this node's own may have lasted longer.
func (m *Machine) startTerm(now time.Time, a attempt) {
	if m.held.term == a.row.Term {
		return
	}
	from := a.sentAt
	if own := m.held.until; own.After(from) {
		from = own
		if now.Before(own) {
			from = now
		}
	}
	m.held.term = a.row.Term
	m.held.sequence = 0
	m.held.unfencedFrom = from
	if a.revision > 0 || m.era > FirstEra {
		wait := m.opts.compensateDrift(a.row.OrderTimeout + m.opts.PauseBound)
		m.held.unfencedFrom = from.Add(wait)
	}
}

// stop ends the lease at once. The row is released by a later write, and the
// registration removed after a later read.
func (m *Machine) stop(now time.Time, ev Stop) {
	if m.stopping && ev.KeepRegistered == m.keepsRegistered {
		return
	}
	m.stopping, m.keepsRegistered = true, ev.KeepRegistered
	m.read.next = now
	m.loseLease(Stopped)
}
