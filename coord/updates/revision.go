package updates

import "cmp"

// Revision orders what the platform's store has answered. The store gives out
// versions again after it came back from an older copy, and then begins a new era,
// so a version orders answers of one era only.
type Revision struct {
	Era     uint64 `json:",omitempty"`
	Version uint64
}

// Compare returns a negative number if r is older than other, a positive one if it
// is newer, and 0 if they are equal.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Version, other.Version))
}

// IsZero reports whether r precedes all answers of the store.
func (r Revision) IsZero() bool { return r == Revision{} }
