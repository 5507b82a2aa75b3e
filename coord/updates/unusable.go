package updates

import (
	"reflect"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
)

// A configuration that can't be used as a whole leaves the last good one in force, with
// one exception: its client accounts, since it may withdraw keys.

// receiveUnusable records a configuration that can't be used. If its accounts can't be
// read either, those that were read last stay.
func (o *operators) receiveUnusable(u *Operators) {
	if !o.replacesUnusable(u) {
		return
	}
	next := u.Unusable
	if last := o.newerUnusable(); next != nil && next.Accounts == nil && last != nil {
		next = &Unusable{Version: next.Version, Accounts: last.Accounts, AccountsUnknown: next.AccountsUnknown}
	}
	if !reflect.DeepEqual(o.unusable, next) {
		o.unusable = next
		o.combine()
	}
}

// replacesUnusable reports whether an update ends what is known of a configuration that
// can't be used. That holds until a newer one comes, so that an older copy of the store
// doesn't bring keys back. One without a readable version holds until the platform has
// another one.
func (o *operators) replacesUnusable(u *Operators) bool {
	known := o.unusable
	switch {
	case known != nil && known.Version == UnreadableVersion:
		return u.Unusable != nil || u.Catalog != nil || u.Whole
	case u.Unusable == nil:
		return false
	}
	return known == nil || u.Unusable.Version >= known.Version
}

// combine sets the catalog in force.
func (o *operators) combine() {
	o.inForce = o.catalog
	if u := o.newerUnusable(); u != nil && u.Accounts != nil {
		o.inForce = o.catalog.WithAccountsOf(u.Accounts)
	}
}

// newerUnusable returns the configuration that can't be used if it is newer than the
// one in force, else nil.
func (o *operators) newerUnusable() *Unusable {
	if o.catalog == nil || o.unusable == nil || o.unusable.Version <= o.catalog.Version {
		return nil
	}
	return o.unusable
}

// KeysUncertain reports whether the newest configuration may have withdrawn any key: it
// can't be used, and its list of client accounts can't be read.
func (r *Record) KeysUncertain() bool {
	u := r.operators.newerUnusable()
	return u != nil && u.AccountsUnknown && r.operators.inForce.Keys() == catalog.KeysRequired
}

// Unusable returns the newest configuration if it can't be used, else nil.
func (r *Record) Unusable() *Unusable { return r.operators.newerUnusable() }
