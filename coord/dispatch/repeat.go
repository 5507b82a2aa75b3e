package dispatch

import "time"

// repeatBuckets is the number of parts of a window that are counted apart.
const repeatBuckets = 10

// repeats counts a service's requests and repeats on this node.
type repeats struct {
	part     time.Duration
	at       int64 // number of the newest part
	requests [repeatBuckets]int
	again    [repeatBuckets]int
}

func (r *repeats) advance(now time.Time) int {
	n := now.UnixNano() / int64(r.part)
	for i := max(r.at+1, n-repeatBuckets+1); i <= n; i++ {
		r.requests[i%repeatBuckets] = 0
		r.again[i%repeatBuckets] = 0
	}
	r.at = max(r.at, n)
	return int(r.at % repeatBuckets)
}

func sum(parts [repeatBuckets]int) int {
	total := 0
	for _, n := range parts {
		total += n
	}
	return total
}

func (t *Table) budget(service string) *repeats {
	b := t.budgets[service]
	if b == nil {
		b = &repeats{part: t.opts.RepeatWindow / repeatBuckets}
		t.budgets[service] = b
	}
	return b
}

// CountRequest counts a caller's request for a service.
func (t *Table) CountRequest(now time.Time, service string) {
	b := t.budget(service)
	b.requests[b.advance(now)]++
}

// TakeRepeat counts one more send of a request, unless that would exceed this
// node's part of the budget. A part is left to requests whose answer has begun,
// which callers lose if they can't go on.
func (t *Table) TakeRepeat(now time.Time, service string, begun bool) bool {
	b := t.budget(service)
	i := b.advance(now)
	most := t.opts.RepeatRatio*float64(sum(b.requests)) + t.opts.RepeatSlack/float64(t.nodes)
	part := newPart
	if begun {
		part = begunPart
	}
	if float64(sum(b.again)+1) > most*part {
		return false
	}
	b.again[i]++
	return true
}

// newPart and begunPart are the parts of the budget for requests without and
// with a begun answer. Some is kept for sends that arrive later than others and
// for nodes that are not counted yet.
const (
	newPart   = 0.65
	begunPart = 0.85
)
