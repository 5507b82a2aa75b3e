package budget

import (
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

// part is a node's target share of an endpoint's limit.
type part struct {
	node        *holder
	limit, cold int
	scarce      bool
}

// limit returns the endpoint's current limit on concurrent requests. The number
// of completed requests is the larger of the endpoint's own count and the sum
// of the nodes' counts.
func (l *Ledger) limit(a *account) int {
	var sum uint64
	for _, h := range a.holdings {
		sum += h.completed
	}
	completed := max(a.reportedCompleted, sum)
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

// balance grants each node its part. Shares are lowered at once, and raised only
// as far as the limit exceeds everything that nodes may hold.
func (l *Ledger) balance(now time.Time, a *account) Effects {
	limit := l.limit(a)
	parts := l.divide(now, a, limit)
	free := l.remainingCapacity(now, a, limit)
	var out Effects
	for _, p := range parts {
		h := a.ensureHolding(p.node)
		limit, cold := free.allot(p, h.bound(now, a))
		if h.isInForce(a.incarnation.current, limit, cold, p.scarce) {
			continue
		}
		out.Grants = append(out.Grants, l.newGrant(a, h, p, limit, cold))
	}
	l.trackUnsettled(now, a)
	return out
}

// trackUnsettled schedules the endpoint to be rebalanced once it is certain which
// incarnation is the newest.
func (l *Ledger) trackUnsettled(now time.Time, a *account) {
	if !a.unsettled && !a.incarnation.isSettled(now) {
		a.unsettled = true
		l.unsettled = append(l.unsettled, a)
	}
}

// guestLimit returns the most of a limit that guests together may hold, so that a
// data centre that is cut off from its guests can use the rest.
func (l *Ledger) guestLimit(limit int) int { return limit - split(limit, l.opts.Homes, 0) }

// remainingCapacity returns the part of the limits that no node can hold.
func (l *Ledger) remainingCapacity(now time.Time, a *account, limit int) capacities {
	c := capacities{
		all:    newCapacity(limit, a.ColdInFlight),
		guests: newCapacity(l.guestLimit(limit), l.guestLimit(a.ColdInFlight)),
	}
	for _, h := range a.holdings {
		if l.disabled.releases {
			c.subtract(h.node, bound{limit: h.last.Limit, cold: h.last.Cold})
			continue
		}
		c.subtract(h.node, h.bound(now, a))
	}
	l.reserve(a, &c)
	return c
}

// reserve deducts what nodes that have not reported to this ledger may hold.
func (l *Ledger) reserve(a *account, c *capacities) {
	if l.disabled.sync || a.origin == fresh {
		return
	}
	switch {
	case l.unsynced > 0 && a.origin == inherited:
		*c = capacities{}
	case l.unsynced > 0:
		c.all = capacity{limit: c.all.limit - max(c.all.cold, 0)}
	case l.unsyncedGuests > 0:
		unreported := c.guests
		if a.origin == observed {
			unreported.limit = unreported.cold
		}
		c.all.reserve(unreported)
		c.guests = capacity{}
	}
}

func (l *Ledger) newGrant(a *account, h *holding, p part, limit, cold int) Grant {
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
	h.recordGrant(g)
	if !a.pending {
		a.pending = true
		l.pending = append(l.pending, a)
	}
	return g
}

// divide returns the part of each node that can be sent grants.
func (l *Ledger) divide(now time.Time, a *account, limit int) []part {
	if l.opts.Division == ByDemand {
		return l.divideByDemand(now, a, limit)
	}
	homes := l.homes(a)
	parts := make([]part, 0, len(homes))
	for rank, m := range homes {
		if m.isGrantable() {
			parts = append(parts, part{
				node:  m,
				limit: split(limit, len(homes), rank),
				cold:  split(a.ColdInFlight, len(homes), rank),
			})
		}
	}
	for _, h := range a.holdings {
		if h.node.isGrantable() && !slices.Contains(homes, h.node) {
			parts = append(parts, part{node: h.node})
		}
	}
	return parts
}

// homes returns the endpoint's home nodes: nodes of the data centre that may be
// granted shares, and guests if there are too few of those.
func (l *Ledger) homes(a *account) []*holder {
	if a.homesMembership == l.membership {
		return a.homes
	}
	var local, guests []string
	for _, m := range l.members {
		switch {
		case !m.isEligible():
		case m.Guest:
			guests = append(guests, m.Name)
		default:
			local = append(local, m.Name)
		}
	}
	names := Homes(a.Name, local, l.opts.Homes)
	names = append(names, Homes(a.Name, guests, l.opts.Homes-len(names))...)
	a.homesMembership = l.membership
	a.homes = a.homes[:0]
	for _, name := range names {
		a.homes = append(a.homes, l.byName[name])
	}
	return a.homes
}
