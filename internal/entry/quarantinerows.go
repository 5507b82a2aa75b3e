package entry

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/quarantine"
	"github.com/pimentoshore/pimentoshore/coord/updates"
)

// QuarantineStore keeps the rows of quarantined parts on the platform.
type QuarantineStore interface {
	// SaveQuarantine writes rows and removes those of other parts. After an error
	// it is unknown whether it did.
	SaveQuarantine(ctx context.Context, rows []quarantine.Row, removed []quarantine.Part) error
}

// Quarantine implements watch.Observer.
func (s *State) Quarantine(u updates.Quarantine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, wall := s.now(), time.Now()
	if u.Whole || s.savedQuarantine == nil {
		s.savedQuarantine = make(map[quarantine.Part]int64)
	}
	for _, row := range u.Rows {
		s.savedQuarantine[row.Part] = row.EndedMS
		if s.quarantine.ApplyRow(now, wall, row) {
			s.log.Warn("input quarantined", "part", row.Part.String(), "is_request", row.Part.IsRequest(), "endpoints", strings.Join(row.Ends, ","), "from", "platform")
		}
	}
	for _, p := range u.Removed {
		delete(s.savedQuarantine, p)
		if s.quarantine.Release(now, p) {
			s.logReleased([]quarantine.Part{p})
		}
	}
}

// unsavedQuarantine returns the rows that the platform lacks or has with an older
// end, and the parts whose rows are to be removed. It returns nothing until the
// rows have been read.
func (s *State) unsavedQuarantine() (rows []quarantine.Row, removed []quarantine.Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.savedQuarantine == nil {
		return nil, nil
	}
	current := make(map[quarantine.Part]bool)
	for _, row := range s.quarantine.Rows(s.now(), time.Now()) {
		current[row.Part] = true
		if saved, ok := s.savedQuarantine[row.Part]; !ok || row.EndedMS-saved > endedTolerance.Milliseconds() {
			rows = append(rows, row)
		}
	}
	for p := range s.savedQuarantine {
		if !current[p] {
			removed = append(removed, p)
		}
	}
	return rows, removed
}

// endedTolerance is the difference up to which a row's time of the newest end is
// not brought up to date.
const endedTolerance = time.Minute

// recordSavedQuarantine records the rows that the platform has now.
func (s *State) recordSavedQuarantine(rows []quarantine.Row, removed []quarantine.Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range rows {
		s.savedQuarantine[row.Part] = row.EndedMS
	}
	for _, p := range removed {
		delete(s.savedQuarantine, p)
	}
}

// QuarantineKeeper writes the quarantined parts of a state to the platform, on the
// node that reads there for the others.
type QuarantineKeeper struct {
	state *State
	store QuarantineStore
	// nextAt is the time of the next write at the earliest.
	nextAt  time.Time
	writing atomic.Bool
}

// NewQuarantineKeeper returns a keeper of the state's quarantined parts.
func NewQuarantineKeeper(state *State, store QuarantineStore) *QuarantineKeeper {
	return &QuarantineKeeper{state: state, store: store}
}

// minSaveInterval is the least time between writes of quarantined parts.
const minSaveInterval = time.Second

// Tick starts a write if there is something to write.
func (k *QuarantineKeeper) Tick(ctx context.Context) {
	now := k.state.now()
	if now.Before(k.nextAt) || k.writing.Load() {
		return
	}
	rows, removed := k.state.unsavedQuarantine()
	if len(rows)+len(removed) == 0 {
		return
	}
	k.nextAt = now.Add(minSaveInterval)
	k.writing.Store(true)
	go k.save(ctx, rows, removed)
}

func (k *QuarantineKeeper) save(ctx context.Context, rows []quarantine.Row, removed []quarantine.Part) {
	defer k.writing.Store(false)
	if err := k.store.SaveQuarantine(ctx, rows, removed); err != nil {
		k.state.log.Warn("quarantined parts not saved", "parts", len(rows), "removed", len(removed), "error", err)
		return
	}
	k.state.recordSavedQuarantine(rows, removed)
}
