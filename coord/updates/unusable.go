package updates

import (
	"reflect"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
)

// A configuration that can't be used as a whole leaves the last good one in force, with
// one exception: its client accounts, since it may withdraw keys.

// receiveUnusable records a configuration that can't be used. It holds until a newer one
// can be: an older copy of the store doesn't bring keys back. One without a version that
// can be read holds until the platform has another one.
func (o *operators) receiveUnusable(u *Operators) {
	next, known := u.Unusable, o.unusable
	unordered := known != nil && known.Version == UnreadableVersion
	switch {
	case next == nil && !(unordered && (u.Catalog != nil || u.Whole)):
		return
	case next != nil && known != nil && !unordered && next.Version < known.Version:
		return
	}
	if last := o.newerUnusable(); next != nil && next.Accounts == nil && last != nil {
		next = &Unusable{Version: next.Version, Accounts: last.Accounts, AccountsUnknown: next.AccountsUnknown}
	}
	if !reflect.DeepEqual(known, next) {
		o.unusable = next
		o.combine()
	}
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
