package catalog

import (
	"slices"
	"strconv"
)

// maxRank is the least urgent rank. Higher priorities of a configuration count as
// maxRank and negative ones as 0, since engines take 0 to 9.
const maxRank = 9

// Rank is how urgent a request is among those for the same service. The zero value
// is the rank of requests for a service that isn't ranked.
type Rank struct {
	// Ranked is whether the service's requests are ranked.
	Ranked bool
	// Value is the rank, from 0, the most urgent one, to 9.
	Value int
	// Distance is the place of Value among the ranks in use for the service: 0 for
	// the most urgent one, 1 for the least urgent one, the others evenly between.
	Distance float64
}

// String returns the rank's value for logs, metrics and headers, or "none".
func (r Rank) String() string {
	if !r.Ranked {
		return "none"
	}
	return strconv.Itoa(r.Value)
}

// Rank returns the rank of a request of a route and a client account for a service.
// It is that of the account, if the account has one, else that of the route. The
// account may be empty.
func (c *Catalog) Rank(service string, r *Route, account string) Rank {
	inUse := c.ranks[service]
	if len(inUse) == 0 {
		return Rank{}
	}
	value, ok := c.accountRanks[account]
	if !ok {
		value = boundRank(r.Priority)
	}
	place, _ := slices.BinarySearch(inUse, value)
	distance := min(1, float64(place)/float64(len(inUse)-1))
	return Rank{Ranked: true, Value: value, Distance: distance}
}

// IsRanked reports whether the requests for a service are ranked: two of its routes
// have different priorities, so that its callers compete for capacity. Routes that
// send it no requests don't count.
func (c *Catalog) IsRanked(service string) bool { return len(c.ranks[service]) > 0 }

// indexRanks sets the ranks in use for each ranked service, in ascending order, and
// those of the accounts.
func (c *Catalog) indexRanks() {
	c.ranks, c.accountRanks = make(map[string][]int), make(map[string]int)
	var ofAccounts []int
	for i := range c.spec.Accounts {
		if a := &c.spec.Accounts[i]; a.HasPriority && a.Name != "" {
			c.accountRanks[a.Name] = boundRank(a.Priority)
			ofAccounts = append(ofAccounts, boundRank(a.Priority))
		}
	}
	for i := range c.spec.Routes {
		r := &c.spec.Routes[i]
		for _, service := range r.services() {
			c.ranks[service] = append(c.ranks[service], boundRank(r.Priority))
		}
	}
	for service, ranks := range c.ranks {
		if slices.Min(ranks) == slices.Max(ranks) {
			delete(c.ranks, service)
			continue
		}
		ranks = append(ranks, ofAccounts...)
		slices.Sort(ranks)
		c.ranks[service] = slices.Compact(ranks)
	}
}

// services returns the services that PickService may return.
func (r *Route) services() []string {
	var names []string
	for _, b := range r.Backends {
		if b.Weight > 0 {
			names = append(names, b.Service)
		}
	}
	if len(names) == 0 && len(r.Backends) > 0 {
		names = append(names, r.Backends[0].Service)
	}
	return names
}

func boundRank(priority int) int { return min(max(priority, 0), maxRank) }
