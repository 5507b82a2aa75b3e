package catalog

import (
	"testing"

	"gotest.tools/v3/assert"
)

func testCatalog() *Catalog {
	routes := []Route{
		{Name: "short", Host: "h", Prefix: "/a/", Backends: []Backend{{"s", 1}}},
		{Name: "long", Host: "h", Prefix: "/a/b/", Backends: []Backend{{"s", 1}}, Public: true},
	}
	return New(3, routes, []Service{{Name: "s"}}, AccountList(Account{Name: "acc", Keys: []string{"k1", "k2"}}), Limits{})
}

func TestLongestPrefixWins(t *testing.T) {
	c := testCatalog()
	assert.Equal(t, c.Match("h", "/a/b/c").Name, "long")
	assert.Equal(t, c.Match("h", "/a/x").Name, "short")
	assert.Assert(t, c.Match("h", "/a") == nil)
	assert.Assert(t, c.Match("other", "/a/b/") == nil)
}

func TestAccountKeys(t *testing.T) {
	c := testCatalog()
	assert.Equal(t, c.Account("k2").Name, "acc")
	assert.Assert(t, c.Account("gone") == nil)
	assert.Assert(t, c.NeedsKey(c.Match("h", "/a/x")))
	assert.Assert(t, !c.NeedsKey(c.Match("h", "/a/b/")))
}

func TestSplitFollowsWeights(t *testing.T) {
	r := Route{Backends: []Backend{{"a", 90}, {"b", 10}}}
	counts := map[string]int{}
	for draw := range uint64(1000) {
		counts[r.PickService(draw)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 900, "b": 100})
	none := Route{Backends: []Backend{{"a", 0}}}
	assert.Equal(t, none.PickService(7), "a")
}

func TestRepeatable(t *testing.T) {
	assert.Assert(t, (&Route{Kind: Idempotent}).Repeatable())
	assert.Assert(t, !(&Route{Kind: Once}).Repeatable())
	assert.Assert(t, !(&Route{Kind: Stream}).Repeatable())
	assert.Assert(t, (&Route{Kind: Stream, Resumable: true}).Repeatable())
}

// Guards against capacity that follows demand where a deployment's configuration
// doesn't rank the routes of that service.
func TestIsRanked(t *testing.T) {
	route := func(priority int, services ...string) Route {
		r := Route{Host: "h", Priority: priority}
		for _, s := range services {
			r.Backends = append(r.Backends, Backend{s, 1})
		}
		return r
	}
	for name, test := range map[string]struct {
		routes []Route
		want   bool
	}{
		"none":                 {nil, false},
		"one":                  {[]Route{route(1, "llm")}, false},
		"same priority":        {[]Route{route(1, "llm"), route(1, "llm")}, false},
		"different":            {[]Route{route(1, "llm"), route(1, "llm"), route(0, "llm")}, true},
		"of different service": {[]Route{route(1, "llm"), route(0, "other")}, false},
		"one of two backends":  {[]Route{route(1, "llm"), route(0, "other", "llm")}, true},
	} {
		c := New(1, test.routes, nil, Accounts{}, Limits{})
		assert.Equal(t, c.IsRanked("llm"), test.want, name)
	}
}

// Guards against a service whose capacity follows demand although its requests aren't
// ranked: priorities that count as the same rank, and a route that sends the service
// no requests.
func TestIsRankedAgreesWithRanks(t *testing.T) {
	route := func(priority, weight int) Route {
		return Route{Host: "h", Priority: priority, Backends: []Backend{{"llm", weight}, {"other", 1}}}
	}
	for name, routes := range map[string][]Route{
		"beyond the least urgent rank": {route(9, 1), route(12, 1)},
		"below the most urgent rank":   {route(0, 1), route(-1, 1)},
		"weight of zero":               {route(0, 1), route(2, 0)},
		"different":                    {route(0, 1), route(2, 1)},
	} {
		c := New(1, routes, nil, Accounts{}, Limits{})
		assert.Equal(t, c.IsRanked("llm"), c.Rank("llm", &routes[0], "").Ranked, name)
	}
}
