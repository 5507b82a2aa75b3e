package dispatch

import (
	"time"
)

const (
	// reservedShare is the part of a group's slots that the least urgent rank leaves
	// to the others. Requests run for several intervals between reports, in which an
	// eighth of a full group's slots become free: more would leave slots unused, and
	// less could be gone before a more urgent request arrives.
	reservedShare = 1.0 / 8
	// overdueShare is the part of a model's slots that each rank may take a second
	// beyond that, from all nodes together, while it gets nothing else. With requests
	// of 4 s it comes to a thirty-second of the slots.
	overdueShare = 1.0 / 128
	// maxHeldRanks bounds the number of ranks that are held back, of all models.
	maxHeldRanks = 1024
)

// rankKey identifies the requests of one rank in a pool.
type rankKey struct {
	pool poolKey
	rank int
}

// isHeldBack reports whether a request leaves the reserve to more urgent ones.
func (q *Query) isHeldBack() bool {
	return q.Rank.Distance > 0 && !q.Begun && !q.Repeat && !q.Resent
}

// isReserved reports whether the free slots of a group are reserved for requests
// that are more urgent. All nodes see about the same, since they have the same
// reports: what the newest one leaves below the reserve is divided among them as
// the free slots are for the most urgent requests.
func (t *Table) isReserved(target *Target, q *Query) bool {
	if target.Group == "" || !q.isHeldBack() {
		return false
	}
	usable := target.Slots - reservedSlots(target.Slots, q.Rank.Distance)
	if target.load() >= usable {
		return true
	}
	left := max(0, usable-target.otherRequests-target.reportedOwn)
	share := float64(left) * min(1, freeShareFactor/float64(t.nodes))
	return len(target.tickets) >= target.reportedOwn+target.roundRandomly(share, target.reportSeed(), t.rank)
}

// reservedSlots returns how many of a group's slots a request leaves to more urgent
// ones, by the distance of its rank from the most urgent one.
func reservedSlots(slots int, distance float64) int {
	return int(float64(slots) * reservedShare * distance)
}

// chooseByRank chooses like choose. Requests of a rank that has been held back for
// long see the table as the most urgent ones do, one at a time, so that more urgent
// ones never shut them out.
func (t *Table) chooseByRank(now time.Time, q Query) (*Target, refusals) {
	best, reasons := t.choose(now, q)
	if !q.isHeldBack() {
		return best, reasons
	}
	key := rankKey{poolKey{q.Service, q.Model}, q.Rank.Value}
	if best == nil && reasons.reason == AllFull && t.isOverdue(now, key) {
		q.Rank.Distance = 0
		best, reasons = t.choose(now, q)
	}
	if best != nil {
		delete(t.heldSince, key)
	} else if reasons.reason == AllFull {
		t.recordHeld(now, key)
	}
	return best, reasons
}

// recordHeld records that requests of a rank are held back from now on, unless they
// are already.
func (t *Table) recordHeld(now time.Time, key rankKey) {
	if _, held := t.heldSince[key]; held {
		return
	}
	if len(t.heldSince) >= maxHeldRanks {
		clear(t.heldSince)
	}
	t.heldSince[key] = now
}

// IsOverdue reports whether the requests of a rank for a model have been held back or
// refused for so long that this node may place one as if it were the most urgent.
func (t *Table) IsOverdue(now time.Time, service, model string, rank int) bool {
	return t.isOverdue(now, rankKey{poolKey{service, model}, rank})
}

func (t *Table) isOverdue(now time.Time, key rankKey) bool {
	since, held := t.heldSince[key]
	if !held {
		return false
	}
	slots := 0.0
	for _, target := range t.pools[key.pool] {
		slots += float64(target.Slots)
	}
	if slots <= 0 {
		return false
	}
	// Nodes that were held back at the same time are not overdue at the same time.
	spread := 0.5 + unitHash(uint64(since.UnixNano()), t.rank)
	return now.Sub(since).Seconds() >= spread*float64(t.nodes)/(overdueShare*slots)
}
