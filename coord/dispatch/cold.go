package dispatch

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

// hasColdCapacity reports whether this node may send a target another request
// within the rate limit of cold endpoints. A target that is known to be warm has no
// such limit. A process that has just started sends none: the one before may have used
// the rate.
func (t *Table) hasColdCapacity(now time.Time, target *Target, vm *fleet.VM) bool {
	if vm == nil || !now.Before(vm.ColdUntil) && !now.Before(target.unknownWarmthUntil) {
		return true
	}
	svc := t.catalog.Service(target.Service)
	if svc == nil || svc.ColdPerSecond <= 0 {
		return true
	}
	if now.Sub(t.opts.StartedAt) < coldWindow {
		return false
	}
	return target.cold.isBelow(now, t.coldShare(now, target.ID, t.usableColdRate(svc)))
}

// usableColdRate returns how many requests all nodes together send to a cold endpoint
// of a service in a second.
func (t *Table) usableColdRate(svc *catalog.Service) int {
	limit := svc.ColdPerSecond*t.opts.ColdOverage + t.opts.ColdSlack
	return int(limit * coldUsableFraction)
}

// coldShare returns this node's share of the request rate that all nodes may send
// to a cold target. If there are more nodes than requests, the nodes that may
// send differ from target to target. One share is reserved for a node that is
// not listed yet.
func (t *Table) coldShare(now time.Time, id string, limit int) int {
	sharers := t.nodeCounts.sharers(now)
	if sharers == 0 {
		return 0
	}
	shares := sharers + 1
	share := limit / shares
	if t.turn(id, shares) < limit%shares {
		share++
	}
	return share
}

// coldUsableFraction is the fraction of a cold target's rate that is shared out.
// The rest is reserved for nodes that are not counted yet.
const coldUsableFraction = 0.9

// coldRate counts the requests sent to a target within coldWindow, also while it is
// warm: it may turn cold at any moment.
type coldRate struct {
	sent []time.Time
}

func (c *coldRate) record(now time.Time) {
	c.forget(now)
	c.sent = append(c.sent, now)
}

func (c *coldRate) isBelow(now time.Time, limit int) bool {
	c.forget(now)
	return len(c.sent) < limit
}

// forget drops the requests that were sent before the window.
func (c *coldRate) forget(now time.Time) {
	old := 0
	for old < len(c.sent) && now.Sub(c.sent[old]) >= coldWindow {
		old++
	}
	if old > 0 {
		c.sent = append(c.sent[:0], c.sent[old:]...)
	}
}

// coldWindow is slightly longer than the second for which the limit is defined,
// since network delays vary between requests.
const coldWindow = 1100 * time.Millisecond
