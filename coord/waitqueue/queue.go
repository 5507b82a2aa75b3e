package waitqueue

import (
	"cmp"
	"slices"
	"time"
)

// MaxWaiting bounds the waiters of a queue. It covers the requests that arrive at a
// node in the longest wait, about half a second, at 500 requests a second.
const MaxWaiting = 256

// Waiter is a request that waits.
type Waiter[T any] struct {
	// Rank is how urgent it is; 0 goes first.
	Rank    int
	Account string
	// Until is when it leaves unserved.
	Until time.Time
	// Alike is whether other waiters of the same rank that are Alike are refused for
	// the same reasons.
	Alike bool
	Value T

	// served is the work of the account, and place the rank or -1, set by sort.
	served float64
	place  int
}

// Verdict is the result of an attempt to serve a waiter.
type Verdict int

// Verdicts.
const (
	// Served waiters leave the queue and count as work of their account.
	Served Verdict = iota + 1
	// Refused waiters stay.
	Refused
	// Ended waiters leave the queue unserved.
	Ended
)

// Queue contains the waiters for one model. The zero value is empty.
type Queue[T any] struct {
	waiters []*Waiter[T]
	// ranAt is the time of the last Run.
	ranAt time.Time
	// Overdue reports whether one request of a rank goes before all others, because
	// the rank has got nothing for long. It may be nil.
	Overdue func(now time.Time, rank int) bool
}

// Len returns the number of waiters.
func (q *Queue[T]) Len() int { return len(q.waiters) }

// Due reports whether the last Run was at least d ago.
func (q *Queue[T]) Due(now time.Time, d time.Duration) bool { return now.Sub(q.ranAt) >= d }

// Add adds a waiter. If there are too many, it returns the one that goes last, which
// has left the queue and may be the added one; otherwise nil.
func (q *Queue[T]) Add(now time.Time, w *Waiter[T], shares *Shares) (displaced *Waiter[T]) {
	q.waiters = append(q.waiters, w)
	if len(q.waiters) <= MaxWaiting {
		return nil
	}
	q.sort(now, shares)
	last := len(q.waiters) - 1
	displaced, q.waiters[last] = q.waiters[last], nil
	q.waiters = q.waiters[:last]
	return displaced
}

// Remove removes a waiter. It reports whether the queue contained it.
func (q *Queue[T]) Remove(w *Waiter[T]) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}

// Run tries to serve the waiters in their order, each at most once. Waiters whose
// time is over are not tried; they stay until they are removed. Once a waiter is
// refused, others that are refused alike are passed over.
func (q *Queue[T]) Run(now time.Time, shares *Shares, try func(*Waiter[T]) Verdict) {
	q.ranAt = now
	q.sort(now, shares)
	pending := q.waiters
	kept := make([]*Waiter[T], 0, len(pending))
	refusedRank, refused := 0, false
	for len(pending) > 0 {
		w := pending[0]
		pending = pending[1:]
		if !now.Before(w.Until) || refused && w.Alike && w.Rank == refusedRank {
			kept = append(kept, w)
			continue
		}
		switch try(w) {
		case Served:
			q.sortWaiters(now, pending, shares) // its account has more work, and its rank isn't overdue any more
		case Refused:
			kept = append(kept, w)
			if w.Alike {
				refusedRank, refused = w.Rank, true
			}
		}
	}
	clear(q.waiters)
	q.waiters = kept
}

func (q *Queue[T]) sort(now time.Time, shares *Shares) { q.sortWaiters(now, q.waiters, shares) }

// sortWaiters sorts waiters by the order in which they are served.
func (q *Queue[T]) sortWaiters(now time.Time, waiters []*Waiter[T], shares *Shares) {
	overdue := make(map[int]bool)
	for _, w := range waiters {
		w.served, w.place = shares.Served(now, w.Account), w.Rank
		if q.Overdue == nil {
			continue
		}
		is, known := overdue[w.Rank]
		if !known {
			is = q.Overdue(now, w.Rank)
			overdue[w.Rank] = is
		}
		if is {
			w.place = -1
		}
	}
	slices.SortStableFunc(waiters, func(a, b *Waiter[T]) int {
		return cmp.Or(cmp.Compare(a.place, b.place), cmp.Compare(a.served, b.served), a.Until.Compare(b.Until))
	})
}
