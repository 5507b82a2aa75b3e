package lease

import (
	"slices"
	"time"
)

// attempt is a write of the lease row whose fate is not known.
type attempt struct {
	row      Row
	revision uint64 // condition of the write
	sentAt   time.Time
	answered bool // the answer was lost; the write may still take effect
	// readFrom is the first read that was sent after the answer was lost.
	readFrom uint64
}

// attempts holds the writes that may still take effect. All have the same
// condition, so at most one of them does.
type attempts struct {
	list []attempt
}

func (as *attempts) unsettled() bool {
	return len(as.list) > 0
}

func (as *attempts) find(token string) (attempt, bool) {
	i := as.index(token)
	if i < 0 {
		return attempt{}, false
	}
	return as.list[i], true
}

func (as *attempts) index(token string) int {
	return slices.IndexFunc(as.list, func(a attempt) bool { return a.row.Token == token })
}

func (as *attempts) drop(token string) {
	if i := as.index(token); i >= 0 {
		as.list = slices.Delete(as.list, i, i+1)
	}
}

// dropBefore drops the attempts that can no longer take effect because the
// row has reached a revision beyond their condition.
func (as *attempts) dropBefore(revision uint64) {
	as.list = slices.DeleteFunc(as.list, func(a attempt) bool { return a.revision < revision })
}

// lost marks an attempt whose answer was lost.
func (as *attempts) lost(token string, nextRead uint64) {
	if i := as.index(token); i >= 0 {
		as.list[i].answered = true
		as.list[i].readFrom = nextRead
	}
}

// readBack reports whether a read shows the row after each attempt's answer
// was lost.
func (as *attempts) readBack(read uint64) bool {
	for _, a := range as.list {
		if !a.answered || read < a.readFrom {
			return false
		}
	}
	return true
}

// merge folds attempts sent before a time into one that lists all their
// candidates, so that a long loss of answers takes no more memory. Such an
// attempt grants no lease when it takes effect; the row's holder tells it.
func (as *attempts) merge(before time.Time) {
	for len(as.list) > 1 && as.list[1].sentAt.Before(before) && as.list[1].answered {
		old := as.list[0]
		as.list = as.list[1:]
		for _, c := range old.row.Candidates {
			if !hasCandidate(as.list[0].row.Candidates, c.VM) {
				as.list[0].row.Candidates = withCandidate(as.list[0].row.Candidates, c)
			}
		}
	}
}
