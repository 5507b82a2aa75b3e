package admit

import "time"

const (
	// serviceWeight is the weight of the newest answer in the mean service time.
	serviceWeight = 0.1
	// stallFactor is how many expected intervals may pass without a completion
	// before the throughput is taken to have dropped.
	stallFactor = 4
)

// throughput estimates how fast the requests of a target or an account end at
// this node.
type throughput struct {
	// service is the mean service time of one unit of cost.
	service  time.Duration
	inFlight int
	// endedAt is when a request last ended, or when the first of those in
	// flight started.
	endedAt time.Time
}

func (t *throughput) recordStart(now time.Time) {
	if t.inFlight == 0 {
		t.endedAt = now
	}
	t.inFlight++
}

// recordEnd records the end of a request. Only complete answers contribute to the
// mean service time.
func (t *throughput) recordEnd(now time.Time, took time.Duration, cost float64, complete bool) {
	t.inFlight = max(0, t.inFlight-1)
	t.endedAt = now
	if !complete {
		return
	}
	perUnit := time.Duration(float64(took) / cost)
	if t.service == 0 {
		t.service = perUnit
		return
	}
	t.service += time.Duration(serviceWeight * float64(perUnit-t.service))
}

// serviceTime returns the expected time from the start to the end of a request of
// the given cost, or 0 if none has been measured yet.
func (t *throughput) serviceTime(cost float64) time.Duration {
	return time.Duration(cost * float64(t.service))
}

// interval returns the expected time between the ends of requests: the service
// time divided by the requests in flight, or the time since the last end if that
// is much longer. It returns 0 if no service time is known.
func (t *throughput) interval(now time.Time) time.Duration {
	if t.service == 0 {
		return 0
	}
	expected := t.service / time.Duration(max(1, t.inFlight))
	if sinceEnd := now.Sub(t.endedAt); t.inFlight > 0 && sinceEnd > stallFactor*expected {
		return sinceEnd
	}
	return expected
}
