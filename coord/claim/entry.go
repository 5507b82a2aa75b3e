package claim

import (
	"container/heap"
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// stage is where a key stands on this node.
type stage int

const (
	claiming  stage = iota // not dispatched; waits for its row
	running                // dispatched
	settled                // outcome known, or known to be lost
	releasing              // certainly not sent and nobody waits
	following              // another node has the claim
	orphaned               // the issuer of the ticket is gone
)

// op is what the table does for an entry.
type op int

const (
	idle op = iota
	queued
	writing
	reading
)

type waiter struct {
	call  uint64
	first bool
}

// entry is one key in memory.
type entry struct {
	key         Key
	fingerprint string
	stage       stage
	waiters     []waiter
	asks        []uint64 // peers that wait for the outcome

	ticket bool // issued by this node and valid
	expiry time.Time

	token    string
	attempts int
	attempt  string
	runner   uint64
	sent     bool
	tried    int // waiting calls whose attempt was not sent

	final   Record // once settled
	marker  bool   // settles a claim of another node that is gone
	trimmed bool   // the body is only in the table

	seen    Record // the row of another claimant
	issuer  Node   // of an orphaned ticket
	rereads int

	op       op
	writes   Status // being written
	stored   Status // known to be in the row with the entry's token
	perhaps  bool   // a write with the token may be or get into the row
	revision uint64
	// lateRelease is the revision on which a lost write of Released is
	// conditioned; while the row is still at it, that write may yet land.
	lateRelease uint64
}

// holdsClaim reports whether the entry may dispatch under its row: the row
// names its token, and no earlier write of the entry can release it.
func (e *entry) holdsClaim() bool {
	return e.stored == Claimed && e.lateRelease != e.revision
}

// lostWrite notes that the answer to the write in flight was lost.
func (e *entry) lostWrite() {
	if e.writes == Released {
		e.lateRelease = e.revision
	}
}

func (s *State) newEntry(call Call) *entry {
	e := &entry{key: call.Key, fingerprint: call.Fingerprint, token: s.nextToken()}
	s.entries[call.Key] = e
	return e
}

func (s *State) wait(e *entry, call Call) {
	e.waiters = append(e.waiters, waiter{call.ID, call.First})
	s.callers[call.ID] = e
}

// drop forgets a key that the table, or nobody, knows all about.
func (s *State) drop(e *entry) {
	s.replyAll(e, Reply{Kind: ReplyNotFound})
	if s.entries[e.key] == e {
		delete(s.entries, e.key)
	}
}

// answerAll ends all waiting calls of a settled key.
func (s *State) answerAll(e *entry, rec Record) {
	for _, w := range s.takeWaiters(e) {
		s.answer(w, rec)
	}
}

func (s *State) answer(w waiter, rec Record) {
	if rec.Status == Finished {
		s.emit(Answer{Call: w.call, Outcome: rec.Outcome})
		return
	}
	err := outcomeUnknown("an earlier attempt was sent or may have been, and its outcome is lost")
	s.emit(Answer{Call: w.call, Err: err})
}

func (s *State) refuseAll(e *entry, certain bool, err *problem.Error) {
	for _, w := range s.takeWaiters(e) {
		s.refuse(w, certain, err)
	}
}

func (s *State) takeWaiters(e *entry) []waiter {
	waiters := e.waiters
	e.waiters = nil
	for _, w := range waiters {
		delete(s.callers, w.call)
	}
	return waiters
}

func (s *State) removeWaiter(e *entry, call uint64) bool {
	i := slices.IndexFunc(e.waiters, func(w waiter) bool { return w.call == call })
	if i < 0 {
		return false
	}
	e.waiters = slices.Delete(e.waiters, i, i+1)
	delete(s.callers, call)
	return true
}

func (s *State) cancelled(now time.Time, call uint64) {
	e, ok := s.callers[call]
	if !ok {
		return
	}
	s.removeWaiter(e, call)
	switch {
	case len(e.waiters) > 0:
	case e.stage == following || e.stage == orphaned:
		s.drop(e)
	default:
		s.advance(now, e)
	}
}

// expire forgets used tickets that are no longer valid.
func (s *State) expire(now time.Time) {
	for len(s.used) > 0 && !now.Before(s.used[0].expiry) {
		s.drop(heap.Pop(&s.used).(*entry))
	}
}

// expiryHeap holds used tickets, the one that expires first on top. Their
// records are in the table.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiry.Before(h[j].expiry) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds an entry.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*entry)) }

// Pop removes the last entry.
func (h *expiryHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
