package admit

import (
	"slices"
	"time"
)

// queuedRequest is a request with the sequence number of its arrival.
type queuedRequest struct {
	Request
	sequence uint64
}

// before orders requests of one account: by priority, deadline and arrival.
func (w *queuedRequest) before(o *queuedRequest) bool {
	if w.Priority != o.Priority {
		return w.Priority > o.Priority
	}
	if !w.Deadline.Equal(o.Deadline) {
		return !w.Deadline.IsZero() && (o.Deadline.IsZero() || w.Deadline.Before(o.Deadline))
	}
	return w.sequence < o.sequence
}

// lane is the queue of one account for one target, in the order in which its
// requests will start.
type lane struct {
	account *account
	items   []queuedRequest
	// virtualTime is the account's past use of the target divided by its
	// weight.
	virtualTime float64
}

// position returns the index at which the request belongs among those waiting.
func (l *lane) position(w *queuedRequest) int {
	return lowerBound(l.items, w)
}

// lowerBound returns the index of the first item that does not start before w.
func lowerBound(items []queuedRequest, w *queuedRequest) int {
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

func (l *lane) insert(w queuedRequest) {
	l.items = slices.Insert(l.items, l.position(&w), w)
}

func (l *lane) removeAt(i int) queuedRequest {
	w := l.items[i]
	l.items = slices.Delete(l.items, i, i+1)
	return w
}

func (l *lane) remove(id ID) bool {
	i := slices.IndexFunc(l.items, func(w queuedRequest) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	l.removeAt(i)
	return true
}

// missesDeadline reports whether a request that starts at the given time cannot
// be answered by its deadline.
func (w *queuedRequest) missesDeadline(start time.Time, service time.Duration) bool {
	return !w.Deadline.IsZero() && start.Add(service).After(w.Deadline)
}
