package updates

import (
	"reflect"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
)

// A configuration that can't be used as a whole leaves the last good one in force, with
// one exception: its client accounts, since it may withdraw keys.

// receiveUnusable records whether the newest configuration can't be used. An update of
// changes says so only if the configuration has changed.
func (o *operators) receiveUnusable(u *Operators) {
	if u.Unusable == nil && u.Catalog == nil && !u.Whole {
		return
	}
	if reflect.DeepEqual(o.unusable, u.Unusable) {
		return
	}
	o.unusable = u.Unusable
	o.combine()
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
	return u != nil && u.Accounts == nil && r.operators.catalog.Keys() == catalog.KeysRequired
}

// Unusable returns the newest configuration if it can't be used, else nil.
func (r *Record) Unusable() *Unusable { return r.operators.newerUnusable() }
