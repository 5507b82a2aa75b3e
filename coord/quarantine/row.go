package quarantine

import (
	"slices"
	"time"
)

// Row is what the platform keeps of a quarantined part, so that it outlasts the
// nodes and reaches those that are cut off from the others.
type Row struct {
	Part Part
	// EndedMS is the time of the newest end under it in Unix milliseconds.
	EndedMS int64
	// Ends are the endpoints that ended, oldest first.
	Ends []string
	// Trials is the number of trials of the part that ended an endpoint.
	Trials int
}

// Rows returns the rows of the quarantined parts, sorted by part. wall is the time
// of day at now.
func (r *Record) Rows(now, wall time.Time) []Row {
	var out []Row
	for _, p := range r.Parts() {
		b := r.quarantined[p]
		out = append(out, Row{Part: p, EndedMS: wall.Add(-now.Sub(b.lastEndAt)).UnixMilli(), Ends: slices.Clone(b.ends), Trials: b.trials})
	}
	return out
}

// ApplyRow applies a row. It reports whether the part is newly quarantined.
func (r *Record) ApplyRow(now, wall time.Time, row Row) bool {
	age := max(0, wall.Sub(time.UnixMilli(row.EndedMS)))
	return r.applyEntry(now, now, Quarantined{Part: row.Part, Age: age, EndAge: age, Ends: row.Ends, Trials: row.Trials})
}

// Release releases a part that another node has released, and reports whether it
// was quarantined. What other nodes still report of earlier ends does not quarantine
// it again.
func (r *Record) Release(now time.Time, p Part) bool {
	if r.quarantined[p] == nil {
		return false
	}
	delete(r.quarantined, p)
	r.answered[p] = answered{at: now, changedAt: now}
	r.pending = true
	return true
}
