package budget

// bound is the most that a node may hold of an endpoint.
type bound struct {
	// limit applies if the incarnation taken for the present one is, other if
	// another one that was seen lately is.
	limit, other int
	// cold applies at a later incarnation.
	cold int
}

// exposure is the most that the node may have in flight at the incarnation
// taken for the present one, or at a later one.
func (b bound) exposure() int { return max(b.limit, b.cold) }

// exposureElsewhere is the same if the present one is another.
func (b bound) exposureElsewhere() int { return max(b.other, b.cold) }

// room is the part of an endpoint's limits that no node can hold: of what the
// incarnation taken for the present one bears, and of what any other bears.
type room struct{ limit, cold int }

// use counts what a node may hold.
func (r *room) use(b bound) {
	r.limit -= b.exposure()
	r.cold -= b.exposureElsewhere()
}

// take returns the wanted parts as far as the room allows and takes them from
// it. Parts that fall need no room and make none before they are reported.
func (r *room) take(b bound, wantLimit, wantCold int) (limit, cold int) {
	most := b.exposure() + max(r.limit, 0)
	mostCold := min(most, b.exposureElsewhere()+max(r.cold, 0))
	limit = min(wantLimit, max(b.limit, most))
	cold = min(wantCold, max(b.cold, mostCold))
	after := bound{max(b.limit, limit), b.other, max(b.cold, cold)}
	r.limit += b.exposure() - after.exposure()
	r.cold += b.exposureElsewhere() - after.exposureElsewhere()
	return limit, cold
}
