package budget

// DefaultPerSlot is the default number of completed requests that raise an
// endpoint's limit by one.
const DefaultPerSlot = 4

// Warmup configures how an endpoint's limit rises after a cold start.
type Warmup struct {
	// PerSlot is the number of completed requests that add one concurrent
	// request to the limit; 0 means DefaultPerSlot.
	PerSlot int
	// Off disables the warm-up: the full limit applies from the start.
	Off bool
}

// Limit returns the limit on concurrent requests of an endpoint that has
// completed the given number of requests since it started. It never falls
// as completed rises, and time alone does not raise it.
func (w Warmup) Limit(cold, warm int, completed uint64) int {
	if w.Off || cold >= warm {
		return warm
	}
	perSlot := w.PerSlot
	if perSlot <= 0 {
		perSlot = DefaultPerSlot
	}
	steps := completed / uint64(perSlot)
	if steps >= uint64(warm-cold) {
		return warm
	}
	return cold + int(steps)
}
