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
// incarnation taken for the present one bears, of what any other seen lately
// bears, and of what a later one bears.
type room struct{ limit, elsewhere, cold int }

func newRoom(limit, cold int) room { return room{limit: limit, elsewhere: cold, cold: cold} }

// use counts what a node may hold.
func (r *room) use(b bound) { r.spend(bound{}, b) }

// most returns the largest parts that the room allows a node.
func (r *room) most(b bound) (limit, cold int) {
	limit = b.exposure() + max(r.limit, 0)
	elsewhere := b.exposureElsewhere() + max(r.elsewhere, 0)
	return limit, min(limit, elsewhere, b.cold+max(r.cold, 0))
}

// spend takes what a node may hold more than before.
func (r *room) spend(before, after bound) {
	r.limit += before.exposure() - after.exposure()
	r.elsewhere += before.exposureElsewhere() - after.exposureElsewhere()
	r.cold += before.cold - after.cold
}

// reserve takes the room that is left to nodes that have not been heard.
func (r *room) reserve(unheard room) {
	r.limit -= max(unheard.limit, 0)
	r.elsewhere -= max(unheard.elsewhere, 0)
	r.cold -= max(unheard.cold, 0)
}

// rooms are the room beside all nodes, and beside guests in the part of the
// limits that guests may hold together.
type rooms struct{ all, guests room }

// use counts what a node may hold.
func (r *rooms) use(m *holder, b bound) {
	r.all.use(b)
	if m.Guest {
		r.guests.use(b)
	}
}

// take returns a node's wanted parts as far as the room allows and takes them
// from it. Parts that fall need no room and make none before they are
// reported.
func (r *rooms) take(p part, b bound) (limit, cold int) {
	most, mostCold := r.all.most(b)
	if p.node.Guest {
		guest, guestCold := r.guests.most(b)
		most, mostCold = min(most, guest), min(mostCold, guestCold)
	}
	limit = min(p.limit, max(b.limit, most))
	cold = min(p.cold, max(b.cold, mostCold))
	after := bound{max(b.limit, limit), b.other, max(b.cold, cold)}
	r.all.spend(b, after)
	if p.node.Guest {
		r.guests.spend(b, after)
	}
	return limit, cold
}
