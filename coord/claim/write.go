package claim

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/table"
)

// writer brings rows into the table, several in one transaction and one
// transaction at a time.
type writer struct {
	queue    []*entry
	queuedAt time.Time // of the oldest in the queue
	batches  uint64
	batch    uint64 // in flight, 0 without one
	inFlight []*entry
	sentAt   time.Time
	overdue  uint64 // the batch found to take too long
	// paidUntil is when the transactions so far are paid for at the rate.
	paidUntil time.Time
	closing   bool // the batch in flight is the closing row
	retryAt   time.Time

	epoch         uint64
	epochRevision uint64
	epochKnown    bool
}

func (s *State) enqueue(now time.Time, e *entry) {
	if len(s.writer.queue) == 0 {
		s.writer.queuedAt = now
	}
	e.op = queued
	s.writer.queue = append(s.writer.queue, e)
}

// tableSlow reports whether a call with a ticket should not wait for its row.
func (s *State) tableSlow(now time.Time) bool {
	return s.down || s.writer.batch != 0 && now.Sub(s.writer.sentAt) >= s.opts.CommitPatience
}

// runOverdue dispatches calls with tickets once the transaction in flight has
// taken too long. Calls that come later find the table slow by themselves.
func (s *State) runOverdue(now time.Time) {
	w := &s.writer
	if w.batch == 0 || w.overdue == w.batch || now.Sub(w.sentAt) < s.opts.CommitPatience {
		return
	}
	w.overdue = w.batch
	for _, list := range [][]*entry{w.inFlight, w.queue} {
		for _, e := range list {
			if e.stage == claiming && e.ticket {
				s.advance(now, e)
			}
		}
	}
}

// flush starts the next transaction if it is due.
func (s *State) flush(now time.Time) {
	w := &s.writer
	if len(w.queue) == 0 || w.batch != 0 || s.down {
		return
	}
	if !w.epochKnown {
		s.probe(now)
		return
	}
	if len(w.queue) < s.opts.MaxBatch && now.Sub(w.queuedAt) < s.opts.BatchWindow || !s.pay(now) {
		return
	}
	entries := s.takeBatch(now)
	if len(entries) == 0 {
		return
	}
	txn := table.Txn{Conditions: []table.Condition{{Key: EpochKey, Revision: w.epochRevision}}}
	for _, e := range entries {
		rec := s.desired(e)
		e.op = writing
		e.writes = rec.Status
		txn.Conditions = append(txn.Conditions, table.Condition{Key: e.key.Row(), Revision: e.revision})
		txn.Writes = append(txn.Writes, table.Write{Key: e.key.Row(), Value: encode(rec)})
	}
	s.commit(now, txn, entries)
}

func (s *State) commit(now time.Time, txn table.Txn, entries []*entry) {
	w := &s.writer
	w.batches++
	w.batch, w.inFlight, w.sentAt = w.batches, entries, now
	s.emit(Commit{Batch: w.batch, Txn: txn})
}

// pay reports whether the rate allows a transaction now and books it.
func (s *State) pay(now time.Time) bool {
	w := &s.writer
	interval := time.Duration(float64(time.Second) / s.opts.CommitsPerSecond)
	paid := latest(w.paidUntil, now)
	if paid.Sub(now) > time.Duration(s.opts.CommitBurst-1)*interval {
		return false
	}
	w.paidUntil = paid.Add(interval)
	return true
}

// takeBatch takes entries that still need a write from the queue.
func (s *State) takeBatch(now time.Time) []*entry {
	w := &s.writer
	var batch []*entry
	for len(w.queue) > 0 && len(batch) < s.opts.MaxBatch {
		e := w.queue[0]
		w.queue = w.queue[1:]
		e.op = idle
		if e.stage == running {
			continue
		}
		if e.stage == releasing && e.stored == "" && !e.perhaps {
			s.advance(now, e)
			continue
		}
		batch = append(batch, e)
	}
	w.queuedAt = now
	return batch
}

// desired returns the record that the entry's row should hold.
func (s *State) desired(e *entry) Record {
	rec := Record{Fingerprint: e.fingerprint, Claimant: s.opts.Self, Token: e.token}
	switch e.stage {
	case settled:
		rec = e.final
	case releasing:
		rec.Status = Released
	default:
		rec.Status = Claimed
	}
	rec.Epoch = s.writer.epoch
	return rec
}

func (s *State) committed(now time.Time, ev Committed) {
	if ev.Batch != s.writer.batch || ev.Batch == 0 {
		return
	}
	entries := s.writer.inFlight
	s.writer.batch, s.writer.inFlight = 0, nil
	if s.writer.closing {
		s.closeCommitted(now, ev.Outcome)
		return
	}
	switch ev.Outcome {
	case table.Applied:
		for _, e := range entries {
			e.op, e.stored, e.revision, e.perhaps = idle, e.writes, ev.Revision, true
			s.advance(now, e)
		}
	case table.NotWritten:
		s.setDown(now)
		for _, e := range entries {
			e.op = idle
			s.advance(now, e)
		}
	default:
		s.readBack(entries, ev.Outcome)
	}
}

// readBack looks at the rows of a transaction that failed or whose answer was
// lost.
func (s *State) readBack(entries []*entry, outcome table.Outcome) {
	keys := []string{EpochKey}
	for _, e := range entries {
		if outcome == table.Unknown {
			e.perhaps = true
			e.lostWrite()
		}
		keys = append(keys, e.key.Row())
	}
	s.readRows(entries, keys...)
}

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
