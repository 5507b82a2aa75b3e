package cloud

import (
	"maps"
	"slices"
)

// Snapshot is a copy of a store's contents.
type Snapshot struct {
	rows            map[string]Row
	history         []Row
	version, oldest uint64
	// written is the number of rows written by Put and Delete before the copy.
	written int
}

// Snapshot copies the store's contents.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{maps.Clone(s.rows), slices.Clone(s.history), s.version, s.oldest, len(s.written)}
}

// Restore puts the contents back to those of a snapshot and begins a new era. What
// was written since is lost, and its versions are given out again. Feeds from a
// version that the store no longer has are answered 410.
func (s *Store) Restore(from Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.history = maps.Clone(from.rows), slices.Clone(from.history)
	s.version, s.oldest = from.version, from.oldest
	s.era++
	s.restoredTo = from.version
	if s.lost.from == s.lost.to || from.written < s.lost.from {
		s.lost.from = from.written
	}
	s.lost.to = len(s.written)
	s.wake()
}

// Rewrite writes again, in order, what the operator and the VMs wrote and
// restores have undone. Rows that were written after the last restore keep their
// newer values.
func (s *Store) Rewrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	newer := make(map[string]bool)
	for _, r := range s.written[s.lost.to:] {
		newer[r.name()] = true
	}
	lost := s.written[s.lost.from:s.lost.to:s.lost.to]
	for _, r := range lost {
		if (r.Table == "op" || r.Table == "servers") && !newer[r.name()] {
			s.write(r)
		}
	}
	s.lost.from, s.lost.to = 0, 0
}
