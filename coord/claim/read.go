package claim

import (
	"encoding/json"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/table"
)

// reader is the state of the reads in flight.
type reader struct {
	readCount   uint64
	pending     map[uint64][]*entry
	probeRead   uint64 // ID of the read that probes the table, 0 if there is none
	nextProbeAt time.Time
}

// readRows requests rows and marks the given entries as waiting for them.
func (s *State) readRows(entries []*entry, keys ...string) {
	s.reader.readCount++
	for _, e := range entries {
		e.op = reading
	}
	s.reader.pending[s.reader.readCount] = entries
	s.emit(Read{Read: s.reader.readCount, Keys: keys})
}

// probe reads the epoch row if the epoch is not known or the table is down, at
// most once per Options.ProbeInterval.
func (s *State) probe(now time.Time) {
	r := &s.reader
	if s.writer.epochKnown && !s.down || r.probeRead != 0 || now.Before(r.nextProbeAt) {
		return
	}
	s.readRows(nil, EpochKey)
	r.probeRead = r.readCount
	r.nextProbeAt = now.Add(s.opts.ProbeInterval)
}

// takeRead removes a pending read and returns its entries. It returns false for
// an unknown read.
func (s *State) takeRead(id uint64) ([]*entry, bool) {
	entries, ok := s.reader.pending[id]
	delete(s.reader.pending, id)
	if s.reader.probeRead == id {
		s.reader.probeRead = 0
	}
	for _, e := range entries {
		e.op = idle
	}
	return entries, ok
}

func (s *State) handleReadFailed(now time.Time, id uint64) {
	entries, ok := s.takeRead(id)
	if !ok {
		return
	}
	s.markTableDown(now)
	for _, e := range entries {
		s.handleUnreadRow(now, e)
	}
}

// handleUnreadRow handles an entry whose row could not be read.
func (s *State) handleUnreadRow(now time.Time, e *entry) {
	switch e.stage {
	case following, orphaned:
		s.refuseAll(e, false, tableDownError())
		s.drop(e)
	case settled:
		s.answerAll(e, e.final)
		s.advance(now, e)
	default:
		s.advance(now, e)
	}
}

// markTableDown records that the table cannot be reached. It refuses the calls
// that need the table and dispatches those with a valid ticket. Writes stay
// queued until the table can be reached again.
func (s *State) markTableDown(now time.Time) {
	if s.down {
		return
	}
	s.down = true
	s.reader.nextProbeAt = now.Add(s.opts.ProbeInterval)
	for _, e := range s.writer.queue {
		if e.stage == claiming && !e.ticket {
			s.refuseAll(e, e.stored == Claimed, tableDownError())
		}
		s.advance(now, e)
	}
}

func (s *State) handleRowsRead(now time.Time, ev RowsRead) {
	entries, ok := s.takeRead(ev.Read)
	if !ok {
		return
	}
	s.down = false
	rows := make(map[string]table.Row, len(ev.Rows))
	for _, row := range ev.Rows {
		rows[row.Key] = row
	}
	if row, ok := rows[EpochKey]; ok {
		s.setEpoch(row)
	}
	for _, e := range entries {
		s.handleRow(now, e, rows)
	}
}

func (s *State) setEpoch(row table.Row) {
	w := &s.writer
	w.epochKnown, w.epochRevision, w.epoch = true, row.Revision, decodeEpoch(row)
}

// handleRow handles an entry whose row was read.
func (s *State) handleRow(now time.Time, e *entry, rows map[string]table.Row) {
	row := rows[e.key.Row()]
	rec, exists := decodeRecord(row)
	e.revision = row.Revision
	switch {
	case e.stage == orphaned:
		s.handleOrphan(now, e, rec, exists, rows[e.issuer.closedRow()].Revision > 0)
	case exists && rec.Token == e.token:
		s.handleOwnRow(now, e, rec)
	case !exists:
		e.stored = ""
		s.handleAbsentRow(now, e)
	default:
		s.handleForeignRow(now, e, rec)
	}
}

// handleAbsentRow handles an entry whose row does not exist.
func (s *State) handleAbsentRow(now time.Time, e *entry) {
	if e.stage == following {
		// The row of another claimant was removed at the end of its retention.
		e.stage = claiming
	}
	if e.stage == settled {
		s.answerAll(e, e.final)
	}
	s.advance(now, e)
}

// handleOwnRow updates an entry from its row, which has the entry's token.
func (s *State) handleOwnRow(now time.Time, e *entry, rec Record) {
	e.stored, e.mayBeStored = rec.Status, true
	if e.stage == settled {
		if rec.Status == Finished && (e.abandoned || e.trimmed) {
			s.answerAll(e, rec)
			e.final.Status, e.final.Outcome = rec.Status, rec.Outcome
		}
		s.answerAll(e, e.final)
		if e.trimmed {
			s.trim(e)
		}
	}
	s.advance(now, e)
}

// decodeRecord returns the record in a row, and whether the row exists.
func decodeRecord(row table.Row) (Record, bool) {
	var rec Record
	if row.Revision == 0 {
		return rec, false
	}
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		// A row that cannot be decoded must not be claimed again.
		rec = Record{Status: Unknown}
	}
	return rec, true
}

// decodeEpoch returns the epoch in a row, or 0 if the row does not exist or is
// invalid.
func decodeEpoch(row table.Row) uint64 {
	var epoch uint64
	if row.Revision == 0 || json.Unmarshal(row.Value, &epoch) != nil {
		return 0
	}
	return epoch
}
