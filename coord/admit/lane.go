package admit

import (
	"slices"
	"time"
)

// waiting is a queued request.
type waiting struct {
	Request
	sequence uint64
}

// before orders requests of one account: by priority, deadline and arrival.
func (w *waiting) before(o *waiting) bool {
	if w.Priority != o.Priority {
		return w.Priority > o.Priority
	}
	if !w.Deadline.Equal(o.Deadline) {
		return !w.Deadline.IsZero() && (o.Deadline.IsZero() || w.Deadline.Before(o.Deadline))
	}
	return w.sequence < o.sequence
}

// lane holds the waiting requests of one account for one target in the order
// in which they start.
type lane struct {
	account *account
	items   []waiting
	// served is the account's past use of the target divided by its weight.
	served float64
}

// position returns the place that the request takes among those waiting.
func (l *lane) position(w *waiting) int {
	return lowerBound(l.items, w)
}

func lowerBound(items []waiting, w *waiting) int {
	low, high := 0, len(items)
	for low < high {
		mid := (low + high) / 2
		if items[mid].before(w) {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

func (l *lane) insert(w waiting) {
	l.items = slices.Insert(l.items, l.position(&w), w)
}

func (l *lane) removeAt(i int) waiting {
	w := l.items[i]
	l.items = slices.Delete(l.items, i, i+1)
	return w
}

func (l *lane) remove(id ID) bool {
	i := slices.IndexFunc(l.items, func(w waiting) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	l.removeAt(i)
	return true
}

// late reports whether a request that starts at the time cannot be answered
// by its deadline.
func (w *waiting) late(start time.Time, service time.Duration) bool {
	return !w.Deadline.IsZero() && start.Add(service).After(w.Deadline)
}
