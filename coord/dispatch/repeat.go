package dispatch

import "time"

// repeatBuckets is the number of buckets into which a window is divided.
const repeatBuckets = 10

// repeatCounter counts the requests and repeats of a service on this node over
// a sliding window.
type repeatCounter struct {
	bucketLength time.Duration
	newest       int64 // number of the newest bucket
	requests     [repeatBuckets]int
	repeats      [repeatBuckets]int
}

// advance clears the buckets that have left the window and returns the index of
// the current one.
func (r *repeatCounter) advance(now time.Time) int {
	n := now.UnixNano() / int64(r.bucketLength)
	for i := max(r.newest+1, n-repeatBuckets+1); i <= n; i++ {
		r.requests[i%repeatBuckets] = 0
		r.repeats[i%repeatBuckets] = 0
	}
	r.newest = max(r.newest, n)
	return int(r.newest % repeatBuckets)
}

func sum(buckets [repeatBuckets]int) int {
	total := 0
	for _, n := range buckets {
		total += n
	}
	return total
}

// budget returns the counter of a service, creating it if necessary.
func (t *Table) budget(service string) *repeatCounter {
	b := t.budgets[service]
	if b == nil {
		b = &repeatCounter{bucketLength: t.opts.RepeatWindow / repeatBuckets}
		t.budgets[service] = b
	}
	return b
}

// CountRequest counts a request from a caller for a service.
func (t *Table) CountRequest(now time.Time, service string) {
	b := t.budget(service)
	b.requests[b.advance(now)]++
}

// TakeRepeat counts a repeated send of a request and returns true, or returns
// false if that would exceed this node's share of the budget. A part of the
// budget is reserved for requests whose answer has begun, since their callers
// lose the answer if it can't be continued.
func (t *Table) TakeRepeat(now time.Time, service string, begun bool) bool {
	if !t.hasRepeat(now, service, begun) {
		return false
	}
	b := t.budget(service)
	b.repeats[b.advance(now)]++
	return true
}

// hasRepeat reports whether the budget allows another repeated send.
func (t *Table) hasRepeat(now time.Time, service string, begun bool) bool {
	b := t.budget(service)
	b.advance(now)
	limit := t.opts.RepeatRatio*float64(sum(b.requests)) + t.opts.RepeatSlack/float64(t.nodes)
	fraction := newFraction
	if begun {
		fraction = begunFraction
	}
	return float64(sum(b.repeats)+1) <= limit*fraction
}

// newFraction and begunFraction are the fractions of the budget available to
// requests whose answer has not begun and has begun. The rest is a margin for
// sends that arrive late and for nodes that are not counted yet.
const (
	newFraction   = 0.65
	begunFraction = 0.85
)
