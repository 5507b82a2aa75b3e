package route

import "time"

const (
	latencyWeight = 0.2
	// medianStep is the relative move of a running median per sample.
	medianStep = 0.05
	// stragglerRatio is the latency, relative to the median of the target's
	// endpoints, from which an endpoint counts as a straggler.
	stragglerRatio = 2.0
	// latencyHalfLife is the time in which an endpoint's excess over the
	// median is half forgotten, so that it is tried again.
	latencyHalfLife = 10 * time.Second
	// minStall is the shortest silence that counts as a delay.
	minStall = 100 * time.Millisecond
)

// latency is an endpoint's recent time to the first token, or to the answer
// where there is no stream.
type latency struct {
	average time.Duration
	at      time.Time
	// awaited counts requests whose answer has not begun; progressAt is when
	// one last did, or when the first of them was sent.
	awaited    int
	progressAt time.Time
}

func (l *latency) sent(now time.Time) {
	if l.awaited == 0 {
		l.progressAt = now
	}
	l.awaited++
}

// ended notes that an awaited answer has begun or will not come.
func (l *latency) ended(now time.Time) {
	l.awaited = max(0, l.awaited-1)
	l.progressAt = now
}

func (l *latency) sample(now time.Time, took time.Duration) {
	if l.at.IsZero() {
		l.average = took
	} else {
		l.average += time.Duration(latencyWeight * float64(took-l.average))
	}
	l.at = now
}

// estimate returns the expected latency: the average, drawn to the median
// with age, or the present silence if that is longer.
func (l *latency) estimate(now time.Time, median time.Duration) time.Duration {
	est := median
	if !l.at.IsZero() {
		halves := float64(now.Sub(l.at)) / float64(latencyHalfLife)
		est += time.Duration(float64(l.average-median) / (1 + halves*halves))
	}
	if silence := now.Sub(l.progressAt); l.awaited > 0 && silence > minStall {
		est = max(est, silence)
	}
	return est
}

// peerLatency is the running median latency of a target's endpoints. It is
// moved by a fixed fraction per sample, so outliers do not shift it.
type peerLatency struct{ median time.Duration }

func (p *peerLatency) sample(took time.Duration) {
	step := time.Duration(medianStep * float64(p.median))
	switch {
	case p.median == 0:
		p.median = took
	case took > p.median:
		p.median += max(step, 1)
	case took < p.median:
		p.median -= min(max(step, 1), p.median-1)
	}
}

// slowness returns how much slower than its peers the candidate is, by its
// latency or its reported time per token; 1 for any that is not a straggler.
func (c *candidate) slowness(now time.Time) float64 {
	median := c.target.peers.median
	ratio := max(
		relative(c.latency.estimate(now, median), median),
		relative(c.step, c.target.steps.median),
	)
	if ratio < stragglerRatio {
		return 1
	}
	return ratio
}

func relative(d, median time.Duration) float64 {
	if median == 0 {
		return 1
	}
	return float64(d) / float64(median)
}
