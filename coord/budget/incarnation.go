package budget

import "time"

const (
	pastKept = 4
	// pastIgnored is the longest time that a report or answer may be under
	// way. For as long, a replaced incarnation is not taken for a new one,
	// and what was known of it is kept in case the change itself was caused
	// by a late message.
	pastIgnored = 10 * time.Second
)

// sighting says what a name in a message means.
type sighting int

const (
	current  sighting = iota // nothing new
	replaced                 // a late message, or the change before it was one
	changed                  // a new incarnation
)

// incarnation follows the newest incarnation of an endpoint through messages
// that may arrive late.
type incarnation struct {
	current string
	past    [pastKept]pastIncarnation
	next    int
	// settledAt is when no message of an earlier incarnation can arrive any
	// more.
	settledAt time.Time
}

type pastIncarnation struct {
	name  string
	until time.Time
}

// see takes in a name read from a message.
func (i *incarnation) see(now time.Time, name string) sighting {
	if name == "" || name == i.current {
		return current
	}
	for _, p := range i.past {
		if p.name == name && now.Before(p.until) {
			i.settledAt = now.Add(pastIgnored)
			return replaced
		}
	}
	if i.current != "" {
		i.past[i.next] = pastIncarnation{i.current, now.Add(pastIgnored)}
		i.next = (i.next + 1) % pastKept
		i.settledAt = now.Add(pastIgnored)
	}
	i.current = name
	return changed
}

// settled reports whether the current incarnation is certainly the newest of
// those seen.
func (i *incarnation) settled(now time.Time) bool { return !now.Before(i.settledAt) }
