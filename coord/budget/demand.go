package budget

import "time"

// divideByDemand gives each node what it asks for, with some headroom where
// the limit allows it. Under scarcity every node gets an equal part of the
// limit or what it asks for, whichever is less. While all demand is met
// nothing moves. A node that is not heard of keeps what it holds: taking it
// back would free nothing if the node is cut off, and leave it without any if
// it is not.
func (l *Ledger) divideByDemand(now time.Time, a *account, limit int) []part {
	var parts, kept []part
	total := 0
	for _, m := range l.members {
		if !m.grantable() || !m.eligible() && a.find(m) == nil {
			continue
		}
		p := part{node: m}
		h := a.find(m)
		switch {
		case h != nil && m.eligible():
			p.limit = h.demand
			total += h.demand
		case h != nil && !m.stopping:
			kept = append(kept, part{node: m, limit: h.bound(now, a).limit})
			continue
		}
		parts = append(parts, p)
	}
	for _, p := range kept {
		limit = max(0, limit-p.limit)
	}
	if total > limit {
		levelDown(parts, limit)
	} else if len(parts) > 0 {
		addHeadroom(parts, limit, limit-total)
		l.keepUnneeded(now, a, parts, limit)
	}
	parts = append(parts, kept...)
	for i := range parts {
		parts[i].cold = parts[i].limit
	}
	return parts
}

// levelDown lowers the largest parts to a common level so that they add up
// to the limit.
func levelDown(parts []part, limit int) {
	level := highestLevel(parts, limit)
	left := limit
	for i := range parts {
		left -= min(parts[i].limit, level)
	}
	for i := range parts {
		wanted := parts[i].limit
		parts[i].scarce = wanted > level
		parts[i].limit = min(wanted, level)
		if wanted > level && left > 0 {
			parts[i].limit++
			left--
		}
	}
}

// highestLevel returns the largest level at which the parts fit the limit.
func highestLevel(parts []part, limit int) int {
	low, high := 0, limit
	for low < high {
		level := (low + high + 1) / 2
		sum := 0
		for _, p := range parts {
			sum += min(p.limit, level)
		}
		if sum <= limit {
			low = level
		} else {
			high = level - 1
		}
	}
	return low
}

// idlePart is the part of an even share that an idle node keeps.
const idlePart = 4

// addHeadroom divides what is left. When some node asks for something, each
// idle node gets a part of an even share, at least one unit, if there is
// enough for all of them, and the active nodes share the rest evenly. When
// none does, all share evenly.
func addHeadroom(parts []part, limit, left int) {
	var idle, active []*part
	for i := range parts {
		switch p := &parts[i]; {
		case !p.node.eligible():
		case p.limit > 0:
			active = append(active, p)
		default:
			idle = append(idle, p)
		}
	}
	if len(active) == 0 {
		spread(idle, left)
		return
	}
	reserve := max(1, limit/(idlePart*len(parts)))
	if left < reserve*len(idle) {
		reserve = 1
	}
	if left >= reserve*len(idle) {
		spread(idle, reserve*len(idle))
		left -= reserve * len(idle)
	}
	spread(active, left)
}

// spread adds the units to the parts as evenly as possible.
func spread(parts []*part, units int) {
	for rank, p := range parts {
		p.limit += split(units, len(parts), rank)
	}
}

// keepUnneeded leaves a node's share where it is unless another node lacks
// what it asks for, so that shares do not move back and forth. A node that
// holds nothing gets its part all the same: it has to serve callers also while
// no ledger can grant anything.
func (l *Ledger) keepUnneeded(now time.Time, a *account, parts []part, limit int) {
	sum := 0
	for _, p := range parts {
		h := a.find(p.node)
		if h == nil || !p.node.eligible() {
			return
		}
		held := h.bound(now, a).limit
		if held < h.demand || held == 0 && limit >= len(parts) {
			return
		}
		sum += held
	}
	if sum > limit {
		return
	}
	for i := range parts {
		parts[i].limit = a.find(parts[i].node).bound(now, a).limit
	}
}
