package dispatch

import "time"

// repeatBuckets is the number of buckets into which a window is divided.
const repeatBuckets = 10

// repeatCounter counts the requests and repeats of a service on this node over
// a sliding window. The newest bucket is not yet over: requests are counted in a
// window's buckets, so in no more than a window, and repeats in one more, so in no
// less than one.
type repeatCounter struct {
	bucketLength      time.Duration
	requests, repeats bucketCounts
}

func newRepeatCounter(window time.Duration) *repeatCounter {
	return &repeatCounter{
		bucketLength: window / repeatBuckets,
		requests:     bucketCounts{counts: make([]int, repeatBuckets)},
		repeats:      bucketCounts{counts: make([]int, repeatBuckets+1)},
	}
}

// bucket returns the number of the bucket at a time.
func (r *repeatCounter) bucket(now time.Time) int64 { return now.UnixNano() / int64(r.bucketLength) }

// countRequests returns the requests that count for the budget: those of the window,
// but no more than twice those of its newer half. A node whose callers have moved to
// others leaves them the budget of these callers.
func (r *repeatCounter) countRequests(bucket int64) int {
	return min(r.requests.sum(bucket), 2*r.requests.sumOf(bucket, repeatBuckets/2+1))
}

// bucketCounts counts events in the newest buckets.
type bucketCounts struct {
	counts []int
	newest int64 // number of the newest bucket
}

// add counts n events in a bucket.
func (c *bucketCounts) add(bucket int64, n int) {
	c.advance(bucket)
	c.counts[c.newest%int64(len(c.counts))] += n
}

// sum returns the number of events in the buckets up to the given one.
func (c *bucketCounts) sum(bucket int64) int { return c.sumOf(bucket, len(c.counts)) }

// sumOf returns the number of events in the n buckets up to the given one.
func (c *bucketCounts) sumOf(bucket int64, n int) int {
	c.advance(bucket)
	total := 0
	for i := range int64(n) {
		total += c.counts[(c.newest-i)%int64(len(c.counts))]
	}
	return total
}

// advance clears the buckets that are too old once the given one is the newest.
func (c *bucketCounts) advance(bucket int64) {
	size := int64(len(c.counts))
	for i := max(c.newest+1, bucket-size+1); i <= bucket; i++ {
		c.counts[i%size] = 0
	}
	c.newest = max(c.newest, bucket)
}

// budget returns the counter of a service, creating it if necessary.
func (t *Table) budget(service string) *repeatCounter {
	b := t.budgets[service]
	if b == nil {
		b = newRepeatCounter(t.opts.RepeatWindow)
		t.budgets[service] = b
	}
	return b
}

// CountRequest counts a request from a caller for a service.
func (t *Table) CountRequest(now time.Time, service string) {
	b := t.budget(service)
	b.requests.add(b.bucket(now), 1)
}

// RepeatUse is a node's use of its share of a service's budget of repeats.
type RepeatUse struct {
	// Requests and Repeats are the counts of the window. Requests are fewer if they
	// have become rarer in it.
	Requests, Repeats int
	// Limit is the largest number of repeats that the share allows now.
	Limit float64
	// Nodes is the number of nodes that share the slack, 0 if it is unknown.
	Nodes int
}

// takeRepeat counts a repeated send of a request and returns true, or returns
// false if that would exceed this node's share of the budget. A part of the
// budget is reserved for requests whose answer has begun, since their callers
// lose the answer if it can't be continued. The use is that before the send.
func (t *Table) takeRepeat(now time.Time, service string, begun bool) (RepeatUse, bool) {
	use := t.RepeatUse(now, service, begun)
	if !use.allowsMore() {
		return use, false
	}
	b := t.budget(service)
	b.repeats.add(b.bucket(now), 1)
	return use, true
}

// RepeatUse returns the use of a service's budget, with the limit for requests whose
// answer has or has not begun.
func (t *Table) RepeatUse(now time.Time, service string, begun bool) RepeatUse {
	b := t.budget(service)
	bucket := b.bucket(now)
	use := RepeatUse{Requests: b.countRequests(bucket), Repeats: b.repeats.sum(bucket), Nodes: t.nodeCounts.sharers(now)}
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
// sends that arrive late, nodes that are not counted yet, and callers that move
// between nodes within a window, whose requests then count at both.
const (
	newFraction   = 0.65
	begunFraction = 0.75
)
