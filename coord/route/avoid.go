package route

import (
	"container/heap"
	"time"
)

const (
	// maxFailures is the number of consecutive failures after which an
	// endpoint of this data centre is avoided. Other candidates are avoided
	// after the first failure; that of a node is always a broken connection
	// to it.
	maxFailures = 3
	// avoidInitial is how long a candidate is avoided at first. The time
	// doubles with each further failure, up to avoidMax.
	avoidInitial = time.Second
	avoidMax     = 30 * time.Second
	// avoidRefused is how long a candidate is avoided after it refused a
	// request because it was full.
	avoidRefused = 200 * time.Millisecond
)

// avoidQueue is a heap of avoided candidates, ordered by the time at which
// they become available again.
type avoidQueue []avoidEntry

// avoidEntry is a candidate to readmit at a time. Entries with the same time are
// ordered by sequence, which keeps the order deterministic.
type avoidEntry struct {
	at        time.Time
	sequence  uint64
	candidate *candidate
}

func (a avoidQueue) Len() int { return len(a) }
func (a avoidQueue) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].sequence < a[j].sequence
}
func (a avoidQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *avoidQueue) Push(x any) { *a = append(*a, x.(avoidEntry)) }

// Pop implements heap.Interface.
func (a *avoidQueue) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// avoid excludes a candidate from selection until the given time. A later end
// that is already set is kept.
func (t *Table) avoid(c *candidate, until time.Time) {
	if c.avoided && !c.retryAt.Before(until) {
		return
	}
	c.setAvoided(true)
	c.retryAt = until
	t.avoidSequence++
	heap.Push(&t.avoided, avoidEntry{until, t.avoidSequence, c})
	c.refresh()
}

// setAvoided sets c.avoided and updates the target's count of avoided
// candidates.
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

// tooManyAvoided reports whether at least half of the target's candidates are
// avoided already. Failures that are so common are unlikely to be caused by
// single endpoints, and avoiding more of them would only reduce capacity.
func (tg *target) tooManyAvoided() bool { return 2*tg.avoided >= tg.total }

// readmit makes candidates selectable again when their avoidance has expired.
func (t *Table) readmit(now time.Time) {
	for len(t.avoided) > 0 && !t.avoided[0].at.After(now) {
		c := heap.Pop(&t.avoided).(avoidEntry).candidate
		if c.avoided && !c.retryAt.After(now) {
			c.setAvoided(false)
			c.refresh()
		}
	}
}

// failureLimit returns the number of consecutive failures after which the
// candidate is avoided.
func (c *candidate) failureLimit() int {
	if c.tier == local {
		return maxFailures
	}
	return 1
}

// backoff returns how long to avoid a candidate that has failed further times
// beyond its failure limit.
func backoff(further int) time.Duration {
	delay := avoidInitial
	for range further {
		delay *= 2
		if delay >= avoidMax {
			return avoidMax
		}
	}
	return delay
}
