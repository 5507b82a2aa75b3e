package catalog

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

// keyRoutes are a route that needs a key where keys are required, and a public one.
var keyRoutes = []Route{{Host: "h", Prefix: "/a/"}, {Host: "h", Prefix: "/open/", Public: true}}

// relayed returns the catalog as another node receives it.
func relayed(t *testing.T, c *Catalog) *Catalog {
	t.Helper()
	raw, err := json.Marshal(c)
	assert.NilError(t, err)
	var out Catalog
	assert.NilError(t, json.Unmarshal(raw, &out))
	return &out
}

// decoded returns the catalog that another node sends as the given JSON.
func decoded(t *testing.T, raw string) *Catalog {
	t.Helper()
	var out Catalog
	assert.NilError(t, json.Unmarshal([]byte(raw), &out))
	return &out
}

// Guards against a configuration without valid keys that is taken for one that needs
// none, where it was read or where it was relayed to, any number of times.
func TestListOfAccountsRequiresKeys(t *testing.T) {
	for name, test := range map[string]struct {
		accounts Accounts
		want     KeyRule
		keys     int
	}{
		"no list":                {Accounts{}, KeysIgnored, 0},
		"empty list":             {AccountList(), KeysRequired, 0},
		"empty slice":            {AccountList([]Account{}...), KeysRequired, 0},
		"account without keys":   {AccountList(Account{Name: "a"}), KeysRequired, 0},
		"empty key":              {AccountList(Account{Name: "a", Keys: []string{""}}), KeysRequired, 0},
		"account without a name": {AccountList(Account{Keys: []string{"k"}}), KeysRequired, 0},
		"account":                {AccountList(Account{Name: "a", Keys: []string{"k"}}), KeysRequired, 1},
	} {
		c := New(1, keyRoutes, nil, test.accounts, Limits{})
		for range 3 {
			assert.Equal(t, c.Keys(), test.want, name)
			assert.Equal(t, c.NeedsKey(c.Match("h", "/a/")), test.want == KeysRequired, name)
			assert.Assert(t, !c.NeedsKey(c.Match("h", "/open/")), name)
			assert.Equal(t, c.KeyCount(), test.keys, name)
			assert.Assert(t, c.Account("") == nil, name)
			assert.Assert(t, c.StatesKeys(), name)
			c = relayed(t, c)
		}
	}
}

// Guards against two nodes that find different accounts for a key which two accounts
// name.
func TestKeyOfTwoAccountsBelongsToTheLast(t *testing.T) {
	c := New(1, nil, nil, AccountList(Account{Name: "a", Keys: []string{"k", "k"}}, Account{Name: "b", Keys: []string{"k"}}), Limits{})
	assert.Equal(t, c.Account("k").Name, "b")
	assert.Equal(t, relayed(t, c).Account("k").Name, "b")
}

// Guards against a priority of requests without an account that comes from an account
// without a name.
func TestAccountWithoutANameRanksNobody(t *testing.T) {
	routes := []Route{
		{Host: "h", Prefix: "/a/", Backends: []Backend{{"s", 1}}, Priority: 1},
		{Host: "h", Prefix: "/b/", Backends: []Backend{{"s", 1}}, Priority: 2},
	}
	c := New(1, routes, nil, AccountList(Account{HasPriority: true}), Limits{})
	assert.Equal(t, c.Rank("s", &routes[1], "").Value, 2)
}

// legacySpec is the JSON form that nodes with earlier software use.
type legacySpec struct {
	Version  int64
	Accounts []Account
}

// Guards against an earlier release in the same cluster that serves requests without a
// valid key: it requires keys where the list of accounts isn't empty.
func TestEarlierSoftwareRequiresKeysToo(t *testing.T) {
	for want, accounts := range map[bool]Accounts{
		true: AccountList(), false: {},
	} {
		raw, err := json.Marshal(New(1, keyRoutes, nil, accounts, Limits{}))
		assert.NilError(t, err)
		var old legacySpec
		assert.NilError(t, json.Unmarshal(raw, &old))
		assert.Equal(t, len(old.Accounts) > 0, want)
	}
}

// Guards against an open deployment after the last key was withdrawn, where the
// configuration came from a node with earlier software, and against a closed one where
// there never were accounts.
func TestCatalogOfEarlierSoftware(t *testing.T) {
	keyed := New(1, keyRoutes, nil, AccountList(Account{Name: "a", Keys: []string{"k"}}), Limits{})
	open := New(1, keyRoutes, nil, Accounts{}, Limits{})
	for _, raw := range []string{`{"Version":2,"Accounts":[]}`, `{"Version":2,"Accounts":null}`, `{"Version":2}`} {
		c := decoded(t, raw)
		assert.Assert(t, !c.StatesKeys())
		assert.Equal(t, c.After(nil).Keys(), KeysIgnored)
		assert.Equal(t, c.After(open).Keys(), KeysIgnored)
		closed := c.After(keyed)
		assert.Equal(t, closed.Keys(), KeysRequired)
		assert.Equal(t, closed.Version, int64(2))
		passedOn := relayed(t, closed)
		assert.Equal(t, passedOn.Keys(), KeysRequired)
		assert.Assert(t, !passedOn.StatesKeys(), "it is still not certain")
	}
	c := decoded(t, `{"Version":2,"Accounts":[{"Name":"a","Keys":["k"]}]}`)
	assert.Assert(t, c.StatesKeys())
	assert.Equal(t, c.After(open), c)
	assert.Equal(t, c.Keys(), KeysRequired)
	withdrawn := New(2, keyRoutes, nil, Accounts{}, Limits{})
	assert.Equal(t, withdrawn.After(keyed), withdrawn, "no list at all needs no keys, whatever came before")
}

// Guards against a rule for keys of a later release that is taken for none.
func TestUnknownRuleRequiresKeys(t *testing.T) {
	assert.Equal(t, decoded(t, `{"Version":2,"Keys":"signed"}`).Keys(), KeysRequired)
	assert.Equal(t, decoded(t, `{"Version":2,"Keys":"ignored"}`).Keys(), KeysIgnored)
}
