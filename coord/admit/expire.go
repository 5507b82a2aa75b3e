package admit

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// expired returns why a request at the position of its lane waits in vain,
// or nil: nothing serves its target, or it cannot be answered in time.
func (c *Controller) expired(now time.Time, t *target, l *lane, w *waiting, position int) *problem.Error {
	if c.opts.HoldToDeadline {
		if w.late(now, 0) {
			return c.tooLate(now, t)
		}
		return nil
	}
	if !c.capacity.Serving(t.name) {
		return noEndpoint(t.name)
	}
	if p := c.accountFull(now, t, l.account, w, position); p != nil {
		return p
	}
	if w.late(now.Add(c.wait(now, t, l, position)), t.pace.serviceTime(w.Cost)) {
		return c.tooLate(now, t)
	}
	return nil
}
