package updates

import (
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

// NewRound begins a round.
func (s *Sources) NewRound(now time.Time, platformUnreachable bool) *Round {
	return &Round{sources: s, candidates: s.Candidates(now, platformUnreachable)}
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
