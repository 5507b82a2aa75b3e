package updates

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Suspect is the head of a group at which some node's requests make no
// progress: one of the group's VMs may be lost.
type Suspect struct {
	VM string
	// Age is the time since this was last observed.
	Age time.Duration
}

// suspectTTL is how long a suspicion lasts unless it is renewed.
const suspectTTL = time.Second

// Suspects holds the suspects reported by this node and by others. Those that this
// node or its requesters have observed are sent in this node's own requests and in
// its answers. Those received in answers are sent only in answers, so that no
// suspicion circulates between nodes.
type Suspects struct {
	// requestSet is sent in requests and answers, answerSet in answers only.
	// They contain the time of the last observation, by VM.
	requestSet, answerSet map[string]time.Time
}

// NewSuspects returns an empty set.
func NewSuspects() *Suspects {
	return &Suspects{requestSet: make(map[string]time.Time), answerSet: make(map[string]time.Time)}
}

// AddOwn adds suspects that this node has observed itself.
func (s *Suspects) AddOwn(now time.Time, vms []string) {
	for _, vm := range vms {
		s.requestSet[vm] = now
	}
}

// AddFromRequest adds the suspects in another node's request.
func (s *Suspects) AddFromRequest(now time.Time, suspects []Suspect) {
	merge(s.requestSet, now, suspects)
}

// AddFromAnswer adds the suspects in another node's answer.
func (s *Suspects) AddFromAnswer(now time.Time, suspects []Suspect) {
	merge(s.answerSet, now, suspects)
}

func merge(set map[string]time.Time, now time.Time, suspects []Suspect) {
	for _, x := range suspects {
		if at := now.Add(-x.Age); at.After(set[x.VM]) {
			set[x.VM] = at
		}
	}
}

// ForRequest returns the suspects to send in a request.
func (s *Suspects) ForRequest(now time.Time) []Suspect {
	expire(s.requestSet, now)
	return list(s.requestSet, now)
}

// ForAnswer returns the suspects to send in an answer.
func (s *Suspects) ForAnswer(now time.Time) []Suspect {
	expire(s.requestSet, now)
	expire(s.answerSet, now)
	all := maps.Clone(s.answerSet)
	for vm, at := range s.requestSet {
		if at.After(all[vm]) {
			all[vm] = at
		}
	}
	return list(all, now)
}

func expire(set map[string]time.Time, now time.Time) {
	maps.DeleteFunc(set, func(_ string, at time.Time) bool { return now.Sub(at) >= suspectTTL })
}

func list(set map[string]time.Time, now time.Time) []Suspect {
	var out []Suspect
	for vm, at := range set {
		out = append(out, Suspect{VM: vm, Age: now.Sub(at)})
	}
	slices.SortFunc(out, func(a, b Suspect) int { return cmp.Or(strings.Compare(a.VM, b.VM), cmp.Compare(a.Age, b.Age)) })
	return out
}
