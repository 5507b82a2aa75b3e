package route

import "time"

const (
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.2
	// medianStep is the relative change of a running median per sample.
	medianStep = 0.05
	// stragglerRatio is the latency, relative to the median of the target's
	// endpoints, at and above which an endpoint counts as a straggler.
	stragglerRatio = 2.0
	// latencyHalfLife is the age of the last sample at which the difference
	// between an endpoint's average and the median counts by half. It makes
	// sure that a former straggler is tried again.
	latencyHalfLife = 10 * time.Second
	// minStall is the shortest time without progress that counts as latency.
	minStall = 100 * time.Millisecond
)

// latency tracks a candidate's recent time to the first token, or to the whole
// answer if it is not streamed.
type latency struct {
	average   time.Duration
	sampledAt time.Time
	// pending counts requests whose answer has not begun. progressAt is when
	// an answer last began or failed to come, or when the first pending
	// request was sent.
	pending    int
	progressAt time.Time
}

// startRequest records that a request was sent.
func (l *latency) startRequest(now time.Time) {
	if l.pending == 0 {
		l.progressAt = now
	}
	l.pending++
}

// endRequest records that the answer to a pending request has begun or will not
// come.
func (l *latency) endRequest(now time.Time) {
	l.pending = max(0, l.pending-1)
	l.progressAt = now
}

// add updates the average with a new sample.
func (l *latency) add(now time.Time, took time.Duration) {
	if l.sampledAt.IsZero() {
		l.average = took
	} else {
		l.average += time.Duration(latencyWeight * float64(took-l.average))
	}
	l.sampledAt = now
}

// estimate returns the expected latency: the average, which approaches the
// median as it ages, or the present time without progress if that is longer.
func (l *latency) estimate(now time.Time, median time.Duration) time.Duration {
	est := median
	if !l.sampledAt.IsZero() {
		halfLives := float64(now.Sub(l.sampledAt)) / float64(latencyHalfLife)
		est += time.Duration(float64(l.average-median) / (1 + halfLives*halfLives))
	}
	if stall := now.Sub(l.progressAt); l.pending > 0 && stall > minStall {
		est = max(est, stall)
	}
	return est
}

// runningMedian estimates the median of a target's latencies. Each sample
// after the first moves it by a fixed fraction, whatever the sample's distance,
// which limits the effect of outliers.
type runningMedian struct{ value time.Duration }

func (m *runningMedian) add(took time.Duration) {
	step := time.Duration(medianStep * float64(m.value))
	switch {
	case m.value == 0:
		m.value = took
	case took > m.value:
		m.value += max(step, 1)
	case took < m.value:
		m.value -= min(max(step, 1), m.value-1)
	}
}

// slowness returns the candidate's latency or reported time per token relative
// to the target's median, whichever ratio is larger, and 1 if the candidate is
// not a straggler.
func (c *candidate) slowness(now time.Time) float64 {
	median := c.target.latency.value
	ratio := max(
		relative(c.latency.estimate(now, median), median),
		relative(c.tokenLatency, c.target.tokenLatency.value),
	)
	if ratio < stragglerRatio {
		return 1
	}
	return ratio
}

// relative returns d relative to the median, or 1 if there is no median yet.
func relative(d, median time.Duration) float64 {
	if median == 0 {
		return 1
	}
	return float64(d) / float64(median)
}
