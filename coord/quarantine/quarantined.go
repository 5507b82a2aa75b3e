package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// quarantineTerm is how long a part is quarantined after the newest end under it,
	// until one request is sent to find out whether it still ends endpoints.
	quarantineTerm = 10 * time.Minute
	// maxTrials is the number of trials that may end an endpoint. After them only an
	// operator releases the part.
	maxTrials = 2
	// trialTimeout is how long the outcome of that request is awaited.
	trialTimeout = 30 * time.Second
	// maxQuarantined limits the quarantined parts. The one whose last end is longest ago
	// gives way to a new one.
	maxQuarantined = 64
	// maxEndsListed limits the endpoints that are listed with a quarantined part.
	maxEndsListed = 8
	// suspectEnds is the number of ends, confirmed or not, from which a request
	// that broke off is not sent again.
	suspectEnds = 2
)

// entry is a quarantined part.
type entry struct {
	at        time.Time
	lastEndAt time.Time
	ends      []string // VMs that ended, oldest first
	trials    int      // number of trials that ended an endpoint
	trialAt   time.Time
	changedAt time.Time
}

// Verdict says why a request may not be sent.
type Verdict struct {
	// Quarantined is the part that rules the request out.
	Quarantined
	// RetryAfter is the time until the part may be tried again.
	RetryAfter time.Duration
	// Certain reports whether the part is quarantined. Otherwise it is suspected,
	// and only requests that have lost an endpoint are ruled out.
	Certain bool
}

// Query describes a request that is about to be sent.
type Query struct {
	Parts []Part
	// Repeat is whether an endpoint broke the request off before.
	Repeat bool
	// MayTry is whether this node is the one that tries quarantined parts again.
	MayTry bool
}

// Check returns why a request may not be sent, or nil if it may. A request that is
// let through although its part is quarantined counts as the trial of that part.
func (r *Record) Check(now time.Time, q Query) *Verdict {
	if len(r.quarantined) == 0 && (!q.Repeat || len(r.ends) == 0) {
		return nil
	}
	var trials []*entry
	for _, p := range q.Parts {
		b := r.quarantined[p]
		if b == nil {
			continue
		}
		if !q.MayTry || !b.isDue(now) {
			return &Verdict{Quarantined: b.message(now, p), RetryAfter: b.retryAfter(now), Certain: true}
		}
		trials = append(trials, b)
	}
	for _, b := range trials {
		b.trialAt = now
	}
	if q.Repeat {
		return r.checkRepeat(now, q.Parts)
	}
	return nil
}

// checkRepeat rules out a request that has lost an endpoint if one of its parts
// was never answered and other endpoints ended under it too.
func (r *Record) checkRepeat(now time.Time, parts []Part) *Verdict {
	for _, p := range parts {
		if r.wasAnswered(p) {
			continue
		}
		ends := r.endsUnder(p)
		if countCauses(ends) >= suspectEnds {
			return &Verdict{Quarantined: Quarantined{Part: p, Ends: vmsOf(ends), EndAge: now.Sub(ends[len(ends)-1].at)}, RetryAfter: confirmTimeout}
		}
	}
	return nil
}

// endsUnder returns the ends with a part, confirmed or not, oldest first.
func (r *Record) endsUnder(p Part) []*end {
	var out []*end
	for _, e := range r.ends {
		if _, held := e.depths[p]; held {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *end) int { return a.at.Compare(b.at) })
	return out
}

// vmsOf returns the VMs that received the requests of the newest maxEndsListed ends.
func vmsOf(ends []*end) []string {
	ends = ends[max(0, len(ends)-maxEndsListed):]
	out := make([]string, len(ends))
	for i, e := range ends {
		out[i] = e.vms[0].VM
	}
	return out
}

// isDue reports whether the part may be tried again.
func (b *entry) isDue(now time.Time) bool {
	return b.trials < maxTrials && now.Sub(b.lastEndAt) >= quarantineTerm && now.Sub(b.trialAt) >= trialTimeout
}

// retryAfter returns the time until the part may be tried again, or a whole term if
// an operator has to release it.
func (b *entry) retryAfter(now time.Time) time.Duration {
	if b.trials >= maxTrials {
		return quarantineTerm
	}
	return max(trialTimeout, b.lastEndAt.Add(quarantineTerm).Sub(now))
}

func (b *entry) message(now time.Time, p Part) Quarantined {
	return Quarantined{Part: p, Age: now.Sub(b.at), EndAge: now.Sub(b.lastEndAt), Ends: slices.Clone(b.ends), Trials: b.trials}
}

// add quarantines a suspect.
func (r *Record) add(now time.Time, s *suspect) {
	r.addEntry(s.part, &entry{at: now, lastEndAt: s.ends[len(s.ends)-1].at, ends: vmsOf(s.ends), changedAt: now})
}

// extendEntries adds the ends that have been confirmed since to quarantined parts.
func (r *Record) extendEntries(now time.Time) {
	for p, b := range r.quarantined {
		for _, e := range r.endsUnder(p) {
			if !e.confirmed || !e.at.After(b.lastEndAt) {
				continue
			}
			if e.at.Sub(b.lastEndAt) >= quarantineTerm {
				b.trials++
			}
			b.lastEndAt, b.changedAt = e.at, now
			if len(b.ends) < maxEndsListed {
				b.ends = append(b.ends, e.vms[0].VM)
			}
		}
	}
}

// addEntry quarantines a part, in place of the one whose last end is longest ago
// if there are too many.
func (r *Record) addEntry(p Part, b *entry) {
	delete(r.candidates, p)
	if len(r.quarantined) >= maxQuarantined {
		r.dropOldestEntry()
	}
	r.quarantined[p] = b
}

func (r *Record) dropOldestEntry() {
	oldest := slices.MinFunc(r.Parts(), func(a, b Part) int {
		return cmp.Or(r.quarantined[a].lastEndAt.Compare(r.quarantined[b].lastEndAt), cmp.Compare(a, b))
	})
	delete(r.quarantined, oldest)
}

// Parts returns the quarantined parts, sorted.
func (r *Record) Parts() []Part {
	out := make([]Part, 0, len(r.quarantined))
	for p := range r.quarantined {
		out = append(out, p)
	}
	slices.Sort(out)
	return out
}
