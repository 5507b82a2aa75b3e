package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Part identifies a part of a prompt. Prompts that share a part contain the same
// text there.
type Part uint64

// ParsePart returns the part with the given ID, a hexadecimal number. An ID of
// another form is hashed, so that a part has a bounded size whatever a caller
// sends.
func ParsePart(id string) Part {
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		n = xxhash.Sum64String(id)
	}
	return Part(n)
}

// String returns the part's ID in hexadecimal.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }
