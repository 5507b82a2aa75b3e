package budget

import (
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

// part is what a node is meant to hold of an endpoint.
type part struct {
	node        *holder
	limit, cold int
	scarce      bool
}

// unanswered reports whether the node may not have taken in its last grant.
func (h *holding) unanswered() bool { return h.acked.Before(h.last.Fence) }

// mostHeld and mostCold bound what the node holds, whatever is in transit.
func (h *holding) mostHeld() int { return max(h.held, h.pendingHeld) }
func (h *holding) mostCold() int { return max(h.cold, h.pendingCold) }

func (a *account) find(node string) *holding {
	for i := range a.holdings {
		if a.holdings[i].node == node {
			return &a.holdings[i]
		}
	}
	return nil
}

func (a *account) holding(node string) *holding {
	if h := a.find(node); h != nil {
		return h
	}
	a.holdings = append(a.holdings, holding{node: node})
	return &a.holdings[len(a.holdings)-1]
}

// restart makes the accounting that of a newly started endpoint: every node
// falls to its cold part when it hears of it.
func (a *account) restart(now time.Time) {
	// An incarnation that was first named by a late message may not be the
	// one before, so a change soon after the first sight proves nothing.
	if a.origin != inherited || !now.Before(a.since.Add(pastIgnored)) {
		a.origin = witnessed
	}
	a.reported = 0
	for i := range a.holdings {
		h := &a.holdings[i]
		h.held, h.pendingHeld = h.cold, h.pendingCold
		h.completed = 0
	}
}

// limit is what the endpoint bears now. Completed requests count by the
// larger of the endpoint's own report and the nodes' reports.
func (l *Ledger) limit(a *account) int {
	var seen uint64
	for i := range a.holdings {
		seen += a.holdings[i].completed
	}
	return l.opts.Warmup.Limit(a.ColdInFlight, a.MaxInFlight, max(a.reported, seen))
}

func (l *Ledger) balanceAll() Effects {
	var out Effects
	for _, a := range l.order {
		out.add(l.balance(a))
	}
	return out
}

// balance grants each node its part, lowered at once and raised only as far
// as the limit leaves room beside everything that nodes may hold.
func (l *Ledger) balance(a *account) Effects {
	limit := l.limit(a)
	parts := l.divide(a, limit)
	room, roomCold := l.room(a, limit)
	var out Effects
	for _, p := range parts {
		h := a.holding(p.node.Name)
		limit, used := raise(p.limit, h.mostHeld(), room)
		cold, usedCold := raise(p.cold, h.mostCold(), roomCold)
		room -= used
		roomCold -= usedCold
		if h.inForce(a, limit, cold, p.scarce) {
			continue
		}
		out.Grants = append(out.Grants, l.grant(a, h, p, limit, cold))
	}
	return out
}

// raise returns the wanted part as far as the room allows, and the room used.
func raise(want, most, room int) (part, used int) {
	if want <= most {
		return want, 0
	}
	used = min(want-most, max(room, 0))
	return most + used, used
}

// room returns how much of the limits no node can hold.
func (l *Ledger) room(a *account, limit int) (room, cold int) {
	room, cold = limit, a.ColdInFlight
	for i := range a.holdings {
		h := &a.holdings[i]
		if l.without.releases {
			room -= h.last.Limit
			cold -= h.last.Cold
			continue
		}
		room -= h.mostHeld()
		cold -= h.mostCold()
	}
	if l.unsynced == 0 || l.without.sync {
		return room, cold
	}
	switch a.origin {
	case inherited:
		return 0, 0
	case witnessed:
		return room - max(cold, 0), 0
	default:
		return room, cold
	}
}

// inForce reports whether the node has, or will have, exactly this grant.
func (h *holding) inForce(a *account, limit, cold int, scarce bool) bool {
	same := h.last.Limit == limit && h.last.Cold == cold && h.last.Scarce == scarce
	if h.last.Fence == (member.Fence{}) {
		return limit == 0 && cold == 0 && h.held == 0 && h.cold == 0 && !scarce
	}
	if !same || h.last.Incarnation != a.incarnation.current {
		return false
	}
	return h.unanswered() || !h.stale && h.held >= limit && h.cold == cold
}

func (l *Ledger) grant(a *account, h *holding, p part, limit, cold int) Grant {
	l.sequence++
	g := Grant{
		Source:          l.opts.Source,
		Fence:           member.Fence{Term: l.opts.Term, Sequence: l.sequence},
		Node:            p.node.Name,
		NodeIncarnation: p.node.incarnation,
		Endpoint:        a.Name,
		Incarnation:     a.incarnation.current,
		Limit:           limit,
		Cold:            cold,
		Scarce:          p.scarce,
	}
	h.last = g
	h.pendingHeld = max(h.pendingHeld, limit)
	h.pendingCold = max(h.pendingCold, cold)
	if !a.pending {
		a.pending = true
		l.pending = append(l.pending, a)
	}
	return g
}

// divide returns the part of every node that can be granted shares.
func (l *Ledger) divide(a *account, limit int) []part {
	if l.opts.Division == ByDemand {
		return l.divideByDemand(a, limit)
	}
	homes := l.homes(a.Name)
	parts := make([]part, 0, len(homes))
	for _, m := range l.members {
		if m.incarnation == "" || !m.synced {
			continue
		}
		rank := slices.Index(homes, m.Name)
		switch {
		case rank >= 0:
			parts = append(parts, part{
				node:  m,
				limit: split(limit, len(homes), rank),
				cold:  split(a.ColdInFlight, len(homes), rank),
			})
		case a.find(m.Name) != nil:
			parts = append(parts, part{node: m})
		}
	}
	return parts
}

// homes returns the endpoint's home nodes: live nodes of the data centre,
// with guests in the places that they leave free.
func (l *Ledger) homes(endpoint string) []string {
	var own, guests []string
	for _, m := range l.members {
		switch {
		case !m.eligible():
		case m.Guest:
			guests = append(guests, m.Name)
		default:
			own = append(own, m.Name)
		}
	}
	homes := Homes(endpoint, own, l.opts.Homes)
	return append(homes, Homes(endpoint, guests, l.opts.Homes-len(homes))...)
}

func (l *Ledger) member(name string) *holder {
	for _, m := range l.members {
		if m.Name == name {
			return m
		}
	}
	return nil
}
