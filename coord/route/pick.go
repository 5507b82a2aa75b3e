package route

import (
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

const (
	// localityMargin is how much more loaded, relative to its limit, the
	// candidate with a cached prefix may be than the best other one.
	localityMargin = 0.25
	// reserveShare is the part of a share that requests of low priority
	// leave free.
	reserveShare = 8
	// retryAfterFull and retryAfterNone are hints for refused requests.
	retryAfterFull = time.Second
	retryAfterNone = 5 * time.Second
)

// Pick chooses where the next attempt of a request goes and takes what it
// uses there: a unit of the share for Dispatch, a place in the node's own
// accounting otherwise. Every choice must be ended by Completed or Failed.
// The error says that the request did not run.
func (t *Table) Pick(now time.Time, r Request) (Choice, *problem.Error) {
	t.readmit(now)
	tg, ok := t.targets[r.Target]
	if !ok || tg.known == 0 {
		return Choice{}, noEndpoint(r.Target)
	}
	c, hit := t.choose(now, tg, &r)
	if c == nil {
		return Choice{}, full(r.Target)
	}
	return t.take(now, c, &r, hit), nil
}

// allows reports whether the request may go to candidates of the tier.
func (r *Request) allows(tr tier) bool {
	stay := r.LocalOnly || r.Refusals >= MaxRefusals
	switch tr {
	case peer:
		return !stay
	case guest:
		return !r.DataCentreOnly
	case remote:
		return !stay && !r.DataCentreOnly
	default:
		return true
	}
}

// choose returns the best candidate of the nearest tier that has one.
func (t *Table) choose(now time.Time, tg *target, r *Request) (c *candidate, hit bool) {
	for tr := range tiers {
		if !r.allows(tr) {
			continue
		}
		if c, hit = t.chooseFrom(now, tg, tr, r); c != nil {
			return c, hit
		}
	}
	return nil, false
}

func (t *Table) chooseFrom(now time.Time, tg *target, tr tier, r *Request) (*candidate, bool) {
	p := &tg.pools[tr]
	if len(p.items) == 0 {
		return nil, false
	}
	if t.opts.RoundRobin {
		return t.inTurn(p, r), false
	}
	best := t.sampled(now, p, r)
	if best == nil || tr != local || t.opts.IgnorePrefix || len(r.Prefix) == 0 {
		return best, false
	}
	cached := t.hints.find(now, r.Prefix)
	if cached == nil || cached.target != tg || cached.position == notPooled || !t.usable(cached, r) {
		return best, false
	}
	if t.cost(now, cached) <= t.cost(now, best)+localityMargin {
		return cached, true
	}
	return best, false
}

// sampled compares a run of members of the pool from a random start, all of
// them in a small pool. The run is longer by the number of members that could
// be excluded, as on a retry.
func (t *Table) sampled(now time.Time, p *pool, r *Request) *candidate {
	var best *candidate
	lowest := 0.0
	size := len(p.items)
	first := t.rng.IntN(size)
	for i := range min(size, t.opts.Samples+len(r.Tried)) {
		c := p.items[(first+i)%size]
		t.steps++
		if !t.usable(c, r) {
			continue
		}
		if cost := t.cost(now, c); best == nil || cost < lowest {
			best, lowest = c, cost
		}
	}
	return best
}

func (t *Table) inTurn(p *pool, r *Request) *candidate {
	for range min(len(p.items), len(r.Tried)+1) {
		t.steps++
		t.turn++
		if c := p.items[t.turn%uint64(len(p.items))]; t.usable(c, r) {
			return c
		}
	}
	return nil
}

// usable reports whether the request itself allows the candidate.
func (t *Table) usable(c *candidate, r *Request) bool {
	if r.Priority < 0 && c.counted <= c.limit/reserveShare {
		return false
	}
	return !slices.Contains(r.Tried, c.name)
}

// cost orders candidates: load, made larger for stragglers.
func (t *Table) cost(now time.Time, c *candidate) float64 {
	load := c.load(t.opts.IgnoreOwn)
	if t.opts.IgnoreLatency {
		return load
	}
	return load * c.slowness(now)
}

// take records the choice.
func (t *Table) take(now time.Time, c *candidate, r *Request, hit bool) Choice {
	choice := Choice{Target: c.target.name, PrefixHit: hit, candidate: c}
	switch c.tier {
	case local, guest:
		choice.Action = Dispatch
		choice.Endpoint = c.name
		choice.Generation = c.generation
		choice.Ticket, _ = t.shares.Acquire(c.name)
		t.hints.hold(now, r.Prefix, c)
	case peer:
		choice.Action = Forward
		choice.Node = c.node
		c.own++
		c.refresh()
	default:
		choice.Action = Spill
		choice.Node = c.node
		choice.DataCentre = c.name
		c.own++
		c.refresh()
	}
	c.latency.sent(now)
	return choice
}

func noEndpoint(targetName string) *problem.Error {
	return problem.New(problem.NoEndpoint,
		"nothing serves "+targetName+" at present",
		"retry later; check with pimentoshore status whether its groups are whole").WithRetryAfter(retryAfterNone)
}

func full(targetName string) *problem.Error {
	return problem.New(problem.Overloaded,
		"every reachable endpoint of "+targetName+" is at its limit",
		"retry after the given time").WithRetryAfter(retryAfterFull)
}
