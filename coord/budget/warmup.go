package budget

// DefaultWarmup is the number of completed requests that raise an endpoint's
// limit by one.
const DefaultWarmup = 4

// Warmup says how an endpoint's limit rises after a cold start.
type Warmup struct {
	// PerSlot is the number of completed requests per additional concurrent
	// one; 0 means DefaultWarmup.
	PerSlot int
	// Off gives the full limit from the start.
	Off bool
}

// Limit returns the number of concurrent requests that an endpoint bears
// after the given number of completed ones since it started. It never falls
// as completed rises, and time alone does not raise it.
func (w Warmup) Limit(cold, warm int, completed uint64) int {
	if w.Off || cold >= warm {
		return warm
	}
	perSlot := w.PerSlot
	if perSlot <= 0 {
		perSlot = DefaultWarmup
	}
	steps := completed / uint64(perSlot)
	if steps >= uint64(warm-cold) {
		return warm
	}
	return cold + int(steps)
}
