package probe

import (
	"maps"
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

// Sighting is a report heard of through a prober.
type Sighting struct {
	Report member.Report
	// SentAt is not later than the sending of the probe that the VM answered.
	SentAt  time.Time
	Refused bool
}

// Follower holds what was pulled from one prober. It is not safe for
// concurrent use.
type Follower struct {
	seen   Request
	pulled time.Time // sending time of the newest pull taken in
	rows   map[string]Row
	// trustReceipt counts ages back from the receipt of an answer.
	trustReceipt bool
}

// NewFollower returns a follower that knows nothing.
func NewFollower() *Follower {
	return &Follower{rows: map[string]Row{}}
}

// Request returns what to ask the prober for.
func (f *Follower) Request() Request { return f.seen }

// Merge takes in the answer to a request that was sent at sentAt, and returns
// the reports that it dates anew, by VM. An answer to an earlier request than
// one already taken in is dropped.
func (f *Follower) Merge(now, sentAt time.Time, req Request, a Answer) []Sighting {
	if sentAt.Before(f.pulled) {
		return nil
	}
	if !f.takes(req, a) {
		return nil
	}
	f.pulled = sentAt
	if f.trustReceipt {
		sentAt = now
	}
	out := f.full(sentAt, a)
	if !a.Whole {
		out = append(out, f.unchanged(sentAt, req, a)...)
	}
	f.seen.Version = max(f.seen.Version, a.Version)
	return out
}

// takes reports whether an answer builds on the rows held.
func (f *Follower) takes(req Request, a Answer) bool {
	if a.Whole {
		if a.Incarnation != f.seen.Incarnation || a.Version >= f.seen.Version {
			f.seen = Request{Incarnation: a.Incarnation, Version: a.Version}
			f.rows = map[string]Row{}
			return true
		}
		return false
	}
	return a.Incarnation == f.seen.Incarnation && req.Incarnation == a.Incarnation
}

// full takes in the rows that came in full.
func (f *Follower) full(sentAt time.Time, a Answer) []Sighting {
	var out []Sighting
	for _, r := range a.Rows {
		if old, ok := f.rows[r.Report.VM]; ok && old.Version > r.Version {
			continue
		}
		f.rows[r.Report.VM] = r
		out = append(out, Sighting{Report: r.Report, SentAt: sentAt.Add(-r.Age), Refused: r.Refused})
	}
	return out
}

// unchanged dates the rows that the answer says are unchanged since the
// request's version. A row that changed after that version is not among them.
func (f *Follower) unchanged(sentAt time.Time, req Request, a Answer) []Sighting {
	listed := make(map[string]bool, len(a.Rows))
	for _, r := range a.Rows {
		listed[r.Report.VM] = true
	}
	var out []Sighting
	for _, vm := range slices.Sorted(maps.Keys(f.rows)) {
		r := f.rows[vm]
		if r.Silent || listed[vm] || r.Version > req.Version {
			continue
		}
		out = append(out, Sighting{Report: r.Report, SentAt: sentAt.Add(-a.UnchangedAge), Refused: r.Refused})
	}
	return out
}
