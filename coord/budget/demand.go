package budget

import "time"

// divideByDemand gives each node its demand, plus headroom where the limit
// allows it. Under scarcity each node gets an equal part of the limit or its
// demand, whichever is less. While all demand is met, shares do not move. A
// node that is not live keeps its share: revoking it would free nothing if the
// node is cut off, and leave the node without a share if it is not.
func (l *Ledger) divideByDemand(now time.Time, a *account, limit int) []part {
	var parts, kept []part
	total := 0
	for _, m := range l.members {
		if !m.isGrantable() || !m.isEligible() && a.findHolding(m) == nil {
			continue
		}
		p := part{node: m}
		h := a.findHolding(m)
		switch {
		case h != nil && m.isEligible():
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
		capAtLevel(parts, limit)
	} else if len(parts) > 0 {
		addHeadroom(parts, limit, limit-total)
		l.keepSufficient(now, a, parts, limit)
	}
	parts = append(parts, kept...)
	for i := range parts {
		parts[i].cold = parts[i].limit
	}
	return parts
}

// capAtLevel lowers the largest parts to a common level so that the parts add up
// to the limit.
func capAtLevel(parts []part, limit int) {
	level := highestLevel(parts, limit)
	remaining := limit
	for i := range parts {
		remaining -= min(parts[i].limit, level)
	}
	for i := range parts {
		demand := parts[i].limit
		parts[i].scarce = demand > level
		parts[i].limit = min(demand, level)
		if demand > level && remaining > 0 {
			parts[i].limit++
			remaining--
		}
	}
}

// highestLevel returns the largest level at which the sum of the parts, each
// capped at the level, does not exceed the limit.
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

// idleDivisor divides an even share to give the part of an idle node.
const idleDivisor = 4

// addHeadroom divides what remains of the limit after all demand is met. If some
// node has demand, each idle node gets a fraction of an even share, at least
// one unit, provided that there is enough for all idle nodes, and the active
// nodes share the rest evenly. If none has, all share evenly.
func addHeadroom(parts []part, limit, remaining int) {
	var idle, active []*part
	for i := range parts {
		switch p := &parts[i]; {
		case !p.node.isEligible():
		case p.limit > 0:
			active = append(active, p)
		default:
			idle = append(idle, p)
		}
	}
	if len(active) == 0 {
		spread(idle, remaining)
		return
	}
	reserve := max(1, limit/(idleDivisor*len(parts)))
	if remaining < reserve*len(idle) {
		reserve = 1
	}
	if remaining >= reserve*len(idle) {
		spread(idle, reserve*len(idle))
		remaining -= reserve * len(idle)
	}
	spread(active, remaining)
}

// spread distributes the units over the parts as evenly as possible.
func spread(parts []*part, units int) {
	for rank, p := range parts {
		p.limit += split(units, len(parts), rank)
	}
}

// keepSufficient keeps all shares unchanged unless some node's demand exceeds its
// share, so that shares do not move back and forth. A node without a share
// still gets its part, because it must serve callers even while no ledger can
// grant anything.
func (l *Ledger) keepSufficient(now time.Time, a *account, parts []part, limit int) {
	sum := 0
	for _, p := range parts {
		h := a.findHolding(p.node)
		if h == nil || !p.node.isEligible() {
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
		parts[i].limit = a.findHolding(parts[i].node).bound(now, a).limit
	}
}
