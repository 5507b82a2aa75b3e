package catalog

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

func rankedCatalog() *Catalog {
	routes := []Route{
		{Name: "a", Host: "h", Prefix: "/a/", Backends: []Backend{{"s", 1}}, Priority: 0},
		{Name: "b", Host: "h", Prefix: "/b/", Backends: []Backend{{"s", 1}, {"off", 0}}, Priority: 2},
		{Name: "c", Host: "h", Prefix: "/c/", Backends: []Backend{{"even", 1}, {"off", 1}}, Priority: 4},
		{Name: "d", Host: "h", Prefix: "/d/", Backends: []Backend{{"even", 1}}, Priority: 4},
	}
	accounts := AccountList(Account{Name: "plain"}, Account{Name: "batch", Priority: 40, HasPriority: true}, Account{Name: "first", Priority: -3, HasPriority: true})
	return New(1, routes, nil, accounts, Limits{})
}

// Guards against ranks where a configuration doesn't rank a service's routes, and
// against values that engines don't take. Load: accounts with and without priorities.
func TestRanks(t *testing.T) {
	c := rankedCatalog()
	raw, err := json.Marshal(c)
	assert.NilError(t, err)
	var copied Catalog
	assert.NilError(t, json.Unmarshal(raw, &copied))
	for _, c := range []*Catalog{c, &copied} {
		a, b := c.Match("h", "/a/"), c.Match("h", "/b/")
		for _, test := range []struct {
			service, account string
			route            *Route
			want             Rank
		}{
			{"s", "", a, Rank{true, 0, 0}},
			{"s", "plain", b, Rank{true, 2, 0.5}},
			{"s", "batch", a, Rank{true, 9, 1}},
			{"s", "first", b, Rank{true, 0, 0}},
			{"s", "unknown", b, Rank{true, 2, 0.5}},
			{"even", "batch", c.Match("h", "/c/"), Rank{}},
			{"off", "batch", c.Match("h", "/c/"), Rank{}}, // its other route has weight 0
			{"other", "batch", a, Rank{}},
		} {
			assert.DeepEqual(t, c.Rank(test.service, test.route, test.account), test.want)
			assert.Equal(t, c.IsRanked(test.service), test.want.Ranked)
		}
	}
	assert.Equal(t, Rank{}.String(), "none")
	assert.Equal(t, Rank{Ranked: true, Value: 3}.String(), "3")
}
