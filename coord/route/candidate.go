package route

import "time"

// tier orders candidates by nearness.
type tier int

const (
	local  tier = iota // an endpoint of this data centre in which this node holds a share
	peer               // a home node of this data centre
	guest              // an endpoint of another data centre in which this node holds a share
	remote             // another data centre
	tiers
)

// candidate is one place that serves a target.
type candidate struct {
	tier        tier
	name        string
	target      *target
	incarnation string
	generation  uint64
	node        string
	// serving is false while the candidate must get nothing new.
	serving bool

	// limit is this node's share for a local candidate and the reported limit
	// for others; bears is what the whole endpoint takes, 0 if unknown.
	limit int
	bears int
	// own counts this node's requests in flight, others is the last estimate
	// of those of other nodes.
	own    int
	others int
	ramp   ramp

	latency  latency
	failures int
	avoided  bool
	retryAt  time.Time

	// cleared is when the cache was last dropped; older hints are void.
	cleared  time.Time
	position int
	counted  int // part of target.free
	// bearing says that the candidate is part of target.bearing.
	bearing bool
}

// held reports whether this node holds a share of the candidate.
func (c *candidate) held() bool { return c.tier == local || c.tier == guest }

// free estimates how many more requests the candidate takes from this node.
// For a local one it is exact.
func (c *candidate) free() int {
	if !c.serving || c.avoided {
		return 0
	}
	switch c.tier {
	case local, guest:
		return max(0, c.limit-c.own)
	case remote:
		return max(0, min(c.limit-c.own-c.others, c.ramp.allowed-c.own))
	default:
		return max(0, c.limit-c.own-c.others)
	}
}

// load is the outstanding work of all nodes, this one's since the last report
// included, relative to what the candidate bears.
func (c *candidate) load(ignoreOwn bool) float64 {
	outstanding := c.others + c.own
	if ignoreOwn {
		outstanding = c.others
	}
	return float64(outstanding+1) / float64(max(c.bears, c.limit, 1))
}

// report takes in a lagging count of requests in flight of all nodes. What
// this node has in flight by then is taken as part of it.
func (c *candidate) report(inFlight int, ignoreOwn bool) {
	if ignoreOwn {
		c.others = inFlight
		return
	}
	c.others = max(0, inFlight-c.own)
}

// target is a model or a service with its candidates.
type target struct {
	name  string
	pools [tiers]pool
	// known counts candidates, pooled or not.
	known   int
	avoided int
	free    int
	// bearing counts candidates that get requests now or once some have ended.
	bearing int
	peers   peerLatency
}

// recountBearing keeps target.bearing after a change.
func (c *candidate) recountBearing() {
	bearing := c.serving && c.limit > 0
	switch {
	case bearing && !c.bearing:
		c.target.bearing++
	case !bearing && c.bearing:
		c.target.bearing--
	}
	c.bearing = bearing
}

// refresh moves the candidate in or out of its pool after a change.
func (c *candidate) refresh() {
	free := c.free()
	c.target.free += free - c.counted
	c.counted = free
	c.recountBearing()
	if free > 0 {
		c.target.pools[c.tier].add(c)
	} else {
		c.target.pools[c.tier].remove(c)
	}
}
