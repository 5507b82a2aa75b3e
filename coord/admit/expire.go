package admit

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// checkWaiting returns an error if the request at the given position of its lane
// should not wait any longer: nothing serves its target, its account's limit is
// in use for too long, or it cannot be answered in time. Otherwise it returns
// nil.
func (c *Controller) checkWaiting(now time.Time, t *target, l *lane, w *queuedRequest, position int) *problem.Error {
	if c.opts.HoldToDeadline {
		if w.missesDeadline(now, 0) {
			return c.tooLateError(now, t)
		}
		return nil
	}
	if !c.capacity.Serving(t.name) {
		return noEndpointError(t.name)
	}
	if p := c.checkAccountLimit(now, t, l.account, w, position); p != nil {
		return p
	}
	if w.missesDeadline(now.Add(c.estimateWait(now, t, l, position)), t.throughput.serviceTime(w.Cost)) {
		return c.tooLateError(now, t)
	}
	return nil
}
