package claim

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/table"
)

// handleStop refuses the calls that are not dispatched yet and lets the running
// ones finish.
func (s *State) handleStop(now time.Time) {
	if s.stopping {
		return
	}
	s.stopping = true
	for _, e := range append(append([]*entry(nil), s.writer.inFlight...), s.writer.queue...) {
		if e.stage == claiming {
			s.refuseAll(e, e.ticket || e.stored == Claimed, stoppingError())
			s.advance(now, e)
		}
	}
}

// close writes the closing row once every claim is in the table. From then on,
// other nodes may treat a ticket of this node that has no row as unused.
func (s *State) close(now time.Time) {
	w := &s.writer
	if !s.stopping || s.closed || s.down || len(s.entries) > len(s.usedTickets) || w.batch != 0 {
		return
	}
	if now.Before(w.nextCloseAt) || !s.mayCommit(now) {
		return
	}
	w.closing = true
	w.nextCloseAt = now.Add(s.opts.ProbeInterval)
	row := s.opts.Self.closedRow()
	s.commit(now, table.Txn{Writes: []table.Write{{Key: row, Value: encode(w.epoch)}}}, nil)
}

// handleCloseCommitted handles the result of writing the closing row. Unless the row
// was written, close tries again later.
func (s *State) handleCloseCommitted(now time.Time, outcome table.Outcome) {
	s.writer.closing = false
	switch outcome {
	case table.Applied:
		s.closed = true
		s.emit(Stopped{})
	case table.NotWritten:
		s.markTableDown(now)
	}
}
