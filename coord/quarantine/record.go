package quarantine

import (
	"slices"
	"time"
)

const (
	// maxEnds limits the ends that are kept, and endRetention how long each is.
	maxEnds      = 128
	endRetention = 5 * time.Minute
	// confirmTimeout is how long an end may stay unconfirmed before it is dropped.
	confirmTimeout = 5 * time.Second
	// maxPartsPerEnd limits the parts that are kept of one end.
	maxPartsPerEnd = 64
	// maxAnswered limits the answers that are kept of parts of earlier ends.
	maxAnswered = maxEnds * maxPartsPerEnd
)

// Record holds what a node knows about endpoints that ended and the requests that
// they held, from its own requests and from other nodes. It is not safe for
// concurrent use.
//
// A part is suspected by the ends after the newest answer to a request that
// contained it. Its own answers clear it: an endpoint that begins to answer and
// goes on shows that neither the request nor a part of its prompt ends endpoints.
type Record struct {
	ends map[Start]*end
	// answered contains the newest known answer by part, of parts of ends.
	answered map[Part]answered
	// own and ownRequests contain the answers that this node has seen, by part of
	// prompts and by request. Requests are many, and leave the parts their place.
	own, ownRequests recentParts
	// candidates contains when each part that was answered before reached its
	// threshold; see decide.
	candidates  map[Part]time.Time
	quarantined map[Part]*entry
	// pending is whether the ends or answers have changed since the last decision.
	pending   bool
	expiredAt time.Time
}

// end is an End, by the start of the VM that received its requests.
type end struct {
	vms       []Start
	at        time.Time
	confirmed bool
	// unknown are the VMs of which it is not known whether they have ended.
	unknown []string
	depths  map[Part]int
	// addedAt is when this node learned of it, changedAt when it last changed.
	addedAt, changedAt time.Time
}

// answered is when a part was answered, and when this node learned of it.
type answered struct {
	at, changedAt time.Time
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{
		ends: make(map[Start]*end), answered: make(map[Part]answered), own: newRecentParts(), ownRequests: newRecentParts(),
		candidates: make(map[Part]time.Time), quarantined: make(map[Part]*entry),
	}
}

// RecordBreak records that an endpoint broke off a request with the given parts
// before its answer had proved harmless. vms are the VMs that served it, first the
// one that received it.
func (r *Record) RecordBreak(now time.Time, vms []Start, parts []Part) {
	if len(parts) == 0 || len(vms) == 0 {
		return
	}
	depths := make(map[Part]int, len(parts))
	for depth, p := range parts {
		depths[p] = depth
	}
	r.addEnd(now, vms, now, depths)
}

// RecordAnswered records that an endpoint began at the given time to answer a
// request with the given parts, and survived it. It returns the parts that are
// thereby released from quarantine.
func (r *Record) RecordAnswered(now, at time.Time, parts []Part) []Part {
	var released []Part
	for _, p := range parts {
		r.ownAnswers(p).record(p, at)
		if r.learnAnswered(now, p, at) {
			released = append(released, p)
		}
	}
	return released
}

// ownAnswers returns the answers that this node has seen to parts of the same kind.
func (r *Record) ownAnswers(p Part) *recentParts {
	if p.IsRequest() {
		return &r.ownRequests
	}
	return &r.own
}

// learnAnswered stores the time of an answer if it is the first that is known of
// a part of an end, or if it clears the part of an end. It reports whether it
// releases the part from quarantine.
func (r *Record) learnAnswered(now time.Time, p Part, at time.Time) (released bool) {
	known := r.answered[p].at
	if !r.isRelevant(p, known, at) {
		return false
	}
	r.answered[p] = answered{at: at, changedAt: now}
	r.pending = true
	if b := r.quarantined[p]; b != nil && at.After(b.lastEndAt) {
		delete(r.quarantined, p)
		return true
	}
	return false
}

// isRelevant reports whether an answer to a part after the known one bears on an end
// or a quarantine.
func (r *Record) isRelevant(p Part, known, at time.Time) bool {
	if b := r.quarantined[p]; b != nil && at.After(b.lastEndAt) {
		return true
	}
	for _, e := range r.ends {
		if _, held := e.depths[p]; held && (known.IsZero() || e.at.After(known) && at.After(e.at)) {
			return true
		}
	}
	return false
}

// addEnd adds an end that happened at the given time, or the parts of one that is
// known.
func (r *Record) addEnd(now time.Time, vms []Start, at time.Time, depths map[Part]int) *end {
	e := r.ends[vms[0]]
	if e == nil {
		if len(r.ends) >= maxEnds {
			r.dropOldestEnd()
		}
		e = &end{vms: vms, at: at, depths: make(map[Part]int, len(depths)), addedAt: now, changedAt: now}
		r.ends[vms[0]] = e
	}
	if at.Before(e.at) {
		e.at = at
	}
	for p, depth := range depths {
		r.addPart(now, e, p, depth)
	}
	r.pending = true
	return e
}

// addPart adds a part to an end. If there are too many, parts that this node has
// never seen answered replace others.
func (r *Record) addPart(now time.Time, e *end, p Part, depth int) {
	if known, held := e.depths[p]; held && known >= depth {
		return
	}
	own := r.ownAnswers(p).get(p)
	if _, held := e.depths[p]; !held && len(e.depths) >= maxPartsPerEnd && (!own.IsZero() || !r.dropAnsweredPart(e)) {
		return
	}
	e.depths[p] = depth
	e.changedAt = now
	if !own.IsZero() {
		r.learnAnswered(now, p, own)
	}
}

// dropAnsweredPart removes a part that was answered before from an end. It reports
// whether there was one.
func (r *Record) dropAnsweredPart(e *end) bool {
	for p := range e.depths {
		if r.wasAnswered(p) {
			delete(e.depths, p)
			return true
		}
	}
	return false
}

func (r *Record) wasAnswered(p Part) bool {
	return !r.answered[p].at.IsZero() || !r.ownAnswers(p).get(p).IsZero()
}

// answeredAt returns the time of the newest known answer to a part, or zero.
func (r *Record) answeredAt(p Part) time.Time {
	at := r.answered[p].at
	if own := r.ownAnswers(p).get(p); own.After(at) {
		return own
	}
	return at
}

func (r *Record) dropOldestEnd() {
	var oldest Start
	for s, e := range r.ends {
		if o := r.ends[oldest]; o == nil || e.at.Before(o.at) {
			oldest = s
		}
	}
	delete(r.ends, oldest)
}

// Unconfirmed returns the VMs of which it is not known, as of the last Confirm,
// whether they have ended, sorted.
func (r *Record) Unconfirmed() []string {
	var out []string
	for _, e := range r.ends {
		if !e.confirmed {
			out = append(out, e.unknown...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Status is what is known about a start of a VM since a moment.
type Status int

// Statuses of a start of a VM.
const (
	Unknown  Status = iota
	Answered        // the VM has answered since then
	Ended           // the start is certainly over
)

// Confirm marks the ends of which a VM has ended as confirmed, and drops those of
// which all VMs have answered since: only the connections to them had failed. It
// returns the VMs that received the requests of the confirmed ones, sorted.
func (r *Record) Confirm(now time.Time, status func(s Start, since time.Time) Status) []string {
	var out []string
	for s, e := range r.ends {
		if e.confirmed {
			continue
		}
		switch e.status(status) {
		case Ended:
			e.confirmed, e.changedAt = true, now
			r.pending = true
			out = append(out, s.VM)
		case Answered:
			delete(r.ends, s)
		case Unknown:
		}
	}
	slices.Sort(out)
	return out
}

// status returns Ended if one of the end's VMs has ended, and Answered if all have
// answered since.
func (e *end) status(status func(s Start, since time.Time) Status) Status {
	e.unknown = e.unknown[:0]
	for _, s := range e.vms {
		switch status(s, e.at) {
		case Ended:
			return Ended
		case Unknown:
			e.unknown = append(e.unknown, s.VM)
		case Answered:
		}
	}
	if len(e.unknown) > 0 {
		return Unknown
	}
	return Answered
}

// PartsOf returns the parts of the end of a VM, sorted.
func (r *Record) PartsOf(vm string) []Part {
	var out []Part
	for s, e := range r.ends {
		if s.VM != vm {
			continue
		}
		for p := range e.depths {
			out = append(out, p)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// expireInterval is the time between searches for what is out of date.
const expireInterval = time.Second

// expire drops what is older than its retention, once in expireInterval. It reports
// whether it has looked.
func (r *Record) expire(now time.Time) bool {
	if now.Sub(r.expiredAt) < expireInterval {
		return false
	}
	r.expiredAt = now
	for s, e := range r.ends {
		if now.Sub(e.at) >= endRetention || !e.confirmed && now.Sub(e.addedAt) >= confirmTimeout {
			delete(r.ends, s)
		}
	}
	full := len(r.answered) > maxAnswered
	for p, a := range r.answered {
		if (full || now.Sub(a.changedAt) >= endRetention) && r.quarantined[p] == nil && !r.isHeld(p) {
			delete(r.answered, p)
		}
	}
	return true
}

// isHeld reports whether any end has a part.
func (r *Record) isHeld(p Part) bool {
	for _, e := range r.ends {
		if _, held := e.depths[p]; held {
			return true
		}
	}
	return false
}
