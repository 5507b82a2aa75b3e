package updates

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
)

// keyedCatalog returns a configuration with one route and an account with the given keys.
func keyedCatalog(version int64, keys ...string) *catalog.Catalog {
	return catalog.New(version, []catalog.Route{{Name: "r", Host: "h", Prefix: "/"}}, nil,
		catalog.AccountList(catalog.Account{Name: "a", Keys: keys}), catalog.Limits{})
}

// unusable returns what remains of a configuration that can't be used.
func unusable(c *catalog.Catalog) *Unusable { return NewUnusable(c.Version, c.AccountsAlone()) }

// Guards against a withdrawn key that stays valid, at the node that reads and at those
// that follow it, because the configuration that withdraws it can't be used.
func TestAccountsOfAnUnusableConfigurationAreInForce(t *testing.T) {
	reader, follower := NewRecord(), NewRecord()
	relay := func() {
		raw, err := json.Marshal(reader.OperatorsAfter(follower.Position()))
		assert.NilError(t, err)
		var u Operators
		assert.NilError(t, json.Unmarshal(raw, &u))
		follower.PutOperators(start, u)
	}
	check := func(version int64, keys int, uncertain bool) {
		t.Helper()
		relay()
		for _, r := range []*Record{reader, follower} {
			c := r.Catalog()
			assert.Equal(t, c.Version, version)
			assert.Equal(t, c.Keys(), catalog.KeysRequired)
			assert.Equal(t, c.KeyCount(), keys)
			assert.Assert(t, c.Match("h", "/") != nil, "its routes stay")
			assert.Equal(t, r.KeysUncertain(), uncertain)
		}
	}
	assert.Assert(t, reader.PutOperators(start, Operators{Version: 1, Whole: true, Catalog: keyedCatalog(1, "k1", "k2")}))
	check(1, 2, false)
	assert.Assert(t, reader.PutOperators(start, Operators{Version: 2, Unusable: unusable(keyedCatalog(2, "k2"))}))
	check(1, 1, false)
	inForce := follower.Catalog()
	assert.Assert(t, reader.PutOperators(start, Operators{Version: 3, Evacuated: map[string]bool{"dc": true}}))
	check(1, 1, false)
	assert.Equal(t, follower.Catalog(), inForce, "what hasn't changed is not made again")
	assert.Assert(t, reader.PutOperators(start, Operators{Version: 4, Unusable: &Unusable{Version: 4, AccountsUnknown: true}}))
	check(1, 1, true)
	assert.Assert(t, reader.PutOperators(start, Operators{Version: 4, Whole: true, Catalog: keyedCatalog(1, "k1", "k2")}))
	check(1, 1, true)
	assert.Assert(t, reader.PutOperators(start, Operators{Version: 5, Whole: true, Unusable: unusable(catalog.New(5, nil, nil, catalog.AccountList(), catalog.Limits{}))}))
	check(1, 0, false)
	assert.Assert(t, reader.PutOperators(start, Operators{Version: 6, Catalog: keyedCatalog(6, "k6")}))
	check(6, 1, false)
	assert.Assert(t, reader.PutOperators(start, Operators{Version: 7, Unusable: unusable(keyedCatalog(4))}))
	check(6, 1, false)
	assert.Assert(t, reader.PutOperators(start, Operators{Version: 8, Unusable: &Unusable{Version: UnreadableVersion, AccountsUnknown: true}}))
	check(6, 1, true)
	assert.Assert(t, reader.PutOperators(start, Operators{Version: 9, Evacuated: map[string]bool{"dc": true}}))
	check(6, 1, true)
	assert.Assert(t, reader.PutOperators(start, Operators{Version: 10, Catalog: keyedCatalog(6, "k6")}))
	check(6, 1, false)
}

// Guards against a configuration that can't be used and opens a deployment, or makes one
// without accounts refuse its callers.
func TestUnusableConfigurationWithoutAccountsOpensNothing(t *testing.T) {
	open := catalog.New(2, nil, nil, catalog.Accounts{}, catalog.Limits{})
	for _, keyed := range []bool{true, false} {
		r := NewRecord()
		before := keyedCatalog(1, "k")
		if !keyed {
			before = catalog.New(1, nil, nil, catalog.Accounts{}, catalog.Limits{})
		}
		assert.Assert(t, r.PutOperators(start, Operators{Version: 1, Whole: true, Catalog: before}))
		assert.Assert(t, r.PutOperators(start, Operators{Version: 2, Unusable: unusable(open)}))
		assert.Equal(t, r.Catalog(), before)
		assert.Equal(t, r.KeysUncertain(), keyed)
	}
}

// Guards against a node without any configuration that ends at one that can't be used.
func TestUnusableConfigurationComesFirst(t *testing.T) {
	r := NewRecord()
	assert.Assert(t, r.PutOperators(start, Operators{Version: 1, Whole: true, Unusable: unusable(keyedCatalog(3, "k3"))}))
	assert.Assert(t, r.Catalog() == nil)
	assert.Assert(t, !r.KeysUncertain())
	assert.Assert(t, r.PutCatalog(keyedCatalog(2, "k2")), "from a node that asks")
	assert.Assert(t, r.Catalog().Account("k2") == nil)
	assert.Equal(t, r.Catalog().Account("k3").Name, "a")
}
