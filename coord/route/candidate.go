package route

import "time"

// tier is the proximity of a candidate; lower tiers are preferred.
type tier int

const (
	local  tier = iota // an endpoint of this data centre in which this node holds a share
	peer               // a home node of this data centre
	guest              // an endpoint of another data centre in which this node holds a share
	remote             // another data centre
	numTiers
)

// candidate is an endpoint, a node or a data centre that serves a target.
type candidate struct {
	tier        tier
	name        string
	target      *target
	incarnation string
	generation  uint64
	node        string // the node to which requests for a peer or remote candidate are sent
	// serving is false while the candidate must not get new requests.
	serving bool

	// limit is this node's share of an endpoint, or the reported limit of a
	// node or data centre. capacity is the limit of the whole endpoint, 0 if
	// unknown. Both count concurrent requests.
	limit    int
	capacity int
	// ownInFlight counts this node's requests in flight; othersInFlight is the
	// last estimate of those of other nodes.
	ownInFlight    int
	othersInFlight int
	ramp           ramp

	latency      latency
	tokenLatency time.Duration // last reported time per token, 0 if unknown
	failures     int
	avoided      bool
	retryAt      time.Time

	// clearedAt is when the cache was last cleared; older hints are invalid.
	clearedAt   time.Time
	poolIndex   int
	countedFree int // what the candidate contributes to target.free
	// eligible is set if the candidate is counted in target.eligible.
	eligible bool
}

// hasShare reports whether the candidate is an endpoint to which this node
// dispatches within a share.
func (c *candidate) hasShare() bool { return c.tier == local || c.tier == guest }

// free estimates how many more requests the candidate can take from this node.
// It is exact for endpoints.
func (c *candidate) free() int {
	if !c.serving || c.avoided {
		return 0
	}
	switch c.tier {
	case local, guest:
		return max(0, c.limit-c.ownInFlight)
	case remote:
		return max(0, min(c.limit-c.ownInFlight-c.othersInFlight, c.ramp.allowed-c.ownInFlight))
	default:
		return max(0, c.limit-c.ownInFlight-c.othersInFlight)
	}
}

// load returns the requests in flight of all nodes, including those that this
// node has sent since the last report and the one to be placed, relative to the
// candidate's capacity. With ignoreOwn it counts reported requests only.
func (c *candidate) load(ignoreOwn bool) float64 {
	outstanding := c.othersInFlight + c.ownInFlight
	if ignoreOwn {
		outstanding = c.othersInFlight
	}
	return float64(outstanding+1) / float64(max(c.capacity, c.limit, 1))
}

// setInFlight updates othersInFlight from a delayed report of the requests in
// flight of all nodes. The report is assumed to include those that this node has
// in flight now.
func (c *candidate) setInFlight(inFlight int, ignoreOwn bool) {
	if ignoreOwn {
		c.othersInFlight = inFlight
		return
	}
	c.othersInFlight = max(0, inFlight-c.ownInFlight)
}

// target is a model or a service with its candidates.
type target struct {
	name  string
	pools [numTiers]pool
	// total counts all candidates, whether they are in a pool or not.
	total   int
	avoided int
	free    int
	// eligible counts candidates that can take a request now or after some in
	// flight have ended.
	eligible     int
	latency      runningMedian // of the latencies of local endpoints
	tokenLatency runningMedian // of the reported times per token
}

// updateEligible updates c.eligible and target.eligible after a change.
func (c *candidate) updateEligible() {
	eligible := c.serving && c.limit > 0
	switch {
	case eligible && !c.eligible:
		c.target.eligible++
	case !eligible && c.eligible:
		c.target.eligible--
	}
	c.eligible = eligible
}

// refresh updates the target's counts after a change of the candidate, and adds
// the candidate to its pool or removes it.
func (c *candidate) refresh() {
	free := c.free()
	c.target.free += free - c.countedFree
	c.countedFree = free
	c.updateEligible()
	if free > 0 {
		c.target.pools[c.tier].add(c)
	} else {
		c.target.pools[c.tier].remove(c)
	}
}
