package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// endsToQuarantine is the number of ends that quarantine a part which was never
	// answered, and answeredEndsToQuarantine that for one which was.
	// requestEndsToQuarantine is that for a request which was never answered, if no
	// other one explains the same ends.
	endsToQuarantine         = 3
	answeredEndsToQuarantine = 5
	requestEndsToQuarantine  = 2
	// minEndGap separates ends with causes of their own. VMs that end closer
	// together, as those of a rack, count as one end.
	minEndGap = 100 * time.Millisecond
	// clearingPeriod is how long answers at other nodes can clear a part that was
	// answered before, from when its ends are enough to quarantine it.
	clearingPeriod = time.Second
)

// suspect is a part with the ends that count against it.
type suspect struct {
	part        Part
	ends        []*end // oldest first
	causes      int    // number of ends apart from each other
	depth       int
	wasAnswered bool // whether the part was ever answered
}

// Tick decides which parts to quarantine and returns those that were added. It
// also drops what is out of date.
func (r *Record) Tick(now time.Time) []Quarantined {
	r.expire(now)
	if !r.pending && len(r.candidates) == 0 {
		return nil
	}
	r.pending = false
	r.extendEntries(now)
	var added []Quarantined
	for {
		s := r.nextSuspect(now)
		if s == nil {
			break
		}
		r.add(now, s)
		added = append(added, r.quarantined[s.part].message(now, s.part))
	}
	return added
}

// nextSuspect returns the part that explains most ends, if these are enough to
// quarantine it. A part that was never answered goes before one that was: the
// ends that it explains don't count against the other parts of the same prompts.
func (r *Record) nextSuspect(now time.Time) *suspect {
	suspects := r.suspects()
	r.updateCandidates(now, suspects)
	for _, s := range suspects {
		if !s.wasAnswered && s.causes >= endsNeeded(s, suspects) {
			return s
		}
		if since, ok := r.candidates[s.part]; ok && now.Sub(since) >= clearingPeriod {
			return s
		}
	}
	return nil
}

// endsNeeded returns the number of ends that quarantine a suspect which was never
// answered.
func endsNeeded(s *suspect, suspects []*suspect) int {
	if !s.part.IsRequest() {
		return endsToQuarantine
	}
	for _, other := range suspects {
		if other != s && other.part.IsRequest() && !other.wasAnswered && other.explains(s.ends) {
			return endsToQuarantine
		}
	}
	return requestEndsToQuarantine
}

// explains reports whether the suspect is held by all of the given ends.
func (s *suspect) explains(ends []*end) bool {
	for _, e := range ends {
		if _, held := e.depths[s.part]; !held {
			return false
		}
	}
	return true
}

// updateCandidates records which parts that were answered before have enough ends
// to be quarantined, and since when.
func (r *Record) updateCandidates(now time.Time, suspects []*suspect) {
	enough := make(map[Part]bool)
	for _, s := range suspects {
		if !s.wasAnswered || s.causes < answeredEndsToQuarantine {
			continue
		}
		enough[s.part] = true
		if _, ok := r.candidates[s.part]; !ok {
			r.candidates[s.part] = now
		}
	}
	for p := range r.candidates {
		if !enough[p] {
			delete(r.candidates, p)
		}
	}
}

// suspects returns the parts that are not cleared of the confirmed ends, the prime
// one first. Ends under a quarantined part of prompts are explained and don't count.
// Those under a quarantined request count against no other request, and against
// parts unless this request explains all of a part's ends.
func (r *Record) suspects() []*suspect {
	byPart := make(map[Part]*suspect)
	for _, e := range r.ends {
		if !e.confirmed || r.isExplained(e, isPromptPart) {
			continue
		}
		explained := r.isExplained(e, Part.IsRequest)
		for p, depth := range e.depths {
			if !e.at.After(r.answeredAt(p)) || p.IsRequest() && explained {
				continue
			}
			s := byPart[p]
			if s == nil {
				s = &suspect{part: p, wasAnswered: r.wasAnswered(p)}
				byPart[p] = s
			}
			s.ends = append(s.ends, e)
			s.depth = max(s.depth, depth)
		}
	}
	out := make([]*suspect, 0, len(byPart))
	for _, s := range byPart {
		if !s.part.IsRequest() && r.isOneRequest(s.ends) {
			continue
		}
		slices.SortFunc(s.ends, func(a, b *end) int {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.vms[0].VM, b.vms[0].VM))
		})
		s.causes = countCauses(s.ends)
		out = append(out, s)
	}
	slices.SortFunc(out, compareSuspects)
	return out
}

func isPromptPart(p Part) bool { return !p.IsRequest() }

// isOneRequest reports whether one quarantined request accounts for all of the ends.
func (r *Record) isOneRequest(ends []*end) bool {
	for p := range r.quarantined {
		if s := (suspect{part: p}); p.IsRequest() && s.explains(ends) {
			return true
		}
	}
	return false
}

// compareSuspects orders parts that were never answered before others, then by the
// ends that they explain. Of parts that explain the same ends a request goes first,
// and then the last one of the prompts: fewest sound requests share it.
func compareSuspects(a, b *suspect) int {
	if a.wasAnswered != b.wasAnswered {
		if b.wasAnswered {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.causes, a.causes), cmp.Compare(len(b.ends), len(a.ends)), cmp.Compare(b.depth, a.depth), cmp.Compare(a.part, b.part))
}

// countCauses returns the number of ends that are minEndGap or more apart.
func countCauses(ends []*end) int {
	n := 0
	var last time.Time
	for _, e := range ends {
		if n == 0 || e.at.Sub(last) >= minEndGap {
			n++
			last = e.at
		}
	}
	return n
}

// isExplained reports whether a quarantined part of a kind accounts for an end.
func (r *Record) isExplained(e *end, ofKind func(Part) bool) bool {
	for p := range r.quarantined {
		if _, held := e.depths[p]; held && ofKind(p) {
			return true
		}
	}
	return false
}
