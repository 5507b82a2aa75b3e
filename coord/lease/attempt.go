package lease

import (
	"slices"
	"time"
)

// attempt is a write of the lease row whose outcome is not yet known.
type attempt struct {
	row        Row
	revision   uint64 // revision of the row that the write is conditional on
	sentAt     time.Time
	answerLost bool // the answer was lost, so the write may still take effect
	// firstRead is the ID of the first read sent after the answer was lost.
	firstRead uint64
}

// attempts contains the writes that may still take effect. All have the same
// condition, so at most one of them does.
type attempts struct {
	list []attempt
}

func (as *attempts) hasUnsettled() bool {
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

// markLost marks an attempt whose answer was lost.
func (as *attempts) markLost(token string, nextRead uint64) {
	if i := as.index(token); i >= 0 {
		as.list[i].answerLost = true
		as.list[i].firstRead = nextRead
	}
}

// isReadBack reports whether a read shows the row after each attempt's answer
// was lost.
func (as *attempts) isReadBack(read uint64) bool {
	for _, a := range as.list {
		if !a.answerLost || read < a.firstRead {
			return false
		}
	}
	return true
}

// merge combines the attempts sent before the given time into one that lists
// the candidates of all, which bounds memory use while answers are being lost.
// A dropped attempt grants no lease if it still takes effect; the row's holder
// identifies it as this node's write.
func (as *attempts) merge(before time.Time) {
	for len(as.list) > 1 && as.list[1].sentAt.Before(before) && as.list[1].answerLost {
		old := as.list[0]
		as.list = as.list[1:]
		for _, c := range old.row.Candidates {
			if !hasCandidate(as.list[0].row.Candidates, c.VM) {
				as.list[0].row.Candidates = withCandidate(as.list[0].row.Candidates, c)
			}
		}
	}
}
