package route

// rampStart is the number of concurrent requests that a node may send to a data
// centre that has just appeared or failed.
const rampStart = 1

// ramp limits the concurrent requests to a data centre that has appeared or
// returned. The limit rises with completed requests, so the load on a data
// centre that does not answer does not grow.
type ramp struct {
	allowed int
}

// reset sets the limit to rampStart, or removes it if ramps are disabled.
func (r *ramp) reset(disabled bool) {
	r.allowed = rampStart
	if disabled {
		r.allowed = int(^uint(0) >> 1)
	}
}

// grow raises the limit by one after a completed request.
func (r *ramp) grow(limit int) {
	if r.allowed < limit {
		r.allowed++
	}
}
