package budget

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

// account is a ledger's accounting of one endpoint.
type account struct {
	Endpoint
	incarnation incarnation
	origin      origin
	since       time.Time
	reported    uint64
	holdings    []*holding // in order of creation
	byHolder    []*holding // by holder.index, nil for none
	homes       []*holder
	homesOf     uint64 // the membership that homes were computed for
	pending     bool
	unsettled   bool
}

// amount is what a node may hold at one incarnation, and at any later one.
type amount struct {
	incarnation string
	limit, cold int
	// earlier counts requests at the incarnation before.
	earlier int
}

// holding bounds what one node holds of an endpoint.
type holding struct {
	node *holder
	// reported is the node's last report; sent are the grants that it has not
	// acknowledged, merged by incarnation.
	reported  amount
	sent      []amount
	acked     member.Fence
	last      Grant
	demand    int
	completed uint64
}

// unanswered reports whether the node may not have taken in its last grant.
func (h *holding) unanswered() bool { return h.acked.Before(h.last.Fence) }

// bound returns the most that the node holds, whatever is in transit.
func (h *holding) bound(now time.Time, a *account) bound {
	b := h.reported.bound(a.incarnation.current)
	for _, s := range h.sent {
		o := s.bound(a.incarnation.current)
		b = bound{max(b.limit, o.limit), max(b.other, o.other), max(b.cold, o.cold)}
	}
	if a.incarnation.settled(now) {
		b.other = 0
	}
	return b
}

// bound returns the most that the amount allows when the incarnation is taken
// for the present one.
func (a amount) bound(current string) bound {
	if a.incarnation == current {
		return bound{limit: a.limit, other: a.earlier, cold: a.cold}
	}
	return bound{limit: max(a.cold, a.earlier), other: a.limit, cold: a.cold}
}

// grow notes a grant that is being sent.
func (h *holding) grow(g Grant) {
	h.last = g
	if n := len(h.sent); n > 0 && h.sent[n-1].incarnation == g.Incarnation {
		s := &h.sent[n-1]
		s.limit, s.cold = max(s.limit, g.Limit), max(s.cold, g.Cold)
		return
	}
	h.sent = append(h.sent, amount{incarnation: g.Incarnation, limit: g.Limit, cold: g.Cold})
}

// inForce reports whether the node has, or will have, exactly this grant.
func (h *holding) inForce(incarnation string, limit, cold int, scarce bool) bool {
	if h.last.Fence == (member.Fence{}) {
		return limit == 0 && cold == 0 && h.reported.limit == 0 && h.reported.cold == 0 && !scarce
	}
	same := h.last.Limit == limit && h.last.Cold == cold && h.last.Scarce == scarce
	if !same || h.last.Incarnation != incarnation {
		return false
	}
	if h.unanswered() {
		return true
	}
	return h.reported.incarnation == incarnation && h.reported.limit >= limit && h.reported.cold == cold
}

// find returns what the node holds, or nil if it was never granted anything.
func (a *account) find(m *holder) *holding {
	if m.index < len(a.byHolder) {
		return a.byHolder[m.index]
	}
	return nil
}

// holding returns the accounting of the node, made if need be.
func (a *account) holding(m *holder) *holding {
	if h := a.find(m); h != nil {
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

// see takes in the incarnation named in a message and reports whether it is
// new, which makes the endpoint cold.
func (a *account) see(now time.Time, name string) bool {
	if a.incarnation.see(now, name) != changed {
		return false
	}
	// An incarnation that was first named by a late message may not be the
	// one before, so a change soon after the first sight proves nothing.
	if a.origin != inherited || !now.Before(a.since.Add(pastIgnored)) {
		a.origin = witnessed
	}
	a.reported = 0
	for _, h := range a.holdings {
		h.completed = 0
	}
	return true
}

// replace takes in that the coordinator itself has started the incarnation,
// so that no other one can be current.
func (a *account) replace() {
	a.origin = fresh
	a.incarnation.settledAt = time.Time{}
}
