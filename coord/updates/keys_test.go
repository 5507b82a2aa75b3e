package updates

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
)

// unstated returns a configuration without accounts from a node with earlier software.
func unstated(t *testing.T, version int64) *catalog.Catalog {
	t.Helper()
	raw, err := json.Marshal(map[string]any{"Version": version, "Accounts": []any{}})
	assert.NilError(t, err)
	var c catalog.Catalog
	assert.NilError(t, json.Unmarshal(raw, &c))
	return &c
}

// Guards against a record that keeps what a node with earlier software made of a list
// of accounts, although another source says whether there is one.
func TestStatedRuleForKeysReplacesAnUnstatedOne(t *testing.T) {
	keyed := catalog.New(1, nil, nil, catalog.AccountList(catalog.Account{Name: "a", Keys: []string{"k"}}), catalog.Limits{})
	for want, accounts := range map[catalog.KeyRule]catalog.Accounts{
		catalog.KeysRequired: catalog.AccountList(), catalog.KeysIgnored: {},
	} {
		r := NewRecord()
		assert.Assert(t, r.PutCatalog(keyed))
		assert.Assert(t, r.PutCatalog(unstated(t, 2)))
		assert.Equal(t, r.Catalog().Keys(), catalog.KeysRequired, "there were keys")
		assert.Equal(t, r.Position().CatalogVersion, int64(1), "it asks for the configuration again")
		assert.Assert(t, !r.PutCatalog(unstated(t, 2)))
		stated := catalog.New(2, nil, nil, accounts, catalog.Limits{})
		assert.Assert(t, r.PutCatalog(stated))
		assert.Equal(t, r.Catalog().Keys(), want)
		assert.Equal(t, r.Position().CatalogVersion, int64(2))
		assert.Assert(t, !r.PutCatalog(unstated(t, 2)))
		assert.Assert(t, !r.PutCatalog(stated))
	}
}

// Guards against a withdrawn key that a store brings back which was restored from an
// older copy.
func TestRestoredStoreBringsNoKeyBack(t *testing.T) {
	r := NewRecord()
	assert.Assert(t, r.PutOperators(start, Operators{Era: 1, Version: 10, Whole: true, Catalog: keyedCatalog(1, "k1")}))
	assert.Assert(t, r.PutOperators(start, Operators{Era: 1, Version: 11, Catalog: catalog.New(2, nil, nil, catalog.AccountList(), catalog.Limits{})}))
	assert.Assert(t, r.PutOperators(start, Operators{Era: 2, Version: 5, Whole: true, Catalog: keyedCatalog(1, "k1")}))
	assert.Equal(t, r.Catalog().Keys(), catalog.KeysRequired)
	assert.Equal(t, r.Catalog().KeyCount(), 0)
}

// Guards against a withdrawn key that an older configuration brings back, or that a
// node without it gets from a relayed configuration: versions that come in order, are
// skipped, or come late.
func TestNewestRuleForKeysHolds(t *testing.T) {
	account := func(key string) catalog.Accounts {
		return catalog.AccountList(catalog.Account{Name: "a", Keys: []string{key}})
	}
	versions := []*catalog.Catalog{
		catalog.New(1, nil, nil, account("k1"), catalog.Limits{}),
		catalog.New(2, nil, nil, catalog.AccountList(), catalog.Limits{}),
		catalog.New(3, nil, nil, account("k3"), catalog.Limits{}),
		catalog.New(4, nil, nil, catalog.AccountList(), catalog.Limits{}),
		catalog.New(5, nil, nil, catalog.Accounts{}, catalog.Limits{}),
	}
	for _, order := range [][]int{{0, 1}, {1, 0}, {0, 3, 2}, {3, 0, 1}, {0, 2, 1}, {4, 3, 0}, {0, 4, 1}} {
		r, follower := NewRecord(), NewRecord()
		newest := 0
		for i, n := range order {
			newest = max(newest, n)
			r.PutOperators(start, Operators{Version: uint64(10 + i), Whole: true, Catalog: versions[n]})
			raw, err := json.Marshal(r.OperatorsAfter(follower.Position()))
			assert.NilError(t, err)
			var u Operators
			assert.NilError(t, json.Unmarshal(raw, &u))
			follower.PutOperators(start, u)
			for _, c := range []*catalog.Catalog{r.Catalog(), follower.Catalog()} {
				assert.Equal(t, c.Version, versions[newest].Version, "order %v", order)
				assert.Equal(t, c.Keys(), versions[newest].Keys(), "order %v", order)
				assert.Equal(t, c.KeyCount(), versions[newest].KeyCount(), "order %v", order)
			}
		}
	}
}
