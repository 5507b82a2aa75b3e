package admit

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// expired returns why a request at the position of its lane cannot be
// answered in time, or nil.
func (c *Controller) expired(now time.Time, t *target, l *lane, w *waiting, position int) *problem.Error {
	if c.opts.HoldToDeadline {
		if w.late(now, 0) {
			return c.tooLate(now, t)
		}
		return nil
	}
	if p := c.accountFull(now, t, l.account, w, position); p != nil {
		return p
	}
	if w.late(now.Add(c.wait(now, t, l, position)), t.pace.serviceTime(w.Cost)) {
		return c.tooLate(now, t)
	}
	return nil
}
