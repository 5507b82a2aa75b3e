package updates

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// Round is one round of requests of a node that is one of so many that reads are
// spread out. It asks the first node that answers, and two others if that has old
// data. A node with old data does not count as failed, because it will soon know of
// the platform's return.
type Round struct {
	sources    *Sources
	candidates []Node
	// old is the number of nodes that have answered with old data.
	old int
}

// NewRound begins a round. hasFresh reports whether the node has fresh data. If not,
// nodes that have failed come last, because waiting for one that is dead would delay
// the news of the platform's return.
func (s *Sources) NewRound(now time.Time, platformUnreachable, hasFresh bool) *Round {
	r := &Round{sources: s, candidates: s.Candidates(now, platformUnreachable)}
	if !hasFresh {
		slices.SortStableFunc(r.candidates, func(a, b Node) int {
			return cmp.Compare(min(1, s.failures[a.VM].consecutive), min(1, s.failures[b.VM].consecutive))
		})
	}
	return r
}

// maxOldAnswers is the number of old answers that end a round.
const maxOldAnswers = 3

// Next returns the next node to ask, if there is one.
func (r *Round) Next() (n Node, ok bool) {
	if len(r.candidates) == 0 || r.old >= maxOldAnswers {
		return Node{}, false
	}
	i := 0
	switch r.old {
	case 0:
	case 1:
		i = max(0, r.sources.freshIndex(r.candidates))
	default:
		i = r.sources.search(len(r.candidates))
	}
	n = r.candidates[i]
	r.candidates = slices.Delete(r.candidates, i, i+1)
	return n, true
}

// RecordOld records that the last node, which is vm, answered with old data.
func (r *Round) RecordOld(vm string) {
	r.old++
	r.sources.Answered(vm)
	if r.sources.fresh == vm {
		r.sources.fresh = ""
	}
}

// RecordFresh records that a node answered with fresh data.
func (s *Sources) RecordFresh(vm string) { s.fresh = vm }

// freshIndex returns the index among candidates of the node that last had fresh data,
// or -1. Otherwise the next one in order is asked, which reads if the reader can't.
func (s *Sources) freshIndex(candidates []Node) int {
	return slices.IndexFunc(candidates, func(n Node) bool { return n.VM == s.fresh })
}

// search returns the index among n nodes of the third one to ask. Any of them may have
// read first, but those that come early in order do so sooner: each one is asked half
// as often as the one before it, and in every 16th round any of them in turn.
func (s *Sources) search(n int) int {
	s.rounds++
	if i := bits.TrailingZeros(uint(s.rounds)); i < 4 {
		return min(i, n-1)
	}
	return s.rounds / 16 % n
}
