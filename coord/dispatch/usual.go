package dispatch

import "time"

// usualWeight is the weight of the newest answer in the usual time.
const usualWeight = 1.0 / 32

// usual is the running mean of the time that a pool's endpoints take for the
// first bytes of an answer.
type usual struct {
	mean time.Duration
}

func (u *usual) note(took time.Duration) {
	if u.mean == 0 {
		u.mean = took
		return
	}
	u.mean += time.Duration(usualWeight * float64(took-u.mean))
}

// Usual returns how long the endpoints for a query usually take for the first
// bytes of an answer, 0 if none has answered yet.
func (t *Table) Usual(service, model string) time.Duration {
	if u := t.usuals[poolKey{service, model}]; u != nil {
		return u.mean
	}
	return 0
}

// noteFirst takes in the first bytes of an answer.
func (t *Table) noteFirst(now time.Time, ticket *Ticket) {
	key := poolKey{ticket.Target.Service, ticket.Target.Model}
	u := t.usuals[key]
	if u == nil {
		u = &usual{}
		t.usuals[key] = u
	}
	u.note(now.Sub(ticket.sentAt))
}
