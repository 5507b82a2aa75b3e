package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// endsToQuarantine is the number of ends that quarantine a part which was never
	// answered, and answeredEndsToQuarantine that for one which was.
	endsToQuarantine         = 3
	answeredEndsToQuarantine = 5
	// minOtherEnds is the number of ends beside those under a quarantined request from
	// which a part that shares these is suspected. A node may not have heard yet that
	// the request was at one of them.
	minOtherEnds = 2
	// minEndGap separates ends with causes of their own. VMs that end closer
	// together, as those of a rack, count as one end.
	minEndGap = 100 * time.Millisecond
	// clearingPeriod is how long answers at other nodes can clear a part that was
	// answered before, from when its ends are enough to quarantine it.
	clearingPeriod = time.Second
	// settlingPeriod is how long after an end all nodes have heard which requests were
	// there.
	settlingPeriod = 2 * time.Second
)

// suspect is a part with the ends that count against it.
type suspect struct {
	part        Part
	ends        []*end // oldest first
	causes      int    // number of ends apart from each other
	depth       int
	wasAnswered bool // whether the part was ever answered
}

// Tick decides which parts to quarantine, and which requests to release because
// another one accounts for their ends. It returns both, and drops what is out of
// date.
func (r *Record) Tick(now time.Time) (added []Quarantined, released []Part) {
	if r.expire(now) {
		released = r.releaseExplained(now)
	}
	if !r.pending && len(r.candidates) == 0 {
		return nil, released
	}
	r.pending = false
	r.extendEntries(now)
	for {
		s := r.nextSuspect(now)
		if s == nil {
			break
		}
		r.add(now, s)
		added = append(added, r.quarantined[s.part].message(now, s.part))
	}
	return added, released
}

// releaseExplained releases the requests that another one explains, and returns them.
func (r *Record) releaseExplained(now time.Time) []Part {
	explained := r.explainedRequests(now)
	for _, p := range explained {
		r.Release(now, p)
	}
	return explained
}

// nextSuspect returns the part that explains most ends, if these are enough to
// quarantine it. A part that was never answered goes before one that was: the
// ends that it explains don't count against the other parts of the same prompts.
func (r *Record) nextSuspect(now time.Time) *suspect {
	suspects := r.suspects()
	r.updateCandidates(now, suspects)
	for _, s := range suspects {
		if !s.wasAnswered && s.causes >= endsToQuarantine {
			return s
		}
		if since, ok := r.candidates[s.part]; ok && now.Sub(since) >= clearingPeriod {
			return s
		}
	}
	return nil
}

// explainedRequests returns the quarantined requests all of whose confirmed ends are
// also those of another quarantined request with more ends, sorted. Ends of both must
// have settled: the one with fewer may have been at others that are not known yet.
func (r *Record) explainedRequests(now time.Time) []Part {
	requests := slices.DeleteFunc(r.Parts(), func(p Part) bool { return !p.IsRequest() })
	if len(requests) < 2 {
		return nil
	}
	counts := r.countConfirmedEnds()
	return slices.DeleteFunc(slices.Clone(requests), func(p Part) bool {
		ends := slices.DeleteFunc(r.endsUnder(p), func(e *end) bool { return !e.confirmed })
		isExplained := slices.ContainsFunc(requests, func(other Part) bool {
			isSettled := now.Sub(r.quarantined[other].lastEndAt) >= settlingPeriod
			return isSettled && counts[other] > len(ends) && (&suspect{part: other}).explains(ends)
		})
		return len(ends) == 0 || !isExplained
	})
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
// Those under a quarantined request don't count against other requests that have no
// more ends, and against parts only beside ends that this request does not explain.
func (r *Record) suspects() []*suspect {
	byPart := make(map[Part]*suspect)
	ends := r.countConfirmedEnds()
	for _, e := range r.ends {
		if !e.confirmed || r.isExplained(e) {
			continue
		}
		explainedBy := r.mostEndsOfRequests(e, ends)
		for p, depth := range e.depths {
			if !e.at.After(r.answeredAt(p)) || p.IsRequest() && ends[p] <= explainedBy {
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
		slices.SortFunc(s.ends, func(a, b *end) int {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.vms[0].VM, b.vms[0].VM))
		})
		if !s.part.IsRequest() && r.isOneRequest(s.ends) {
			continue
		}
		s.causes = countCauses(s.ends)
		out = append(out, s)
	}
	slices.SortFunc(out, compareSuspects)
	return out
}

// countConfirmedEnds returns the number of confirmed ends by part.
func (r *Record) countConfirmedEnds() map[Part]int {
	out := make(map[Part]int)
	for _, e := range r.ends {
		if !e.confirmed {
			continue
		}
		for p := range e.depths {
			out[p]++
		}
	}
	return out
}

// mostEndsOfRequests returns the largest number of ends of a quarantined request that
// accounts for an end, 0 if none does. ends are the numbers by part.
func (r *Record) mostEndsOfRequests(e *end, ends map[Part]int) int {
	most := 0
	for p := range r.quarantined {
		if _, held := e.depths[p]; held && p.IsRequest() {
			most = max(most, ends[p])
		}
	}
	return most
}

// isOneRequest reports whether one quarantined request accounts for the ends of a part
// of prompts, or for all but less than minOtherEnds of them, sorted by time.
func (r *Record) isOneRequest(ends []*end) bool {
	for p := range r.quarantined {
		if !p.IsRequest() {
			continue
		}
		var others []*end
		for _, e := range ends {
			if _, held := e.depths[p]; !held {
				others = append(others, e)
			}
		}
		if len(others) < len(ends) && countCauses(others) < minOtherEnds {
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

// isExplained reports whether a quarantined part of prompts accounts for an end.
func (r *Record) isExplained(e *end) bool {
	for p := range r.quarantined {
		if _, held := e.depths[p]; held && !p.IsRequest() {
			return true
		}
	}
	return false
}
