package route

import (
	"container/heap"
	"time"
)

const (
	// maxFailures is the number of failures in a row from which a candidate
	// is avoided.
	maxFailures = 3
	// avoidBase is how long a candidate is avoided first; it doubles with
	// each further failure.
	avoidBase = time.Second
	avoidMax  = 30 * time.Second
	// avoidFull is how long a candidate that refused for want of room is
	// avoided.
	avoidFull = 200 * time.Millisecond
)

// avoidance orders avoided candidates by when they are tried again.
type avoidance []avoidedUntil

type avoidedUntil struct {
	at        time.Time
	sequence  uint64
	candidate *candidate
}

func (a avoidance) Len() int { return len(a) }
func (a avoidance) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].sequence < a[j].sequence
}
func (a avoidance) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *avoidance) Push(x any) { *a = append(*a, x.(avoidedUntil)) }

// Pop implements heap.Interface.
func (a *avoidance) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// avoid takes a candidate out of choice for a while.
func (t *Table) avoid(c *candidate, until time.Time) {
	if c.avoided && !c.retryAt.Before(until) {
		return
	}
	c.setAvoided(true)
	c.retryAt = until
	t.avoidSequence++
	heap.Push(&t.avoided, avoidedUntil{until, t.avoidSequence, c})
	c.refresh()
}

// setAvoided keeps the target's count of avoided candidates.
func (c *candidate) setAvoided(avoided bool) {
	if c.avoided == avoided {
		return
	}
	c.avoided = avoided
	if avoided {
		c.target.avoided++
	} else {
		c.target.avoided--
	}
}

// mostAvoided reports whether half of the target's candidates are avoided
// already. Failures that are so common are not the endpoints' own, and
// avoiding more of them would only lose capacity.
func (tg *target) mostAvoided() bool { return 2*tg.avoided >= tg.known }

// readmit ends the avoidance of candidates whose time has come.
func (t *Table) readmit(now time.Time) {
	for len(t.avoided) > 0 && !t.avoided[0].at.After(now) {
		c := heap.Pop(&t.avoided).(avoidedUntil).candidate
		if c.avoided && !c.retryAt.After(now) {
			c.setAvoided(false)
			c.refresh()
		}
	}
}

// failureDelay returns how long to avoid a candidate after further failures.
func failureDelay(further int) time.Duration {
	delay := avoidBase
	for range further {
		delay *= 2
		if delay >= avoidMax {
			return avoidMax
		}
	}
	return delay
}
