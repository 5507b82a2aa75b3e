package leasestore

import (
	"strconv"
	"strings"

	"github.com/pimentoshore/pimentoshore/coord/lease"
	"github.com/pimentoshore/pimentoshore/internal/platform"
)

// eraTable is a table that may come back from an older copy.
type eraTable interface {
	// Era returns the era of the table's newest answer. It rises when the table has
	// come back from an older copy, after which it gives out revisions again.
	Era() uint64
}

// eraOf returns the era of a table, or 0 if it has none.
func eraOf(t platform.Table) uint64 {
	if e, ok := t.(eraTable); ok {
		return e.Era()
	}
	return 0
}

// sharesRows reports whether a lease has the same rows in two eras, of which the
// first may be unknown yet.
func sharesRows(a, b uint64) bool { return max(a, lease.FirstEra) == max(b, lease.FirstEra) }

// eraKey returns the key of a lease's row in an era. Each era has rows of its own, so
// that no write which depends on a revision of an earlier era takes effect in a later
// one.
func eraKey(era uint64, key string) string {
	if era <= lease.FirstEra {
		return key
	}
	root, rest, _ := strings.Cut(key, "/")
	return root + "/era-" + strconv.FormatUint(era, 10) + "/" + rest
}
