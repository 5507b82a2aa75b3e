package budget

import "time"

// announce returns the message that introduces the ledger to a node.
func (l *Ledger) announce(m *holder, node string) Announcement {
	return Announcement{Source: l.opts.Source, Term: l.opts.Term, Node: node, Nonce: m.nonce}
}

// challenge asks which process now runs under the node's name. A late usage
// of a dead process cannot carry the new nonce, so it cannot be taken for a
// restart that frees what its successor holds.
func (l *Ledger) challenge(m *holder) Effects {
	if !m.challenged {
		m.challenged = true
		m.nonce++
	}
	return Effects{Announcements: []Announcement{l.announce(m, m.Name)}}
}

// sync takes in the answer to an announcement.
func (l *Ledger) sync(now time.Time, m *holder, u Usage) Effects {
	m.challenged = false
	restarted := m.incarnation != u.NodeIncarnation
	if restarted {
		l.forget(m)
		m.incarnation = u.NodeIncarnation
		m.sequence = 0
		m.stopping = false
		l.membership++
	}
	if u.Sequence <= m.sequence {
		return Effects{}
	}
	m.sequence = u.Sequence
	first := !m.synced
	l.synced(m)
	out := l.stop(now, m, u.Stopping)
	out.add(l.read(now, m, u))
	if first || restarted {
		out.add(l.balanceAll(now))
	}
	return out
}

// stop takes in whether the node gives up its shares for good.
func (l *Ledger) stop(now time.Time, m *holder, stopping bool) Effects {
	if !stopping || m.stopping {
		return Effects{}
	}
	m.stopping = true
	l.membership++
	return l.balanceAll(now)
}

// synced notes that all grants of earlier ledgers to the node are known.
func (l *Ledger) synced(m *holder) {
	if !m.synced {
		m.synced = true
		l.countUnsynced(m, -1)
	}
	if m.gone {
		m.challenged = false
	}
}

// forget drops what the ended process of a node held.
func (l *Ledger) forget(m *holder) {
	for _, a := range l.order {
		if h := a.find(m); h != nil {
			*h = holding{node: m}
		}
	}
}

// read applies the entries of a usage and rebalances what they changed.
func (l *Ledger) read(now time.Time, m *holder, u Usage) Effects {
	var out Effects
	if u.Full {
		out.add(l.readMissing(now, m, u))
	}
	for _, e := range u.Entries {
		if a, ok := l.endpoints[e.Endpoint]; ok {
			a.read(now, m, e)
			out.add(l.balance(now, a))
		}
	}
	return out
}

// readMissing takes in that a node holds nothing of what its full usage does
// not list.
func (l *Ledger) readMissing(now time.Time, m *holder, u Usage) Effects {
	listed := make(map[string]bool, len(u.Entries))
	for _, e := range u.Entries {
		listed[e.Endpoint] = true
	}
	var out Effects
	for _, a := range l.order {
		if listed[a.Name] {
			continue
		}
		h := a.find(m)
		if h == nil || h.reported == (amount{}) {
			continue
		}
		h.reported, h.demand = amount{}, 0
		out.add(l.balance(now, a))
	}
	return out
}

// read takes in what a node says it holds of one endpoint.
func (a *account) read(now time.Time, m *holder, e Entry) {
	a.see(now, e.Incarnation)
	h := a.holding(m)
	h.reported = amount{e.Incarnation, e.Held, e.Cold, e.Earlier}
	h.demand = e.Demand
	if e.Incarnation == a.incarnation.current {
		h.completed = e.Completed
	}
	h.acked = e.Fence
	if !h.unanswered() {
		h.sent = h.sent[:0]
	}
}

func (l *Ledger) countUnsynced(m *holder, n int) {
	if m.Guest {
		l.unsyncedGuests += n
	} else {
		l.unsynced += n
	}
}
