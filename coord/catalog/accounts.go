package catalog

import "slices"

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority replaces the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// KeyRule says whether requests need the key of a client account.
type KeyRule string

// Rules for keys.
const (
	// KeysRequired is the rule of a configuration with a list of client accounts,
	// whatever the list contains: unless its route is public, a request needs the key
	// of one of them. If none has a key, no key is valid.
	KeysRequired KeyRule = "required"
	// KeysIgnored is the rule of a configuration without such a list: no request needs
	// a key, and those that have one are served under no account.
	KeysIgnored KeyRule = "ignored"
	// keysUnstated is the rule of a catalog from a node with earlier software, which
	// doesn't tell an empty list from none.
	keysUnstated KeyRule = ""
)

// Accounts are the client accounts of a configuration and the rule for keys. The zero
// value is that of a configuration without a list of accounts.
type Accounts struct {
	listed bool
	list   []Account
}

// AccountList returns the accounts of a configuration that lists them, if only by an
// empty list.
func AccountList(list ...Account) Accounts { return Accounts{listed: true, list: list} }

// rule returns the rule for keys.
func (a Accounts) rule() KeyRule {
	if a.listed {
		return KeysRequired
	}
	return KeysIgnored
}

// unnamed is the list of accounts of a catalog that requires keys and has no accounts.
// Nodes with earlier software require keys where a list has an element.
var unnamed = []Account{{}}

// requiresKeys reports whether requests need a key. Any other rule than KeysIgnored, as
// of later software, is the safer one to take for KeysRequired.
func (s *spec) requiresKeys() bool {
	return len(s.Accounts) > 0 || s.Keys != KeysIgnored && s.Keys != keysUnstated
}

// hasNamedAccount reports whether any account has a name.
func (s *spec) hasNamedAccount() bool {
	return slices.ContainsFunc(s.Accounts, func(a Account) bool { return a.Name != "" })
}

// indexKeys sets the account of each key. An account without a name can't be named to
// endpoints, and an empty key isn't one: neither makes a key valid. A key of several
// accounts belongs to the last of them.
func (c *Catalog) indexKeys() {
	c.accounts = make(map[string]*Account)
	for i := range c.spec.Accounts {
		a := &c.spec.Accounts[i]
		if a.Name == "" {
			continue
		}
		for _, key := range a.Keys {
			if key != "" {
				c.accounts[key] = a
			}
		}
	}
}

// Keys returns the rule for keys.
func (c *Catalog) Keys() KeyRule {
	if c.keyed {
		return KeysRequired
	}
	return KeysIgnored
}

// KeyCount returns the number of valid keys.
func (c *Catalog) KeyCount() int { return len(c.accounts) }

// NeedsKey reports whether requests of the route must carry an account's key.
func (c *Catalog) NeedsKey(r *Route) bool { return c.keyed && !r.Public }

// Account returns the account to which the key belongs, or nil.
func (c *Catalog) Account(key string) *Account { return c.accounts[key] }

// StatesKeys reports whether it is certain which rule for keys the catalog has. It
// isn't if the catalog was relayed by a node with earlier software and has no accounts.
func (c *Catalog) StatesKeys() bool { return c.spec.Keys != keysUnstated || c.spec.hasNamedAccount() }

// AccountsAlone returns a catalog with the client accounts of c and nothing else, or nil
// if c has no list of accounts.
func (c *Catalog) AccountsAlone() *Catalog {
	if !c.keyed || !c.StatesKeys() {
		return nil
	}
	return build(spec{Version: c.Version, Accounts: c.spec.Accounts, Keys: c.spec.Keys})
}

// WithAccountsOf returns a catalog that differs from c in the client accounts, which it
// has from the other one.
func (c *Catalog) WithAccountsOf(other *Catalog) *Catalog {
	s := c.spec
	s.Accounts, s.Keys = other.spec.Accounts, other.spec.Keys
	return build(s)
}

// After returns the catalog to use in place of before, which may be nil. It differs
// from c if c doesn't state the rule for keys: keys stay required if before requires
// them, since the last key may have been withdrawn.
func (c *Catalog) After(before *Catalog) *Catalog {
	if before == nil || !before.keyed || c.keyed || c.StatesKeys() {
		return c
	}
	s := c.spec
	s.Accounts = unnamed
	return build(s)
}
