package dispatch

import "time"

// firstByteWeight is the weight of the newest answer in the running mean of the
// time to the first byte.
const firstByteWeight = 1.0 / 32

// MeanFirstByteTime returns the running mean of the time that the endpoints for
// a model take to send the first bytes of an answer, or 0 if none has answered
// yet.
func (t *Table) MeanFirstByteTime(service, model string) time.Duration {
	return t.firstByteTimes[poolKey{service, model}]
}

// recordFirstByte updates the mean time to the first byte with a request whose
// first bytes arrived now.
func (t *Table) recordFirstByte(now time.Time, ticket *Ticket) {
	key := poolKey{ticket.Target.Service, ticket.Target.Model}
	took := now.Sub(ticket.sentAt)
	mean := t.firstByteTimes[key]
	if mean == 0 {
		mean = took
	}
	t.firstByteTimes[key] = mean + time.Duration(firstByteWeight*float64(took-mean))
}
