package claim

import (
	"cmp"
	"encoding/json"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/table"
)

// SweepOptions configures a Sweeper. Zero fields take the defaults.
type SweepOptions struct {
	// EpochLength is the minimum time between two increments of the epoch.
	EpochLength time.Duration
	// RetainedEpochs is the number of full epochs for which a row is kept after
	// the one in which it was written.
	RetainedEpochs uint64
	// PageLimit is the maximum number of rows that are read and removed at once.
	PageLimit int
	// PageInterval is the time between pages.
	PageInterval time.Duration
}

// Defaults of SweepOptions: a row is kept for at least 24 hours.
const (
	DefaultEpochLength    = time.Hour
	DefaultRetainedEpochs = 24
	DefaultPageLimit      = 200
	DefaultPageInterval   = time.Second
)

// Sweeper removes claim rows whose retention has ended. After that, a repeat
// with a plain key is a new call. A repeat with a ticket is refused, as the
// ticket expired long before.
//
// Time is counted in epochs. The epoch is a number in the table that a sweeper
// increments only after it has seen it unchanged for EpochLength on its own
// clock. Several sweepers, lost answers and restarts can only lengthen an epoch,
// so rows are never removed early. Every write of a claim is conditioned on the
// epoch that it records.
type Sweeper struct {
	opts        SweepOptions
	epoch       table.Row
	epochSeenAt time.Time
	epochKnown  bool
	busy        bool
	nextPageAt  time.Time
	after       string // key of the last row of the previous page
	prefixIndex int    // index into sweptPrefixes
}

var sweptPrefixes = []string{rowPrefix, issuerPrefix}

// SweepEvent is an input of Sweeper.Step.
type SweepEvent interface{ sweepEvent() }

// Events of a Sweeper.
type (
	// SweepTick makes Sweeper read the next page if it is due.
	SweepTick struct{}
	// EpochRow answers ReadEpoch.
	EpochRow struct{ Row table.Row }
	// Page answers ReadPage with rows ordered by key.
	Page struct{ Rows []table.Row }
	// SweepCommitted answers SweepCommit. It has no outcome: a later pass finds
	// the rows that were not removed.
	SweepCommitted struct{}
	// SweepFailed reports that a read failed.
	SweepFailed struct{}
)

func (SweepTick) sweepEvent()      {}
func (EpochRow) sweepEvent()       {}
func (Page) sweepEvent()           {}
func (SweepCommitted) sweepEvent() {}
func (SweepFailed) sweepEvent()    {}

// SweepEffect is an output of Sweeper.Step.
type SweepEffect interface{ sweepEffect() }

// Effects of a Sweeper.
type (
	// ReadEpoch requests the row EpochKey.
	ReadEpoch struct{}
	// ReadPage requests up to Limit rows with the prefix whose keys are greater
	// than After.
	ReadPage struct {
		Prefix, After string
		Limit         int
	}
	// SweepCommit requests a single attempt at a transaction.
	SweepCommit struct{ Txn table.Txn }
)

func (ReadEpoch) sweepEffect()   {}
func (ReadPage) sweepEffect()    {}
func (SweepCommit) sweepEffect() {}

// NewSweeper returns a Sweeper. Only one node or a few should run a sweeper.
func NewSweeper(opts SweepOptions) *Sweeper {
	opts.EpochLength = cmp.Or(opts.EpochLength, DefaultEpochLength)
	opts.PageLimit = cmp.Or(opts.PageLimit, DefaultPageLimit)
	opts.PageInterval = cmp.Or(opts.PageInterval, DefaultPageInterval)
	if opts.RetainedEpochs == 0 {
		opts.RetainedEpochs = DefaultRetainedEpochs
	}
	return &Sweeper{opts: opts}
}

// Step handles one event and returns its effects. At most one read or
// transaction is in flight.
func (s *Sweeper) Step(now time.Time, ev SweepEvent) []SweepEffect {
	switch ev := ev.(type) {
	case SweepTick:
		if s.busy || now.Before(s.nextPageAt) {
			return nil
		}
		s.busy = true
		s.nextPageAt = now.Add(s.opts.PageInterval)
		return []SweepEffect{ReadEpoch{}}
	case EpochRow:
		return s.handleEpochRow(now, ev.Row)
	case Page:
		return s.handlePage(ev.Rows)
	case SweepCommitted, SweepFailed:
		s.busy = false
	}
	return nil
}

// handleEpochRow increments the epoch if it is due, and otherwise reads the next
// page.
func (s *Sweeper) handleEpochRow(now time.Time, row table.Row) []SweepEffect {
	if !s.epochKnown || row.Revision != s.epoch.Revision {
		s.epochKnown, s.epoch, s.epochSeenAt = true, row, now
	}
	if now.Sub(s.epochSeenAt) >= s.opts.EpochLength {
		next := decodeEpoch(row) + 1
		return []SweepEffect{SweepCommit{table.Txn{
			Conditions: []table.Condition{{Key: EpochKey, Revision: row.Revision}},
			Writes:     []table.Write{{Key: EpochKey, Value: encode(next)}},
		}}}
	}
	return []SweepEffect{ReadPage{Prefix: sweptPrefixes[s.prefixIndex], After: s.after, Limit: s.opts.PageLimit}}
}

// handlePage removes the rows of a page whose retention has ended.
func (s *Sweeper) handlePage(rows []table.Row) []SweepEffect {
	var txn table.Txn
	for _, row := range rows {
		if epoch, ok := s.rowEpoch(row); ok && epoch+s.opts.RetainedEpochs < decodeEpoch(s.epoch) {
			txn.Conditions = append(txn.Conditions, table.Condition{Key: row.Key, Revision: row.Revision})
			txn.Writes = append(txn.Writes, table.Write{Key: row.Key, Delete: true})
		}
	}
	s.advancePage(rows)
	if len(txn.Writes) == 0 {
		s.busy = false
		return nil
	}
	return []SweepEffect{SweepCommit{txn}}
}

// advancePage moves to the rows after the page, or to the next prefix after the
// last page.
func (s *Sweeper) advancePage(rows []table.Row) {
	if len(rows) == s.opts.PageLimit {
		s.after = rows[len(rows)-1].Key
		return
	}
	s.after = ""
	s.prefixIndex = (s.prefixIndex + 1) % len(sweptPrefixes)
}

// rowEpoch returns the epoch in which a row was written, or false if the row
// cannot be decoded.
func (s *Sweeper) rowEpoch(row table.Row) (uint64, bool) {
	if sweptPrefixes[s.prefixIndex] == rowPrefix {
		var rec Record
		err := json.Unmarshal(row.Value, &rec)
		return rec.Epoch, err == nil
	}
	var epoch uint64
	err := json.Unmarshal(row.Value, &epoch)
	return epoch, err == nil
}
