package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

const (
	// minNodeRate is the least share of an endpoint's limit, in requests a second,
	// that a node gets. Of a limit that is too small for all nodes, only some have a
	// share, other ones for each endpoint.
	minNodeRate = 0.5
	// minDemandShare times its equal share is what a node gets of a limit when it
	// had hardly any requests so far.
	minDemandShare = 0.25
	// limiterBurst is the time whose share a node may use at once.
	limiterBurst = time.Second
)

// limiter keeps this node's requests to its share of the rate that an endpoint
// takes from all nodes together. It is a token bucket.
type limiter struct {
	tokens float64
	at     time.Time // when tokens was computed
}

// refill adds the tokens since the last call at a rate in tokens a second.
func (l *limiter) refill(now time.Time, rate float64) {
	if !l.at.IsZero() {
		l.tokens = min(l.tokens+rate*now.Sub(l.at).Seconds(), max(1, rate*limiterBurst.Seconds()))
	}
	l.at = now
}

// wait returns the time until the next request may be sent at a rate in requests a
// second, 0 if it may be sent now.
func (l *limiter) wait(now time.Time, rate float64) time.Duration {
	l.refill(now, rate)
	if l.tokens >= 1 {
		return 0
	}
	if rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration((1 - l.tokens) / rate * float64(time.Second))
}

// take takes the token of a request.
func (l *limiter) take() { l.tokens-- }

// limitWait returns the time until this node may send a request to a target
// because of the limit of its VM, 0 if it may be sent now.
func (t *Table) limitWait(now time.Time, target *Target, vm *fleet.VM) time.Duration {
	if vm == nil || !vm.Limit.IsInForce(now) {
		target.limiter = limiter{}
		return 0
	}
	return target.limiter.wait(now, t.nodeRate(now, vm))
}

// SetDemandShare sets which part of all nodes' requests this node gets, from 0 to 1.
// If known is false, all nodes are taken to get the same.
func (t *Table) SetDemandShare(share float64, known bool) {
	t.demandShare, t.demandKnown = share, known
}

// nodeRate returns this node's share of a VM's limit in requests a second. Nodes
// share a limit by their demand, or, if it is too small for all, some share it
// equally.
func (t *Table) nodeRate(now time.Time, vm *fleet.VM) float64 {
	nodes := t.nodeCounts.sharers(now)
	if nodes == 0 {
		return 0
	}
	limit := vm.Limit.PerSecond
	sharers := min(max(1, int(limit/minNodeRate)), nodes)
	switch {
	case sharers == nodes && t.demandKnown:
		return limit * max(t.demandShare, minDemandShare/float64(nodes))
	case t.turn(vm.ID, nodes) >= sharers:
		return 0
	}
	return limit / float64(sharers)
}

// turn returns this node's place, from 0, in an order of n nodes that differs from
// target to target.
func (t *Table) turn(id string, n int) int {
	return int((uint64(t.rank) + xxhash.Sum64String(id)) % uint64(n))
}
