package config

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// history contains the newest changes, without gaps and in order of number, and
// the hash of each.
type history struct {
	changes []Change
	hashes  []uint64
}

// add appends a change and discards the oldest ones beyond limit.
func (h *history) add(c Change, limit int) {
	h.changes = append(h.changes, c)
	h.hashes = append(h.hashes, hashChange(c))
	if extra := len(h.changes) - limit; extra > 0 {
		h.changes = append([]Change(nil), h.changes[extra:]...)
		h.hashes = append([]uint64(nil), h.hashes[extra:]...)
	}
}

// since returns the changes with numbers above after. It returns false if some
// of them have been discarded.
func (h *history) since(after uint64) ([]Change, bool) {
	if len(h.changes) == 0 || h.changes[0].Number > after+1 {
		return nil, false
	}
	return h.changes[after+1-h.changes[0].Number:], true
}

// conflictsWith reports whether c differs from the retained change with the same
// number. It returns false if no such change is retained.
func (h *history) conflictsWith(c Change) bool {
	if len(h.changes) == 0 || c.Number < h.changes[0].Number {
		return false
	}
	i := c.Number - h.changes[0].Number
	return i < uint64(len(h.changes)) && h.hashes[i] != hashChange(c)
}

// hashChange returns a hash of the complete change, including its token.
func hashChange(c Change) uint64 {
	raw, err := json.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("config: cannot encode a change, although it consists of plain values: %v", err))
	}
	return xxhash.Sum64(raw)
}

// conflictKey identifies a conflict, so that the same one is not reported twice
// in a row.
type conflictKey struct {
	number uint64
	from   string
	token  string
}

// reportConflict returns a Conflict, unless it is the one reported last.
func (s *State) reportConflict(number uint64, from, token, message string) []Effect {
	key := conflictKey{number, from, token}
	if key == s.lastConflict {
		return nil
	}
	s.lastConflict = key
	err := problem.New(problem.ConfigConflict, message,
		"compare `pimentoshore history` with the node's status and restart the nodes that disagree with the platform")
	return []Effect{Conflict{Number: number, From: from, Err: err}}
}

// adopt applies changes, which must be in order of number. Changes that are
// already in force are only compared with the history. It stops at the first
// gap, conflict or invalid change.
func (s *State) adopt(now time.Time, from string, changes []Change) []Effect {
	before := s.current.Number
	var effects []Effect
	for _, c := range changes {
		if c.Number > s.current.Number+1 {
			break
		}
		if effects = s.adoptOne(from, c); effects != nil {
			break
		}
	}
	if s.current.Number == before {
		return effects
	}
	return append(effects, s.announce(now)...)
}

// adoptOne applies one change, whose number is at most one above the current
// one. It returns an effect only if the change conflicts or is invalid.
func (s *State) adoptOne(from string, c Change) []Effect {
	if c.Number <= s.current.Number {
		if !s.history.conflictsWith(c) {
			return nil
		}
		return s.reportConflict(c.Number, from, c.Token,
			fmt.Sprintf("two different changes have number %d", c.Number))
	}
	if c.Previous != s.current.Token {
		return s.reportConflict(c.Number, from, c.Token,
			fmt.Sprintf("change %d follows token %q but this node has %q", c.Number, c.Previous, s.current.Token))
	}
	doc, err := Apply(s.current.Document, c)
	if err != nil {
		return []Effect{Conflict{Number: c.Number, From: from, Err: err}}
	}
	s.current = Snapshot{Number: c.Number, Token: c.Token, Document: doc}
	s.history.add(c, s.opts.Retained)
	return nil
}

// adoptSnapshot replaces the configuration by a snapshot with a higher number
// and clears the history, which would otherwise have a gap.
func (s *State) adoptSnapshot(now time.Time, from string, next Snapshot) []Effect {
	if next.Number == s.current.Number && next.Token != s.current.Token {
		return s.reportConflict(next.Number, from, next.Token,
			fmt.Sprintf("two different changes have number %d", next.Number))
	}
	if next.Number <= s.current.Number {
		return nil
	}
	if faults := next.Document.Validate(); len(faults) > 0 {
		return []Effect{Conflict{Number: next.Number, From: from, Err: invalidError(next.Number, faults)}}
	}
	s.current = next
	s.history = history{}
	return s.announce(now)
}

// announce reports the adopted configuration to the embedding program and sends
// digests to some peers.
func (s *State) announce(now time.Time) []Effect {
	effects := []Effect{Adopted{Number: s.current.Number, Token: s.current.Token, Document: s.current.Document}}
	return append(effects, s.sendDigests(now)...)
}
