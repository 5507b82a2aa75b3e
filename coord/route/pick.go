package route

import (
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

const (
	// localityMargin is how much the cost of the candidate with a cached
	// prefix may exceed that of the best other one. Costs are loads relative
	// to capacity.
	localityMargin = 0.25
	// reserveDivisor sets the part of a share, one in reserveDivisor, that
	// requests of low priority leave free.
	reserveDivisor = 8
	// retryAfterFull and retryAfterNone are the retry times suggested to
	// callers if all endpoints are full or there is none.
	retryAfterFull = time.Second
	retryAfterNone = 5 * time.Second
)

// Pick chooses the destination of the next attempt of a request and reserves
// its capacity there: a unit of the share for Dispatch, otherwise a place in
// this node's count of requests in flight. Every choice must be ended by
// Completed or Failed. An error means that the request did not run.
func (t *Table) Pick(now time.Time, r Request) (Choice, *problem.Error) {
	t.readmit(now)
	tg, ok := t.targets[r.Target]
	if !ok || tg.total == 0 {
		return Choice{}, noEndpoint(r.Target)
	}
	c, hit := t.choose(now, tg, &r)
	if c == nil {
		return Choice{}, overloaded(r.Target)
	}
	return t.reserve(now, c, &r, hit), nil
}

// allowsTier reports whether the request may go to candidates of the tier.
func (r *Request) allowsTier(tr tier) bool {
	ownOnly := r.LocalOnly || r.Refusals >= MaxRefusals
	switch tr {
	case peer:
		return !ownOnly
	case guest:
		return !r.DataCentreOnly
	case remote:
		return !ownOnly && !r.DataCentreOnly
	default:
		return true
	}
}

// choose returns the best candidate of the nearest tier that has one, and
// whether it probably caches the prompt's prefix.
func (t *Table) choose(now time.Time, tg *target, r *Request) (c *candidate, hit bool) {
	for tr := range numTiers {
		if !r.allowsTier(tr) {
			continue
		}
		if c, hit = t.chooseFrom(now, tg, tr, r); c != nil {
			return c, hit
		}
	}
	return nil, false
}

// chooseFrom returns the best candidate of one tier, or nil. A local endpoint with
// a cached prefix is preferred if it is not much more loaded.
func (t *Table) chooseFrom(now time.Time, tg *target, tr tier, r *Request) (*candidate, bool) {
	p := &tg.pools[tr]
	if len(p.items) == 0 {
		return nil, false
	}
	if t.opts.RoundRobin {
		return t.nextInTurn(p, r), false
	}
	best := t.bestOfSample(now, p, r)
	if best == nil || tr != local || t.opts.IgnorePrefix || len(r.Prefix) == 0 {
		return best, false
	}
	cached := t.hints.find(now, r.Prefix)
	if cached == nil || cached.target != tg || cached.poolIndex == notPooled || !t.canUse(cached, r) {
		return best, false
	}
	if t.cost(now, cached) <= t.cost(now, best)+localityMargin {
		return cached, true
	}
	return best, false
}

// bestOfSample returns the cheapest of some consecutive candidates of the pool
// from a random start. A pool no larger than the sample is examined in full. The
// sample grows by the number of candidates that a retry may exclude.
func (t *Table) bestOfSample(now time.Time, p *pool, r *Request) *candidate {
	var best *candidate
	lowest := 0.0
	size := len(p.items)
	first := t.rng.IntN(size)
	for i := range min(size, t.opts.Samples+len(r.Tried)) {
		c := p.items[(first+i)%size]
		t.steps++
		if !t.canUse(c, r) {
			continue
		}
		if cost := t.cost(now, c); best == nil || cost < lowest {
			best, lowest = c, cost
		}
	}
	return best
}

// nextInTurn returns the next candidate of the pool in round-robin order.
func (t *Table) nextInTurn(p *pool, r *Request) *candidate {
	for range min(len(p.items), len(r.Tried)+1) {
		t.steps++
		t.turn++
		if c := p.items[t.turn%uint64(len(p.items))]; t.canUse(c, r) {
			return c
		}
	}
	return nil
}

// canUse reports whether the request's priority and earlier attempts permit the
// candidate.
func (t *Table) canUse(c *candidate, r *Request) bool {
	if r.Priority < 0 && c.countedFree <= c.limit/reserveDivisor {
		return false
	}
	return !slices.Contains(r.Tried, c.name)
}

// cost returns the candidate's load, multiplied by its slowness. The candidate
// of least cost is chosen.
func (t *Table) cost(now time.Time, c *candidate) float64 {
	load := c.load(t.opts.IgnoreOwn)
	if t.opts.IgnoreLatency {
		return load
	}
	return load * c.slowness(now)
}

// reserve takes a unit of the candidate's capacity and returns the choice.
func (t *Table) reserve(now time.Time, c *candidate, r *Request, hit bool) Choice {
	choice := Choice{Target: c.target.name, PrefixHit: hit, candidate: c}
	switch c.tier {
	case local, guest:
		choice.Action = Dispatch
		choice.Endpoint = c.name
		choice.Generation = c.generation
		choice.Ticket, _ = t.shares.Acquire(c.name)
		t.hints.storePrefix(now, r.Prefix, c)
	case peer:
		choice.Action = Forward
		choice.Node = c.node
		c.ownInFlight++
		c.refresh()
	default:
		choice.Action = Spill
		choice.Node = c.node
		choice.DataCentre = c.name
		c.ownInFlight++
		c.refresh()
	}
	c.latency.startRequest(now)
	return choice
}

func noEndpoint(targetName string) *problem.Error {
	return problem.New(problem.NoEndpoint,
		"no endpoint serves "+targetName+" at present",
		"retry later; run pimentoshore status to see whether its groups are whole").WithRetryAfter(retryAfterNone)
}

func overloaded(targetName string) *problem.Error {
	return problem.New(problem.Overloaded,
		"every reachable endpoint of "+targetName+" is at its limit",
		"retry after the given time").WithRetryAfter(retryAfterFull)
}
