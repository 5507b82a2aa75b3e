package route

import "time"

const (
	// hintSlots is the size of the table of prefix hints, a power of two.
	hintSlots = 1 << 14
	// hintTTL is the age at which a hint expires.
	hintTTL = 5 * time.Minute
	// maxPrefixProbes is the largest number of blocks of a prompt that are
	// looked up or stored.
	maxPrefixProbes = 8
)

// hint records that a candidate probably caches a prefix block.
type hint struct {
	block     uint64
	candidate *candidate
	// incarnation is that of the candidate when the hint was stored.
	incarnation string
	at          time.Time
}

// hints is a direct-mapped table. A new hint replaces the one in its slot, so
// memory and time are bounded. A wrong hint costs one cache miss.
type hints struct {
	slots []hint
}

// slot returns the slot of a block.
func (h *hints) slot(block uint64) *hint {
	if h.slots == nil {
		h.slots = make([]hint, hintSlots)
	}
	return &h.slots[block&(hintSlots-1)]
}

func (h *hints) store(now time.Time, block uint64, c *candidate) {
	*h.slot(block) = hint{block, c, c.incarnation, now}
}

// remove deletes the hint that the candidate caches the block.
func (h *hints) remove(block uint64, c *candidate) {
	if s := h.slot(block); s.block == block && s.candidate == c {
		*s = hint{}
	}
}

// find returns the candidate that probably caches the longest part of the
// prefix, or nil.
func (h *hints) find(now time.Time, prefix []uint64) *candidate {
	last := max(0, len(prefix)-maxPrefixProbes)
	for i := len(prefix) - 1; i >= last; i-- {
		s := h.slot(prefix[i])
		if s.candidate == nil || s.block != prefix[i] {
			continue
		}
		if s.isValid(now) {
			return s.candidate
		}
	}
	return nil
}

// storePrefix stores hints for the blocks of a prompt that was sent to the
// candidate.
func (h *hints) storePrefix(now time.Time, prefix []uint64, c *candidate) {
	first := max(0, len(prefix)-maxPrefixProbes)
	for _, block := range prefix[first:] {
		h.store(now, block, c)
	}
}

// isValid reports whether the hint is recent and the candidate's cache has not
// been cleared since.
func (s *hint) isValid(now time.Time) bool {
	c := s.candidate
	return s.incarnation == c.incarnation && s.at.After(c.clearedAt) && now.Sub(s.at) < hintTTL
}
