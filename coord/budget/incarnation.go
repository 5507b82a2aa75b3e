package budget

import "time"

const (
	pastKept = 4
	// pastIgnored is how long late messages of a replaced incarnation are
	// told from news. Taking one for news afterwards only makes the endpoint
	// cold again.
	pastIgnored = 10 * time.Second
)

// incarnation follows the newest incarnation of an endpoint through messages
// that may arrive late.
type incarnation struct {
	current string
	past    [pastKept]pastIncarnation
	next    int
}

type pastIncarnation struct {
	name  string
	until time.Time
}

// replaced reports whether the name belongs to a recently replaced one.
func (i *incarnation) replaced(now time.Time, name string) bool {
	for _, p := range i.past {
		if p.name == name && now.Before(p.until) {
			return true
		}
	}
	return false
}

// see takes in a name read from a message and reports whether it is a new
// incarnation.
func (i *incarnation) see(now time.Time, name string) bool {
	if name == "" || name == i.current || i.replaced(now, name) {
		return false
	}
	if i.current != "" {
		i.past[i.next] = pastIncarnation{i.current, now.Add(pastIgnored)}
		i.next = (i.next + 1) % pastKept
	}
	i.current = name
	return true
}
