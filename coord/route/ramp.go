package route

// rampStart is the number of concurrent requests that a node sends to a data
// centre that has just appeared.
const rampStart = 1

// ramp bounds the load on a data centre that has appeared or returned. It
// rises with completed requests, so a data centre that does not answer does
// not get more.
type ramp struct {
	allowed int
}

func (r *ramp) restart(off bool) {
	r.allowed = rampStart
	if off {
		r.allowed = int(^uint(0) >> 1)
	}
}

func (r *ramp) completed(limit int) {
	if r.allowed < limit {
		r.allowed++
	}
}
