package quarantine

import "time"

// maxRecent is the number of parts in a generation of recentParts.
const maxRecent = 4096

// recentParts holds the newest time at which each part was answered, of the parts
// that were answered most recently. It holds two generations of at most maxRecent
// parts; the older one is dropped when the newer one is full.
type recentParts struct {
	newer, older map[Part]time.Time
}

func newRecentParts() recentParts {
	return recentParts{newer: make(map[Part]time.Time), older: make(map[Part]time.Time)}
}

// record records that a part was answered.
func (r *recentParts) record(p Part, at time.Time) {
	if at.Before(r.get(p)) {
		return
	}
	if _, ok := r.newer[p]; !ok && len(r.newer) >= maxRecent {
		r.newer, r.older = make(map[Part]time.Time), r.newer
	}
	r.newer[p] = at
}

// get returns the newest time at which a part was answered, or zero.
func (r *recentParts) get(p Part) time.Time {
	if at, ok := r.newer[p]; ok {
		return at
	}
	return r.older[p]
}
