package probe

import (
	"maps"
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/member"
)

// Observation is a report received through a prober.
type Observation struct {
	Report member.Report
	// SentAt is not later than the time at which the answered probe was sent.
	SentAt time.Time
	// Refused means that the VM refused the connection of that probe.
	Refused bool
}

// Follower holds the rows pulled from one prober. It is not safe for concurrent
// use.
type Follower struct {
	request    Request   // next request to the prober
	newestPull time.Time // time at which the newest merged pull was sent
	rows       map[string]Row
	// ageFromReceipt subtracts ages from the time of an answer's receipt. Tests
	// set it to show that this makes reports look too recent.
	ageFromReceipt bool
}

// NewFollower returns a follower without any rows.
func NewFollower() *Follower {
	return &Follower{rows: map[string]Row{}}
}

// Request returns the next request to the prober.
func (f *Follower) Request() Request { return f.request }

// Merge applies the answer to a request that was sent at sentAt, and returns the
// reports to which it gives a new time: first the rows sent in full, then the
// unchanged ones, each by VM. The answer is dropped if the answer to a later
// request has been merged already.
func (f *Follower) Merge(now, sentAt time.Time, req Request, a Answer) []Observation {
	if sentAt.Before(f.newestPull) {
		return nil
	}
	if !f.prepare(req, a) {
		return nil
	}
	f.newestPull = sentAt
	if f.ageFromReceipt {
		sentAt = now
	}
	out := f.mergeRows(sentAt, a)
	if !a.Whole {
		out = append(out, f.dateUnchanged(sentAt, req, a)...)
	}
	f.request.Version = max(f.request.Version, a.Version)
	return out
}

// prepare reports whether an answer can be merged with the current rows. It
// clears them before an answer that contains all rows.
func (f *Follower) prepare(req Request, a Answer) bool {
	if a.Whole {
		if a.Incarnation != f.request.Incarnation || a.Version >= f.request.Version {
			f.request = Request{Incarnation: a.Incarnation, Version: a.Version}
			f.rows = map[string]Row{}
			return true
		}
		return false
	}
	return a.Incarnation == f.request.Incarnation && req.Incarnation == a.Incarnation
}

// mergeRows stores the rows sent in full, except those older than the stored
// ones.
func (f *Follower) mergeRows(sentAt time.Time, a Answer) []Observation {
	var out []Observation
	for _, r := range a.Rows {
		if old, ok := f.rows[r.Report.VM]; ok && old.Version > r.Version {
			continue
		}
		f.rows[r.Report.VM] = r
		out = append(out, Observation{Report: r.Report, SentAt: sentAt.Add(-r.Age), Refused: r.Refused})
	}
	return out
}

// dateUnchanged returns the rows that are unchanged since the request's version,
// with their new time. Rows that changed after that version are left out.
func (f *Follower) dateUnchanged(sentAt time.Time, req Request, a Answer) []Observation {
	listed := make(map[string]bool, len(a.Rows))
	for _, r := range a.Rows {
		listed[r.Report.VM] = true
	}
	var out []Observation
	for _, vm := range slices.Sorted(maps.Keys(f.rows)) {
		r := f.rows[vm]
		if r.Silent || listed[vm] || r.Version > req.Version {
			continue
		}
		out = append(out, Observation{Report: r.Report, SentAt: sentAt.Add(-a.UnchangedAge), Refused: r.Refused})
	}
	return out
}
