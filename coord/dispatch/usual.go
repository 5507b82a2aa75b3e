package dispatch

import "time"

// usualWeight is the weight of the newest answer in the usual time.
const usualWeight = 1.0 / 32

// MeanFirstByteTime returns how long the endpoints for a model usually take for the first
// bytes of an answer, as a running mean, 0 if none has answered yet.
func (t *Table) MeanFirstByteTime(service, model string) time.Duration {
	return t.usuals[poolKey{service, model}]
}

// noteFirst takes in the first bytes of an answer.
func (t *Table) noteFirst(now time.Time, ticket *Ticket) {
	key := poolKey{ticket.Target.Service, ticket.Target.Model}
	took := now.Sub(ticket.sentAt)
	mean := t.usuals[key]
	if mean == 0 {
		mean = took
	}
	t.usuals[key] = mean + time.Duration(usualWeight*float64(took-mean))
}
