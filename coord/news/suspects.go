package news

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Suspect is the head of a group at which some node's requests make no
// progress: one of its VMs may be lost.
type Suspect struct {
	VM string
	// Age is the time since that was seen last.
	Age time.Duration
}

// suspectFor is how long a suspicion holds that nobody renews.
const suspectFor = time.Second

// Suspects holds what this node and others suspect. What is seen here or told
// by nodes that ask goes up, with this node's own questions, and down again
// with its answers; what comes down only goes down, so that nothing goes round.
type Suspects struct {
	up, down map[string]time.Time // when it was seen, by VM
}

// NewSuspects returns an empty set.
func NewSuspects() *Suspects {
	return &Suspects{up: make(map[string]time.Time), down: make(map[string]time.Time)}
}

// AddOwn notes suspicions of this node itself.
func (s *Suspects) AddOwn(now time.Time, vms []string) {
	for _, vm := range vms {
		s.up[vm] = now
	}
}

// AddFromRequest notes those of a node that asks.
func (s *Suspects) AddFromRequest(now time.Time, suspects []Suspect) { put(s.up, now, suspects) }

// AddFromAnswer notes those that a node told when it was asked.
func (s *Suspects) AddFromAnswer(now time.Time, suspects []Suspect) { put(s.down, now, suspects) }

func put(set map[string]time.Time, now time.Time, suspects []Suspect) {
	for _, x := range suspects {
		if at := now.Add(-x.Age); at.After(set[x.VM]) {
			set[x.VM] = at
		}
	}
}

// ForRequest returns what goes with a question.
func (s *Suspects) ForRequest(now time.Time) []Suspect {
	expire(s.up, now)
	return list(s.up, now)
}

// ForAnswer returns what goes with an answer.
func (s *Suspects) ForAnswer(now time.Time) []Suspect {
	expire(s.up, now)
	expire(s.down, now)
	all := maps.Clone(s.down)
	for vm, at := range s.up {
		if at.After(all[vm]) {
			all[vm] = at
		}
	}
	return list(all, now)
}

func expire(set map[string]time.Time, now time.Time) {
	maps.DeleteFunc(set, func(_ string, at time.Time) bool { return now.Sub(at) >= suspectFor })
}

func list(set map[string]time.Time, now time.Time) []Suspect {
	var out []Suspect
	for vm, at := range set {
		out = append(out, Suspect{VM: vm, Age: now.Sub(at)})
	}
	slices.SortFunc(out, func(a, b Suspect) int { return cmp.Or(strings.Compare(a.VM, b.VM), cmp.Compare(a.Age, b.Age)) })
	return out
}
