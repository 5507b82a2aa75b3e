package updates

import (
	"cmp"
	"slices"
	"time"
)

// Round is one round of requests of a node that is one of so many that reads are
// spread out. It asks the first node that answers, and another one if that has old
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
const maxOldAnswers = 2

// Next returns the next node to ask, if there is one.
func (r *Round) Next() (n Node, ok bool) {
	if len(r.candidates) == 0 || r.old >= maxOldAnswers {
		return Node{}, false
	}
	i := 0
	if r.old > 0 {
		i = r.sources.second(len(r.candidates))
	}
	n = r.candidates[i]
	r.candidates = slices.Delete(r.candidates, i, i+1)
	return n, true
}

// RecordOld records that the last node answered with old data.
func (r *Round) RecordOld() { r.old++ }

// second returns the index among n nodes of the one to ask besides the first one that
// answers. Every second time it is the next one in order, which reads if the reader
// can't, and otherwise each one in turn, because any of them may have read first.
func (s *Sources) second(n int) int {
	s.rounds++
	if s.rounds%2 == 0 {
		return 0
	}
	return s.rounds / 2 % n
}
