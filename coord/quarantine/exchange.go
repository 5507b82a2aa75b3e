package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// UpdateSince returns what has changed since a time, or everything if since is
// zero. Ends that are not confirmed are left out unless unconfirmed is set.
func (r *Record) UpdateSince(now, since time.Time, unconfirmed bool) Update {
	var u Update
	for _, e := range r.ends {
		if !e.changedAt.Before(since) && (e.confirmed || unconfirmed) {
			u.Ends = append(u.Ends, e.message(now))
		}
	}
	for p, a := range r.answered {
		if !a.changedAt.Before(since) {
			u.Answered = append(u.Answered, AnsweredPart{Part: p, Age: now.Sub(a.at)})
		}
	}
	for p, b := range r.quarantined {
		if !b.changedAt.Before(since) {
			u.Quarantined = append(u.Quarantined, b.message(now, p))
		}
	}
	u.sort()
	return u
}

// sort orders the update's lists, so that equal records send equal updates.
func (u *Update) sort() {
	slices.SortFunc(u.Ends, func(a, b End) int {
		return cmp.Or(cmp.Compare(a.VMs[0].VM, b.VMs[0].VM), cmp.Compare(a.VMs[0].Born, b.VMs[0].Born))
	})
	slices.SortFunc(u.Answered, func(a, b AnsweredPart) int { return cmp.Compare(a.Part, b.Part) })
	slices.SortFunc(u.Quarantined, func(a, b Quarantined) int { return cmp.Compare(a.Part, b.Part) })
}

func (e *end) message(now time.Time) End {
	out := End{VMs: e.vms, Age: now.Sub(e.at), Confirmed: e.confirmed}
	for p, depth := range e.depths {
		out.Parts = append(out.Parts, PromptPart{p, depth})
	}
	slices.SortFunc(out.Parts, func(a, b PromptPart) int { return cmp.Compare(a.Part, b.Part) })
	return out
}

// Apply adds the update of another node, whose ages count from the time asOf. It
// returns the parts that are newly quarantined and those that are released.
func (r *Record) Apply(now, asOf time.Time, u Update) (added []Quarantined, released []Part) {
	for _, e := range u.Ends {
		r.applyEnd(now, asOf, e)
	}
	for _, a := range u.Answered {
		if r.learnAnswered(now, a.Part, asOf.Add(-a.Age)) {
			released = append(released, a.Part)
		}
	}
	for _, q := range u.Quarantined {
		if r.applyEntry(now, asOf, q) {
			added = append(added, q)
		}
	}
	return added, released
}

// applyEnd adds an end that another node has reported.
func (r *Record) applyEnd(now, asOf time.Time, remote End) {
	if len(remote.VMs) == 0 {
		return
	}
	known := r.ends[remote.VMs[0]]
	at := asOf.Add(-remote.Age)
	if known != nil {
		at = known.at
	}
	depths := make(map[Part]int, len(remote.Parts))
	for _, p := range remote.Parts {
		depths[p.Part] = p.Depth
	}
	e := r.addEnd(now, remote.VMs, at, depths)
	if remote.Confirmed && !e.confirmed {
		e.confirmed, e.changedAt = true, now
	}
}

// applyEntry adds a quarantined part that another node has reported, unless an answer
// has released it since. It reports whether it is new.
func (r *Record) applyEntry(now, asOf time.Time, remote Quarantined) bool {
	b := &entry{
		at: asOf.Add(-remote.Age), lastEndAt: asOf.Add(-remote.EndAge),
		ends: slices.Clone(remote.Ends[:min(len(remote.Ends), maxEndsListed)]), trials: max(0, remote.Trials), changedAt: now,
	}
	if r.answeredAt(remote.Part).After(b.lastEndAt) {
		return false
	}
	known := r.quarantined[remote.Part]
	if known == nil {
		r.addEntry(remote.Part, b)
		return true
	}
	if b.lastEndAt.Sub(known.lastEndAt) >= minEndGap {
		known.lastEndAt, known.changedAt = b.lastEndAt, now
	}
	if b.trials > known.trials {
		known.trials, known.changedAt = b.trials, now
	}
	return false
}
