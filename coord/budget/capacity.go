package budget

// bound is an upper bound on the concurrent requests that a node may hold of
// an endpoint.
type bound struct {
	// limit applies at the incarnation that the ledger takes for the current
	// one, other at any other incarnation seen recently.
	limit, other int
	// cold applies at a later incarnation.
	cold int
}

// exposure returns the most requests that the node may have in flight at the
// incarnation taken for the current one or at a later one.
func (b bound) exposure() int { return max(b.limit, b.cold) }

// exposureAtOther returns the same for the case that another recently seen
// incarnation is the current one.
func (b bound) exposureAtOther() int { return max(b.other, b.cold) }

// capacity is the part of an endpoint's limits that no node can hold: at the
// incarnation taken for the current one, at any other one seen recently, and
// at a later one.
type capacity struct{ limit, other, cold int }

func newCapacity(limit, cold int) capacity { return capacity{limit: limit, other: cold, cold: cold} }

// subtract deducts what a node may hold.
func (c *capacity) subtract(b bound) { c.replace(bound{}, b) }

// maxGrant returns the largest limit and cold part that can be granted to a
// node with the given bound.
func (c *capacity) maxGrant(b bound) (limit, cold int) {
	limit = b.exposure() + max(c.limit, 0)
	other := b.exposureAtOther() + max(c.other, 0)
	return limit, min(limit, other, b.cold+max(c.cold, 0))
}

// replace adjusts the capacity when a node's bound changes.
func (c *capacity) replace(before, after bound) {
	c.limit += before.exposure() - after.exposure()
	c.other += before.exposureAtOther() - after.exposureAtOther()
	c.cold += before.cold - after.cold
}

// reserve deducts the capacity that nodes which have not reported may hold.
func (c *capacity) reserve(unreported capacity) {
	c.limit -= max(unreported.limit, 0)
	c.other -= max(unreported.other, 0)
	c.cold -= max(unreported.cold, 0)
}

// capacities are the capacity left by all nodes, and the capacity left by
// guests in the part of the limits that guests together may hold.
type capacities struct{ all, guests capacity }

// subtract deducts what a node may hold.
func (c *capacities) subtract(m *holder, b bound) {
	c.all.subtract(b)
	if m.Guest {
		c.guests.subtract(b)
	}
}

// allot returns how much of the part can be granted to its node and deducts
// it. Lowering a part needs no capacity, and frees none until the node has
// reported the lower value.
func (c *capacities) allot(p part, b bound) (limit, cold int) {
	most, mostCold := c.all.maxGrant(b)
	if p.node.Guest {
		guest, guestCold := c.guests.maxGrant(b)
		most, mostCold = min(most, guest), min(mostCold, guestCold)
	}
	limit = min(p.limit, max(b.limit, most))
	cold = min(p.cold, max(b.cold, mostCold))
	after := bound{max(b.limit, limit), b.other, max(b.cold, cold)}
	c.all.replace(b, after)
	if p.node.Guest {
		c.guests.replace(b, after)
	}
	return limit, cold
}
