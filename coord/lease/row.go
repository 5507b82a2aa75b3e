package lease

import (
	"slices"
	"strings"
	"time"
)

// Key returns the key of a data centre's lease row. It is the prefix of the
// registrations' keys, so that one ordered read brings the row and then these.
func Key(dataCentre string) string {
	return "lease/" + dataCentre + "/"
}

// CandidateKey returns the key of one VM's registration.
func CandidateKey(dataCentre, vm string) string {
	return Key(dataCentre) + vm
}

// Candidate is an entry VM that may take the lease over. It is also the value
// of its registration row. The VM identifies it; a new incarnation of the VM
// stands for the old one, which is dead.
type Candidate struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	// Place and Address are where the other nodes find the process, empty if
	// they need not.
	Place   string `json:"place,omitempty"`
	Address string `json:"address,omitempty"`
}

// Registration is a registration row as read.
type Registration struct {
	Candidate
	Revision uint64
}

// Row is the value of a lease row.
type Row struct {
	// Term grows by one with each takeover and never falls.
	Term uint64 `json:"term"`
	// Holder and Incarnation identify the process that wrote the row.
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	// Duration is how long the holder keeps the lease after a renewal,
	// Promise the longest promise it asks for, and OrderTimeout the longest
	// time that one of its orders takes.
	Duration     time.Duration `json:"duration_ns"`
	Promise      time.Duration `json:"promise_ns"`
	OrderTimeout time.Duration `json:"order_timeout_ns"`
	// Renewal counts the writes within the term.
	Renewal uint64 `json:"renewal"`
	// Token is unique to each attempt to write the row.
	Token string `json:"token"`
	// Released says that the holder gave the lease up.
	Released bool `json:"released,omitempty"`
	// Candidates lists, by VM name, who may take over from this row. Only a
	// holder's renewal adds others to it; a takeover adds itself at most.
	Candidates []Candidate `json:"candidates"`
}

// wait returns how long a candidate must have seen the row unchanged before
// its holder's lease has certainly run out, on the holder's clock.
func (r *Row) wait() time.Duration {
	return max(r.Duration, r.Promise)
}

func (r *Row) lists(vm string) bool {
	return hasCandidate(r.Candidates, vm)
}

func (r *Row) writtenBy(c Candidate) bool {
	return r.Holder == c.VM && r.Incarnation == c.Incarnation
}

func hasCandidate(list []Candidate, vm string) bool {
	return slices.ContainsFunc(list, func(c Candidate) bool { return c.VM == vm })
}

// withCandidate returns a sorted copy of the list in which c replaces any
// other incarnation of its VM.
func withCandidate(list []Candidate, c Candidate) []Candidate {
	out := withoutCandidate(list, c.VM)
	out = append(out, c)
	slices.SortFunc(out, func(a, b Candidate) int { return strings.Compare(a.VM, b.VM) })
	return out
}

func withoutCandidate(list []Candidate, vm string) []Candidate {
	out := make([]Candidate, 0, len(list)+1)
	for _, c := range list {
		if c.VM != vm {
			out = append(out, c)
		}
	}
	return out
}
