package claim

import (
	"cmp"
	"encoding/json"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/table"
)

// SweepOptions configures a Sweeper. Zero fields take the defaults.
type SweepOptions struct {
	// EpochLength is the least time between two advances of the epoch.
	EpochLength time.Duration
	// RetainedEpochs is the number of whole epochs that a row outlives.
	RetainedEpochs uint64
	// PageLimit is the number of rows read and removed at once.
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
// with a plain key is a new call; one with a ticket is refused, as its ticket
// has expired long before.
//
// Time is counted in epochs, a number in the table that a sweeper raises only
// after it has seen it unchanged for EpochLength on its own clock. Several
// sweepers, lost answers and restarts can only lengthen an epoch, so rows are
// never removed early. Every write of a claim is conditioned on the epoch
// that it records.
type Sweeper struct {
	opts   SweepOptions
	epoch  table.Row
	seenAt time.Time
	known  bool
	busy   bool
	nextAt time.Time
	after  string // last row of the page before
	prefix int    // index into sweptPrefixes
}

var sweptPrefixes = []string{rowPrefix, issuerPrefix}

// SweepEvent is an input of Sweeper.Step.
type SweepEvent interface{ sweepEvent() }

// Events of a Sweeper.
type (
	// SweepTick runs the timers.
	SweepTick struct{}
	// EpochRow answers ReadEpoch.
	EpochRow struct{ Row table.Row }
	// Page answers ReadPage with rows in order of key.
	Page struct{ Rows []table.Row }
	// SweepCommitted answers SweepCommit. The outcome is not needed: whatever
	// was not removed is found again.
	SweepCommitted struct{}
	// SweepFailed says that a read failed.
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
	// ReadEpoch asks for the row EpochKey.
	ReadEpoch struct{}
	// ReadPage asks for rows by prefix after a key.
	ReadPage struct {
		Prefix, After string
		Limit         int
	}
	// SweepCommit asks for one attempt at a transaction.
	SweepCommit struct{ Txn table.Txn }
)

func (ReadEpoch) sweepEffect()   {}
func (ReadPage) sweepEffect()    {}
func (SweepCommit) sweepEffect() {}

// NewSweeper returns a Sweeper. One or a few nodes should run one.
func NewSweeper(opts SweepOptions) *Sweeper {
	opts.EpochLength = cmp.Or(opts.EpochLength, DefaultEpochLength)
	opts.PageLimit = cmp.Or(opts.PageLimit, DefaultPageLimit)
	opts.PageInterval = cmp.Or(opts.PageInterval, DefaultPageInterval)
	if opts.RetainedEpochs == 0 {
		opts.RetainedEpochs = DefaultRetainedEpochs
	}
	return &Sweeper{opts: opts}
}

// Step handles one event. At most one read or transaction is under way.
func (s *Sweeper) Step(now time.Time, ev SweepEvent) []SweepEffect {
	switch ev := ev.(type) {
	case SweepTick:
		if s.busy || now.Before(s.nextAt) {
			return nil
		}
		s.busy = true
		s.nextAt = now.Add(s.opts.PageInterval)
		return []SweepEffect{ReadEpoch{}}
	case EpochRow:
		return s.epochRow(now, ev.Row)
	case Page:
		return s.page(ev.Rows)
	case SweepCommitted, SweepFailed:
		s.busy = false
	}
	return nil
}

func (s *Sweeper) epochRow(now time.Time, row table.Row) []SweepEffect {
	if !s.known || row.Revision != s.epoch.Revision {
		s.known, s.epoch, s.seenAt = true, row, now
	}
	if now.Sub(s.seenAt) >= s.opts.EpochLength {
		next := decodeEpoch(row) + 1
		return []SweepEffect{SweepCommit{table.Txn{
			Conditions: []table.Condition{{Key: EpochKey, Revision: row.Revision}},
			Writes:     []table.Write{{Key: EpochKey, Value: encode(next)}},
		}}}
	}
	return []SweepEffect{ReadPage{Prefix: sweptPrefixes[s.prefix], After: s.after, Limit: s.opts.PageLimit}}
}

func (s *Sweeper) page(rows []table.Row) []SweepEffect {
	var txn table.Txn
	for _, row := range rows {
		if epoch, ok := s.writtenIn(row); ok && epoch+s.opts.RetainedEpochs < decodeEpoch(s.epoch) {
			txn.Conditions = append(txn.Conditions, table.Condition{Key: row.Key, Revision: row.Revision})
			txn.Writes = append(txn.Writes, table.Write{Key: row.Key, Delete: true})
		}
	}
	s.turnPage(rows)
	if len(txn.Writes) == 0 {
		s.busy = false
		return nil
	}
	return []SweepEffect{SweepCommit{txn}}
}

// turnPage goes on after the last row, or with the next prefix.
func (s *Sweeper) turnPage(rows []table.Row) {
	if len(rows) == s.opts.PageLimit {
		s.after = rows[len(rows)-1].Key
		return
	}
	s.after = ""
	s.prefix = (s.prefix + 1) % len(sweptPrefixes)
}

// writtenIn returns the epoch in which a row was written.
func (s *Sweeper) writtenIn(row table.Row) (uint64, bool) {
	if sweptPrefixes[s.prefix] == rowPrefix {
		var rec Record
		err := json.Unmarshal(row.Value, &rec)
		return rec.Epoch, err == nil
	}
	var epoch uint64
	err := json.Unmarshal(row.Value, &epoch)
	return epoch, err == nil
}
