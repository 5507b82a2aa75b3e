package config

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// history holds the newest changes, contiguous and in order of number.
type history struct {
	changes []Change
	sums    []uint64
}

func (h *history) add(c Change, limit int) {
	h.changes = append(h.changes, c)
	h.sums = append(h.sums, sum(c))
	if extra := len(h.changes) - limit; extra > 0 {
		h.changes = append([]Change(nil), h.changes[extra:]...)
		h.sums = append([]uint64(nil), h.sums[extra:]...)
	}
}

// since returns the changes after a number, and whether they are all there.
func (h *history) since(after uint64) ([]Change, bool) {
	if len(h.changes) == 0 || h.changes[0].Number > after+1 {
		return nil, false
	}
	return h.changes[after+1-h.changes[0].Number:], true
}

// disagrees reports whether c is another change than the kept one of its number.
func (h *history) disagrees(c Change) bool {
	if len(h.changes) == 0 || c.Number < h.changes[0].Number {
		return false
	}
	i := c.Number - h.changes[0].Number
	return i < uint64(len(h.changes)) && h.sums[i] != sum(c)
}

// sum digests a whole change, its token included.
func sum(c Change) uint64 {
	raw, err := json.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("config: a change holds only plain values: %v", err))
	}
	return xxhash.Sum64(raw)
}

// conflictKey identifies a reported conflict, so that each is reported once.
type conflictKey struct {
	number uint64
	from   string
	token  string
}

func (s *State) conflict(number uint64, from, token, message string) []Effect {
	key := conflictKey{number, from, token}
	if key == s.reported {
		return nil
	}
	s.reported = key
	err := problem.New(problem.ConfigConflict, message,
		"compare `pimentoshore history` with the node's status and restart the nodes that disagree with the platform")
	return []Effect{Conflict{Number: number, From: from, Err: err}}
}

// adopt takes the next changes in turn. Changes already in force are only
// compared; a gap ends it.
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

func (s *State) adoptOne(from string, c Change) []Effect {
	if c.Number <= s.current.Number {
		if !s.log.disagrees(c) {
			return nil
		}
		return s.conflict(c.Number, from, c.Token,
			fmt.Sprintf("two different changes have number %d", c.Number))
	}
	if c.Previous != s.current.Token {
		return s.conflict(c.Number, from, c.Token,
			fmt.Sprintf("change %d follows token %q but this node has %q", c.Number, c.Previous, s.current.Token))
	}
	doc, err := Apply(s.current.Document, c)
	if err != nil {
		return []Effect{Conflict{Number: c.Number, From: from, Err: err}}
	}
	s.current = Snapshot{Number: c.Number, Token: c.Token, Document: doc}
	s.log.add(c, s.opts.Retained)
	return nil
}

func (s *State) adoptSnapshot(now time.Time, from string, next Snapshot) []Effect {
	if next.Number == s.current.Number && next.Token != s.current.Token {
		return s.conflict(next.Number, from, next.Token,
			fmt.Sprintf("two different changes have number %d", next.Number))
	}
	if next.Number <= s.current.Number {
		return nil
	}
	if faults := next.Document.Validate(); len(faults) > 0 {
		return []Effect{Conflict{Number: next.Number, From: from, Err: invalid(next.Number, faults)}}
	}
	s.current = next
	s.log = history{}
	return s.announce(now)
}

// announce reports the new configuration and tells some peers.
func (s *State) announce(now time.Time) []Effect {
	effects := []Effect{Adopted{Number: s.current.Number, Token: s.current.Token, Document: s.current.Document}}
	return append(effects, s.tellSome(now)...)
}
