package admit

import "time"

const (
	paceWeight = 0.1
	// stallFactor is how many usual intervals between completions may pass
	// before their lack counts as a fall of the pace.
	stallFactor = 4
)

// pace estimates how fast a target's requests end at this node.
type pace struct {
	// service is the mean time that one unit of cost takes.
	service  time.Duration
	inFlight int
	// endedAt is when a request last ended, or when the first one started.
	endedAt time.Time
}

func (p *pace) started(now time.Time) {
	if p.inFlight == 0 {
		p.endedAt = now
	}
	p.inFlight++
}

// ended takes in the end of a request; only whole answers tell the time that
// the work takes.
func (p *pace) ended(now time.Time, took time.Duration, cost float64, whole bool) {
	p.inFlight = max(0, p.inFlight-1)
	p.endedAt = now
	if !whole {
		return
	}
	perUnit := time.Duration(float64(took) / cost)
	if p.service == 0 {
		p.service = perUnit
		return
	}
	p.service += time.Duration(paceWeight * float64(perUnit-p.service))
}

// serviceTime returns how long a request of the cost takes once started; 0
// while nothing is known.
func (p *pace) serviceTime(cost float64) time.Duration {
	return time.Duration(cost * float64(p.service))
}

// interval returns the expected time between the ends of requests: the
// service time over the requests in flight, or the present lack of ends if
// that is much longer.
func (p *pace) interval(now time.Time) time.Duration {
	if p.service == 0 {
		return 0
	}
	usual := p.service / time.Duration(max(1, p.inFlight))
	if silence := now.Sub(p.endedAt); p.inFlight > 0 && silence > stallFactor*usual {
		return silence
	}
	return usual
}
