package claim

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/table"
)

// writer writes rows to the table in batches, one transaction at a time.
type writer struct {
	queue        []*entry
	queuedAt     time.Time // when the oldest entry was queued
	batchCount   uint64
	batch        uint64 // in flight, 0 if there is none
	inFlight     []*entry
	commitSentAt time.Time
	overdueBatch uint64 // last batch that exceeded Options.MaxCommitWait
	// theoreticalTime is the earliest time by which the transactions so far
	// conform to the rate limit (the theoretical arrival time of GCRA).
	theoreticalTime time.Time
	closing         bool // the batch in flight writes the closing row
	nextCloseAt     time.Time

	epoch         uint64
	epochRevision uint64
	epochKnown    bool
}

// enqueue queues a write of the entry's row.
func (s *State) enqueue(now time.Time, e *entry) {
	if len(s.writer.queue) == 0 {
		s.writer.queuedAt = now
	}
	e.op = queued
	s.writer.queue = append(s.writer.queue, e)
}

// isTableSlow reports whether calls with tickets should be dispatched without
// waiting for their rows.
func (s *State) isTableSlow(now time.Time) bool {
	return s.down || s.writer.batch != 0 && now.Sub(s.writer.commitSentAt) >= s.opts.MaxCommitWait
}

// dispatchOverdue dispatches the calls with tickets once the transaction in
// flight exceeds Options.MaxCommitWait, once per transaction. Calls that arrive
// later are dispatched at once, as isTableSlow is then true.
func (s *State) dispatchOverdue(now time.Time) {
	w := &s.writer
	if w.batch == 0 || w.overdueBatch == w.batch || now.Sub(w.commitSentAt) < s.opts.MaxCommitWait {
		return
	}
	w.overdueBatch = w.batch
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
	if len(w.queue) < s.opts.MaxBatch && now.Sub(w.queuedAt) < s.opts.BatchWindow || !s.mayCommit(now) {
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
		e.pendingStatus = rec.Status
		txn.Conditions = append(txn.Conditions, table.Condition{Key: e.key.Row(), Revision: e.revision})
		txn.Writes = append(txn.Writes, table.Write{Key: e.key.Row(), Value: encode(rec)})
	}
	s.commit(now, txn, entries)
}

// commit starts a transaction for the given entries and counts it in the rate.
func (s *State) commit(now time.Time, txn table.Txn, entries []*entry) {
	w := &s.writer
	w.batchCount++
	w.batch, w.inFlight, w.commitSentAt = w.batchCount, entries, now
	w.theoreticalTime = latest(w.theoreticalTime, now).Add(s.commitInterval())
	s.emit(Commit{Batch: w.batch, Txn: txn})
}

// mayCommit reports whether the rate limit allows a transaction now.
func (s *State) mayCommit(now time.Time) bool {
	return s.writer.theoreticalTime.Sub(now) <= time.Duration(s.opts.CommitBurst-1)*s.commitInterval()
}

// commitInterval is the time between transactions at Options.CommitsPerSecond.
func (s *State) commitInterval() time.Duration {
	return time.Duration(float64(time.Second) / s.opts.CommitsPerSecond)
}

// takeBatch removes up to Options.MaxBatch entries that still need a write from
// the queue.
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
		if e.stage == releasing && e.stored == "" && !e.mayBeStored {
			s.advance(now, e)
			continue
		}
		batch = append(batch, e)
	}
	w.queuedAt = now
	return batch
}

// desired returns the record to write to the entry's row.
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

// handleCommitted handles the result of the transaction in flight.
func (s *State) handleCommitted(now time.Time, ev Committed) {
	if ev.Batch != s.writer.batch || ev.Batch == 0 {
		return
	}
	entries := s.writer.inFlight
	s.writer.batch, s.writer.inFlight = 0, nil
	if ev.Outcome == table.Applied || ev.Outcome == table.Conflict {
		s.down = false
	}
	if s.writer.closing {
		s.handleCloseCommitted(now, ev.Outcome)
		return
	}
	switch ev.Outcome {
	case table.Applied:
		for _, e := range entries {
			e.op, e.stored, e.revision, e.mayBeStored = idle, e.pendingStatus, ev.Revision, true
			s.advance(now, e)
		}
	case table.NotWritten:
		s.markTableDown(now)
		for _, e := range entries {
			e.op = idle
			s.advance(now, e)
		}
	default:
		s.readBack(entries, ev.Outcome)
	}
}

// readBack reads the rows of a transaction that failed or whose answer was lost.
func (s *State) readBack(entries []*entry, outcome table.Outcome) {
	keys := []string{EpochKey}
	for _, e := range entries {
		if outcome == table.Unknown {
			e.mayBeStored = true
			e.recordLostWrite()
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
