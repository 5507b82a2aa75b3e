package updates

import (
	"maps"
	"time"
)

const (
	// returnRetention is how long the end of an evacuation is kept and passed on. It
	// exceeds the time for which endpoints are cold.
	returnRetention = time.Minute
	// shortestEvacuation is the age of the operators' settings above which a read
	// without the changes in between may hide a whole evacuation.
	shortestEvacuation = 2 * time.Second
)

// Returns is what a node knows of the data centres that were taken back.
type Returns struct {
	// FollowedFor is the time for which the node has followed all evacuations.
	FollowedFor time.Duration
	// Ended has the time since the end of each evacuation became known.
	Ended map[string]time.Duration `json:",omitempty"`
}

// returns records when evacuations ended.
type returns struct {
	// ended is when the end of a data centre's newest evacuation became known.
	ended map[string]time.Time
	// followedSince is the time before which evacuations may have ended unseen.
	followedSince time.Time
	// receivedAt is when the operators' settings were last received.
	receivedAt time.Time
}

// record records that the end of an evacuation became known at a time.
func (r *returns) record(dc string, at time.Time) {
	if r.ended == nil {
		r.ended = make(map[string]time.Time)
	}
	if at.After(r.ended[dc]) {
		r.ended[dc] = at
	}
}

// receive records that the operators' settings were received. An evacuation may have
// begun and ended since they last were if all of them were read at once.
func (r *returns) receive(now time.Time, u *Operators) {
	if u.Whole && now.Sub(r.receivedAt) > shortestEvacuation {
		r.followedSince = now
	}
	r.receivedAt = now
	for dc, evacuated := range u.Evacuated {
		if !evacuated {
			r.record(dc, now)
		}
	}
	maps.DeleteFunc(r.ended, func(_ string, at time.Time) bool { return now.Sub(at) > returnRetention })
}

// ReturnedAt returns the latest time at which a data centre may have been taken back
// without this node having known of it before, or zero if there is none.
func (r *Record) ReturnedAt(dc string) time.Time {
	o := &r.operators.returns
	if at := o.ended[dc]; at.After(o.followedSince) {
		return at
	}
	return o.followedSince
}

// Returns returns what this node knows of data centres that were taken back.
func (r *Record) Returns(now time.Time) *Returns {
	o := &r.operators.returns
	out := &Returns{FollowedFor: now.Sub(o.followedSince), Ended: make(map[string]time.Duration, len(o.ended))}
	for dc, at := range o.ended {
		out.Ended[dc] = now.Sub(at)
	}
	return out
}

// PutReturns applies what another node knows, whose settings of the operators have the
// given revision.
func (r *Record) PutReturns(now time.Time, rev Revision, u *Returns) {
	o := &r.operators.returns
	for dc, age := range u.Ended {
		o.record(dc, now.Add(-max(0, age)))
	}
	since := now.Add(-max(0, u.FollowedFor))
	if since.Before(o.followedSince) && rev.Compare(r.operators.rev) >= 0 {
		o.followedSince = since
	}
}
