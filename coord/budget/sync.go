package budget

import "time"

// announce returns the message that announces the ledger to a node.
func (l *Ledger) announce(m *holder, node string) Announcement {
	return Announcement{Source: l.opts.Source, Term: l.opts.Term, Node: node, Nonce: m.nonce}
}

// challenge asks which process now runs under the node's name. A late usage of a
// dead process cannot contain the new nonce, so it cannot be mistaken for a
// restart that frees the shares of its successor.
func (l *Ledger) challenge(m *holder) Effects {
	if !m.challenged {
		m.challenged = true
		m.nonce++
	}
	return Effects{Announcements: []Announcement{l.announce(m, m.Name)}}
}

// applyAnnounceReply processes a full usage that answers an announcement.
func (l *Ledger) applyAnnounceReply(now time.Time, m *holder, u Usage) Effects {
	m.challenged = false
	restarted := m.incarnation != u.NodeIncarnation
	if restarted {
		l.clearHoldings(m)
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
	l.markSynced(m)
	out := l.markStopping(now, m, u.Stopping)
	out.add(l.applyUsage(now, m, u))
	if first || restarted {
		out.add(l.balanceAll(now))
	}
	return out
}

// markStopping records that the node gives up its shares for good.
func (l *Ledger) markStopping(now time.Time, m *holder, stopping bool) Effects {
	if !stopping || m.stopping {
		return Effects{}
	}
	m.stopping = true
	l.membership++
	return l.balanceAll(now)
}

// markSynced records that all grants of earlier ledgers to the node are known.
func (l *Ledger) markSynced(m *holder) {
	if !m.synced {
		m.synced = true
		l.countUnsynced(m, -1)
	}
	if m.gone {
		m.challenged = false
	}
}

// clearHoldings clears what the ended process of a node held.
func (l *Ledger) clearHoldings(m *holder) {
	for _, a := range l.order {
		if h := a.findHolding(m); h != nil {
			*h = holding{node: m}
		}
	}
}

// applyUsage applies the entries of a usage and rebalances their endpoints.
func (l *Ledger) applyUsage(now time.Time, m *holder, u Usage) Effects {
	var out Effects
	if u.Full {
		out.add(l.clearUnlisted(now, m, u))
	}
	for _, e := range u.Entries {
		if a, ok := l.endpoints[e.Endpoint]; ok {
			a.applyEntry(now, m, e)
			out.add(l.balance(now, a))
		}
	}
	return out
}

// clearUnlisted clears what the node last reported about endpoints that its
// full usage does not list.
func (l *Ledger) clearUnlisted(now time.Time, m *holder, u Usage) Effects {
	listed := make(map[string]bool, len(u.Entries))
	for _, e := range u.Entries {
		listed[e.Endpoint] = true
	}
	var out Effects
	for _, a := range l.order {
		if listed[a.Name] {
			continue
		}
		h := a.findHolding(m)
		if h == nil || h.reported == (allowance{}) {
			continue
		}
		h.reported, h.demand = allowance{}, 0
		out.add(l.balance(now, a))
	}
	return out
}

// applyEntry applies a node's report about one endpoint.
func (a *account) applyEntry(now time.Time, m *holder, e Entry) {
	a.observeIncarnation(now, e.Incarnation)
	h := a.ensureHolding(m)
	h.reported = allowance{e.Incarnation, e.Held, e.Cold, e.Earlier}
	h.demand = e.Demand
	if e.Incarnation == a.incarnation.current {
		h.completed = e.Completed
	}
	h.acked = e.Fence
	if !h.hasUnackedGrant() {
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
