package route

import "time"

const (
	// hintSlots bounds the table of prefix hints; a power of two.
	hintSlots = 1 << 14
	// hintLife is the age at which a hint is no longer believed.
	hintLife = 5 * time.Minute
	// maxPrefixProbes bounds how many blocks of a prompt are looked up.
	maxPrefixProbes = 8
)

// hint says that a candidate probably caches a prefix block.
type hint struct {
	block     uint64
	candidate *candidate
	// incarnation is the candidate's when the hint was made.
	incarnation string
	at          time.Time
}

// hints is a direct-mapped table: a new hint replaces the one in its slot,
// so memory and time are bounded and a wrong hint costs one cache miss.
type hints struct {
	slots []hint
}

func (h *hints) slot(block uint64) *hint {
	if h.slots == nil {
		h.slots = make([]hint, hintSlots)
	}
	return &h.slots[block&(hintSlots-1)]
}

func (h *hints) store(now time.Time, block uint64, c *candidate) {
	*h.slot(block) = hint{block, c, c.incarnation, now}
}

func (h *hints) drop(block uint64, c *candidate) {
	if s := h.slot(block); s.block == block && s.candidate == c {
		*s = hint{}
	}
}

// find returns the candidate that probably caches the longest part of the
// prefix.
func (h *hints) find(now time.Time, prefix []uint64) *candidate {
	last := max(0, len(prefix)-maxPrefixProbes)
	for i := len(prefix) - 1; i >= last; i-- {
		s := h.slot(prefix[i])
		if s.candidate == nil || s.block != prefix[i] {
			continue
		}
		if s.believed(now) {
			return s.candidate
		}
	}
	return nil
}

// hold notes the blocks of a prompt that was sent to the candidate.
func (h *hints) hold(now time.Time, prefix []uint64, c *candidate) {
	last := max(0, len(prefix)-maxPrefixProbes)
	for _, block := range prefix[last:] {
		h.store(now, block, c)
	}
}

// believed reports whether the hint is recent and the cache it speaks of has
// not been dropped since.
func (s *hint) believed(now time.Time) bool {
	c := s.candidate
	return s.incarnation == c.incarnation && s.at.After(c.cleared) && now.Sub(s.at) < hintLife
}
