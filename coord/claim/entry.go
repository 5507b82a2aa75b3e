package claim

import (
	"container/heap"
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// stage is the state of a key on this node.
type stage int

const (
	claiming  stage = iota // not dispatched; waits for the row to be written
	running                // dispatched
	settled                // the outcome is known, or was lost
	releasing              // certainly not sent, and no caller waits
	following              // another node holds the claim; waits for its reply
	orphaned               // the ticket has expired or its issuer has ended; waits for its row
)

// op is the table operation that is pending for an entry.
type op int

const (
	idle op = iota
	queued
	writing
	reading
)

// waiter is a call that waits for its answer.
type waiter struct {
	call  uint64
	first bool // Call.First
}

// entry is the state of one key in memory.
type entry struct {
	key          Key
	fingerprint  string
	stage        stage
	waiters      []waiter
	peerRequests []uint64 // IDs of the peers' requests that wait for the outcome

	ticket bool // issued by this node and valid
	expiry time.Time

	token          string
	attemptCount   int
	attemptID      string
	dispatchedCall uint64
	sent           bool
	notSentCount   int // attempts not sent since the waiting calls were last refused

	final     Record // set once settled
	abandoned bool   // the claim was made by another node, which has ended
	trimmed   bool   // the response body is stored only in the table

	foreign     Record // record of another claimant, set while following
	issuer      Node   // issuer of an orphaned ticket
	rereadCount int    // rereads after replies of the claimant, at most maxRereads

	op            op
	pendingStatus Status // status in the write in flight
	stored        Status // status that the row has under the entry's token, if known
	mayBeStored   bool   // a write with the token may have been applied or may still be applied
	revision      uint64
	// lateRelease is the revision in the condition of a write of Released whose
	// answer was lost. While the row is at this revision, the write may still
	// be applied.
	lateRelease uint64
}

// holdsClaim reports whether the row allows the entry to dispatch: it is claimed
// under the entry's token, and no earlier write of the entry can still release
// it.
func (e *entry) holdsClaim() bool {
	return e.stored == Claimed && e.lateRelease != e.revision
}

// recordLostWrite records that the answer to the write in flight was lost.
func (e *entry) recordLostWrite() {
	if e.pendingStatus == Released {
		e.lateRelease = e.revision
	}
}

func (s *State) newEntry(call Call) *entry {
	e := &entry{key: call.Key, fingerprint: call.Fingerprint, token: s.nextToken()}
	s.entries[call.Key] = e
	return e
}

// addWaiter adds a call to the waiting list of an entry.
func (s *State) addWaiter(e *entry, call Call) {
	e.waiters = append(e.waiters, waiter{call.ID, call.First})
	s.callers[call.ID] = e
}

// drop removes a key from memory. Its state is in the table or is no longer
// needed.
func (s *State) drop(e *entry) {
	s.replyAll(e, Reply{Kind: ReplyNotFound})
	if s.entries[e.key] == e {
		delete(s.entries, e.key)
	}
}

// answerAll answers all waiting calls with the record of a settled key.
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
	err := outcomeUnknownError("an earlier attempt was sent or may have been, and its outcome is lost")
	s.emit(Answer{Call: w.call, Err: err})
}

// refuseAll refuses all waiting calls. See refuse for the meaning of certain.
func (s *State) refuseAll(e *entry, certain bool, err *problem.Error) {
	for _, w := range s.takeWaiters(e) {
		s.refuse(w, certain, err)
	}
}

// takeWaiters removes and returns all waiting calls of an entry.
func (s *State) takeWaiters(e *entry) []waiter {
	waiters := e.waiters
	e.waiters = nil
	for _, w := range waiters {
		delete(s.callers, w.call)
	}
	return waiters
}

// removeWaiter removes one call from the waiting list and reports whether it was
// there.
func (s *State) removeWaiter(e *entry, call uint64) bool {
	i := slices.IndexFunc(e.waiters, func(w waiter) bool { return w.call == call })
	if i < 0 {
		return false
	}
	e.waiters = slices.Delete(e.waiters, i, i+1)
	delete(s.callers, call)
	return true
}

func (s *State) handleCancelled(now time.Time, call uint64) {
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

// expireTickets removes used tickets that have expired from memory.
func (s *State) expireTickets(now time.Time) {
	for len(s.usedTickets) > 0 && !now.Before(s.usedTickets[0].expiry) {
		s.drop(heap.Pop(&s.usedTickets).(*entry))
	}
}

// expiryHeap is a min-heap of used tickets by expiry. Their records are in the
// table.
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
