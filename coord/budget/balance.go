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

// limit is what the endpoint bears now. Completed requests count by the
// larger of the endpoint's own report and the nodes' reports.
func (l *Ledger) limit(a *account) int {
	var seen uint64
	for _, h := range a.holdings {
		seen += h.completed
	}
	completed := max(a.reported, seen)
	if !l.opts.Warmup.Off && completed < uint64(a.WarmAfter) {
		return min(a.ColdInFlight, a.MaxInFlight)
	}
	return l.opts.Warmup.Limit(a.ColdInFlight, a.MaxInFlight, completed-min(completed, uint64(a.WarmAfter)))
}

func (l *Ledger) balanceAll(now time.Time) Effects {
	var out Effects
	for _, a := range l.order {
		out.add(l.balance(now, a))
	}
	return out
}

// balance grants each node its part, lowered at once and raised only as far
// as the limit leaves room beside everything that nodes may hold.
func (l *Ledger) balance(now time.Time, a *account) Effects {
	limit := l.limit(a)
	parts := l.divide(now, a, limit)
	free := l.room(now, a, limit)
	var out Effects
	for _, p := range parts {
		h := a.holding(p.node)
		limit, cold := free.take(h.bound(now, a), p.limit, p.cold)
		if h.inForce(a.incarnation.current, limit, cold, p.scarce) {
			continue
		}
		out.Grants = append(out.Grants, l.grant(a, h, p, limit, cold))
	}
	l.watch(now, a)
	return out
}

// watch notes an endpoint to be looked at again when it is settled which
// incarnation is the newest.
func (l *Ledger) watch(now time.Time, a *account) {
	if !a.unsettled && !a.incarnation.settled(now) {
		a.unsettled = true
		l.unsettled = append(l.unsettled, a)
	}
}

// room returns how much of the limits no node can hold.
func (l *Ledger) room(now time.Time, a *account, limit int) room {
	r := room{limit: limit, cold: a.ColdInFlight}
	for _, h := range a.holdings {
		if l.without.releases {
			r.use(bound{limit: h.last.Limit, cold: h.last.Cold})
			continue
		}
		r.use(h.bound(now, a))
	}
	if l.unsynced == 0 || l.without.sync {
		return r
	}
	switch a.origin {
	case inherited:
		return room{}
	case witnessed:
		return room{limit: r.limit - max(r.cold, 0)}
	default:
		return r
	}
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
	h.grow(g)
	if !a.pending {
		a.pending = true
		l.pending = append(l.pending, a)
	}
	return g
}

// divide returns the part of every node that can be granted shares.
func (l *Ledger) divide(now time.Time, a *account, limit int) []part {
	if l.opts.Division == ByDemand {
		return l.divideByDemand(now, a, limit)
	}
	homes := l.homes(a)
	parts := make([]part, 0, len(homes))
	for rank, m := range homes {
		if m.grantable() {
			parts = append(parts, part{
				node:  m,
				limit: split(limit, len(homes), rank),
				cold:  split(a.ColdInFlight, len(homes), rank),
			})
		}
	}
	for _, h := range a.holdings {
		if h.node.grantable() && !slices.Contains(homes, h.node) {
			parts = append(parts, part{node: h.node})
		}
	}
	return parts
}

// homes returns the endpoint's home nodes: live nodes of the data centre,
// with guests in the places that they leave free.
func (l *Ledger) homes(a *account) []*holder {
	if a.homesOf == l.membership {
		return a.homes
	}
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
	names := Homes(a.Name, own, l.opts.Homes)
	names = append(names, Homes(a.Name, guests, l.opts.Homes-len(names))...)
	a.homesOf = l.membership
	a.homes = a.homes[:0]
	for _, name := range names {
		a.homes = append(a.homes, l.byName[name])
	}
	return a.homes
}
