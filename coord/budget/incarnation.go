package budget

import "time"

const (
	maxPastIncarnations = 4
	// maxMessageAge is the longest time that a report or answer may be in
	// transit. For that long, a replaced incarnation is not taken for a new
	// one, and its state is kept in case a late message caused the change.
	maxMessageAge = 10 * time.Second
)

// nameStatus classifies an incarnation name read from a message.
type nameStatus int

const (
	nameCurrent  nameStatus = iota // the current incarnation, or no name
	nameReplaced                   // an earlier incarnation: this message is late, or the one that replaced it was
	nameNew                        // a new incarnation
)

// incarnation tracks the newest incarnation of an endpoint from messages that
// may arrive late.
type incarnation struct {
	current string
	past    [maxPastIncarnations]pastIncarnation
	next    int
	// settledAt is the time from which no message of an earlier incarnation
	// can arrive.
	settledAt time.Time
}

type pastIncarnation struct {
	name  string
	until time.Time
}

// observe processes an incarnation name read from a message.
func (i *incarnation) observe(now time.Time, name string) nameStatus {
	if name == "" || name == i.current {
		return nameCurrent
	}
	for _, p := range i.past {
		if p.name == name && now.Before(p.until) {
			i.settledAt = now.Add(maxMessageAge)
			return nameReplaced
		}
	}
	if i.current != "" {
		i.past[i.next] = pastIncarnation{i.current, now.Add(maxMessageAge)}
		i.next = (i.next + 1) % maxPastIncarnations
		i.settledAt = now.Add(maxMessageAge)
	}
	i.current = name
	return nameNew
}

// isSettled reports whether the current incarnation is certainly the newest of
// those seen.
func (i *incarnation) isSettled(now time.Time) bool { return !now.Before(i.settledAt) }
