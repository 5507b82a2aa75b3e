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

// RepeatUse is a node's use of its share of a service's budget of repeats.
type RepeatUse struct {
	// Requests and Repeats are the counts of the window.
	Requests, Repeats int
	// Limit is the largest number of repeats that the share allows now.
	Limit float64
	// Nodes is the number of nodes that share the slack, 0 if it is unknown.
	Nodes int
}

// TakeRepeat counts a repeated send of a request and returns true, or returns
// false if that would exceed this node's share of the budget. A part of the
// budget is reserved for requests whose answer has begun, since their callers
// lose the answer if it can't be continued. The use is that before the send.
func (t *Table) TakeRepeat(now time.Time, service string, begun bool) (RepeatUse, bool) {
	use := t.repeatUse(now, service, begun)
	if !use.allowsMore() {
		return use, false
	}
	b := t.budget(service)
	b.repeats[b.advance(now)]++
	return use, true
}

// repeatUse returns the use of a service's budget by requests whose answer has or
// has not begun.
func (t *Table) repeatUse(now time.Time, service string, begun bool) RepeatUse {
	b := t.budget(service)
	b.advance(now)
	use := RepeatUse{Requests: sum(b.requests), Repeats: sum(b.repeats), Nodes: t.nodeCounts.sharers(now)}
	fraction := newFraction
	if begun {
		fraction = begunFraction
	}
	use.Limit = fraction * (t.opts.RepeatRatio*float64(use.Requests) + t.repeatSlack(now))
	return use
}

// repeatSlack returns this node's share of the slack. It is 0 during the first window
// of a process: the one before may have used the whole share within that window. It
// is also 0 while the number of nodes is unknown.
func (t *Table) repeatSlack(now time.Time) float64 {
	sharers := t.nodeCounts.sharers(now)
	if sharers == 0 || now.Sub(t.opts.StartedAt) < t.opts.RepeatWindow {
		return 0
	}
	return t.opts.RepeatSlack / float64(sharers)
}

// allowsMore reports whether another repeat is within the limit.
func (u RepeatUse) allowsMore() bool { return float64(u.Repeats+1) <= u.Limit }

// newFraction and begunFraction are the fractions of the budget available to
// requests whose answer has not begun and has begun. The rest is a margin for
// sends that arrive late and for nodes that are not counted yet.
const (
	newFraction   = 0.65
	begunFraction = 0.85
)
