package claim

import (
	"encoding/json"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/table"
)

// reader reads rows back.
type reader struct {
	reads   uint64
	pending map[uint64][]*entry
	probing uint64 // the read that probes the table, 0 without one
	probeAt time.Time
}

func (s *State) readRows(entries []*entry, keys ...string) {
	s.reader.reads++
	for _, e := range entries {
		e.op = reading
	}
	s.reader.pending[s.reader.reads] = entries
	s.emit(Read{Read: s.reader.reads, Keys: keys})
}

// probe reads the epoch while it is not known or the table is down.
func (s *State) probe(now time.Time) {
	r := &s.reader
	if s.writer.epochKnown && !s.down || r.probing != 0 || now.Before(r.probeAt) {
		return
	}
	s.readRows(nil, EpochKey)
	r.probing = r.reads
	r.probeAt = now.Add(s.opts.ProbeInterval)
}

func (s *State) takeRead(id uint64) ([]*entry, bool) {
	entries, ok := s.reader.pending[id]
	delete(s.reader.pending, id)
	if s.reader.probing == id {
		s.reader.probing = 0
	}
	for _, e := range entries {
		e.op = idle
	}
	return entries, ok
}

func (s *State) readFailed(now time.Time, id uint64) {
	entries, ok := s.takeRead(id)
	if !ok {
		return
	}
	s.setDown(now)
	for _, e := range entries {
		s.unread(now, e)
	}
}

// unread goes on without the row.
func (s *State) unread(now time.Time, e *entry) {
	switch e.stage {
	case following, orphaned:
		s.refuseAll(e, false, tableDown())
		s.drop(e)
	case settled:
		s.answerAll(e, e.final)
		s.advance(now, e)
	default:
		s.advance(now, e)
	}
}

// setDown notes that the table cannot be reached and lets go of what waits
// for it. Writes stay queued until it is back.
func (s *State) setDown(now time.Time) {
	if s.down {
		return
	}
	s.down = true
	s.reader.probeAt = now.Add(s.opts.ProbeInterval)
	for _, e := range s.writer.queue {
		if e.stage == claiming && !e.ticket {
			s.refuseAll(e, e.stored == Claimed, tableDown())
		}
		s.advance(now, e)
	}
}

func (s *State) rowsRead(now time.Time, ev RowsRead) {
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
		s.epochRead(row)
	}
	for _, e := range entries {
		s.rowRead(now, e, rows)
	}
}

func (s *State) epochRead(row table.Row) {
	w := &s.writer
	w.epochKnown, w.epochRevision, w.epoch = true, row.Revision, decodeEpoch(row)
}

// rowRead goes on with an entry whose row was read.
func (s *State) rowRead(now time.Time, e *entry, rows map[string]table.Row) {
	row := rows[e.key.Row()]
	rec, exists := decodeRecord(row)
	e.revision = row.Revision
	switch {
	case e.stage == orphaned:
		s.orphanRead(now, e, rec, exists, rows[e.issuer.closedRow()].Revision > 0)
	case exists && rec.Token == e.token:
		s.ownRowRead(now, e, rec)
	case !exists:
		e.stored = ""
		s.absentRead(now, e)
	default:
		s.foreignRowRead(now, e, rec)
	}
}

func (s *State) absentRead(now time.Time, e *entry) {
	if e.stage == following {
		// The row of another claimant was removed at the end of its retention.
		e.stage = claiming
	}
	if e.stage == settled {
		s.answerAll(e, e.final)
	}
	s.advance(now, e)
}

// ownRowRead takes what the row holds under the entry's token.
func (s *State) ownRowRead(now time.Time, e *entry, rec Record) {
	e.stored, e.perhaps = rec.Status, true
	if e.stage == settled {
		if rec.Status == Finished && (e.marker || e.trimmed) {
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

func decodeRecord(row table.Row) (Record, bool) {
	var rec Record
	if row.Revision == 0 {
		return rec, false
	}
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		// A row that cannot be read is never claimed over.
		rec = Record{Status: Unknown}
	}
	return rec, true
}

func decodeEpoch(row table.Row) uint64 {
	var epoch uint64
	if row.Revision == 0 || json.Unmarshal(row.Value, &epoch) != nil {
		return 0
	}
	return epoch
}
