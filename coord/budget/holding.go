package budget

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

// account records a ledger's grants of one endpoint and the nodes' reports
// about it.
type account struct {
	Endpoint
	incarnation       incarnation
	origin            origin
	addedAt           time.Time
	reportedCompleted uint64
	holdings          []*holding // in creation order
	byHolder          []*holding // by holder.index; nil for none
	homes             []*holder
	homesMembership   uint64 // the membership that homes were computed for
	pending           bool
	unsettled         bool
}

// allowance is what a node may hold at one incarnation and at any later one.
type allowance struct {
	incarnation string
	limit, cold int
	// earlier counts requests in flight at the previous incarnation.
	earlier int
}

// holding tracks what one node may hold of an endpoint.
type holding struct {
	node *holder
	// reported is from the node's last report; sent contains the grants that
	// the node has not acknowledged, merged by incarnation.
	reported  allowance
	sent      []allowance
	acked     member.Fence
	last      Grant
	demand    int
	completed uint64
}

// hasUnackedGrant reports whether the node has not acknowledged its last
// grant.
func (h *holding) hasUnackedGrant() bool { return h.acked.Before(h.last.Fence) }

// bound returns the most that the node may hold, whatever messages are in
// transit.
func (h *holding) bound(now time.Time, a *account) bound {
	b := h.reported.bound(a.incarnation.current)
	for _, s := range h.sent {
		sb := s.bound(a.incarnation.current)
		b = bound{max(b.limit, sb.limit), max(b.other, sb.other), max(b.cold, sb.cold)}
	}
	if a.incarnation.isSettled(now) {
		b.other = 0
	}
	return b
}

// bound returns the most that the allowance permits if current is the name of
// the current incarnation.
func (a allowance) bound(current string) bound {
	if a.incarnation == current {
		return bound{limit: a.limit, other: a.earlier, cold: a.cold}
	}
	return bound{limit: max(a.cold, a.earlier), other: a.limit, cold: a.cold}
}

// recordGrant records a grant that is about to be sent.
func (h *holding) recordGrant(g Grant) {
	h.last = g
	if n := len(h.sent); n > 0 && h.sent[n-1].incarnation == g.Incarnation {
		s := &h.sent[n-1]
		s.limit, s.cold = max(s.limit, g.Limit), max(s.cold, g.Cold)
		return
	}
	h.sent = append(h.sent, allowance{incarnation: g.Incarnation, limit: g.Limit, cold: g.Cold})
}

// isInForce reports whether exactly this grant is in force at the node or on its
// way there.
func (h *holding) isInForce(incarnation string, limit, cold int, scarce bool) bool {
	if h.last.Fence == (member.Fence{}) {
		return limit == 0 && cold == 0 && h.reported.limit == 0 && h.reported.cold == 0 && !scarce
	}
	same := h.last.Limit == limit && h.last.Cold == cold && h.last.Scarce == scarce
	if !same || h.last.Incarnation != incarnation {
		return false
	}
	if h.hasUnackedGrant() {
		return true
	}
	return h.reported.incarnation == incarnation && h.reported.limit >= limit && h.reported.cold == cold
}

// findHolding returns the node's holding, or nil if there is none.
func (a *account) findHolding(m *holder) *holding {
	if m.index < len(a.byHolder) {
		return a.byHolder[m.index]
	}
	return nil
}

// ensureHolding returns the node's holding, creating it if necessary.
func (a *account) ensureHolding(m *holder) *holding {
	if h := a.findHolding(m); h != nil {
		return h
	}
	for len(a.byHolder) <= m.index {
		a.byHolder = append(a.byHolder, nil)
	}
	h := &holding{node: m}
	a.byHolder[m.index] = h
	a.holdings = append(a.holdings, h)
	return h
}

// observeIncarnation processes the incarnation named in a message. It reports
// whether the incarnation is new, which makes the endpoint cold.
func (a *account) observeIncarnation(now time.Time, name string) bool {
	if a.incarnation.observe(now, name) != nameNew {
		return false
	}
	// If a late message named the first incarnation, that one may not be the
	// direct predecessor, so a change soon after the endpoint was added does
	// not show what earlier ledgers granted.
	if a.origin != inherited || !now.Before(a.addedAt.Add(maxMessageAge)) {
		a.origin = observed
	}
	a.reportedCompleted = 0
	for _, h := range a.holdings {
		h.completed = 0
	}
	return true
}

// markFresh records that the coordinator itself started the incarnation, so
// that no other one can be current.
func (a *account) markFresh() {
	a.origin = fresh
	a.incarnation.settledAt = time.Time{}
}
