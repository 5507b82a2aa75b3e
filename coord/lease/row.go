package lease

import (
	"slices"
	"strings"
	"time"
)

// Key returns the key of a data centre's lease row. It is the prefix of the
// registrations' keys, so that one ordered read returns the row followed by the
// registrations.
func Key(dataCentre string) string {
	return "lease/" + dataCentre + "/"
}

// CandidateKey returns the key of one VM's registration.
func CandidateKey(dataCentre, vm string) string {
	return Key(dataCentre) + vm
}

// Candidate is an entry VM that may take over the lease. It is also the value
// of its registration row. It is identified by its VM; a new incarnation of the
// VM replaces the old one, which has ended.
type Candidate struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	// Place and Address are where other nodes reach the process. They are empty
	// if nodes need not reach it.
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
	// Term increases by one with each takeover and never decreases.
	Term uint64 `json:"term"`
	// Holder and Incarnation identify the process that wrote the row.
	Holder      string `json:"holder"`
	Incarnation string `json:"incarnation"`
	// Duration is how long the holder keeps the lease after a renewal. Promise
	// is the longest promise that it requests. OrderTimeout bounds the time that
	// one of its orders takes.
	Duration     time.Duration `json:"duration_ns"`
	Promise      time.Duration `json:"promise_ns"`
	OrderTimeout time.Duration `json:"order_timeout_ns"`
	// Renewal counts the writes within the term.
	Renewal uint64 `json:"renewal"`
	// Token is unique to each attempt to write the row.
	Token string `json:"token"`
	// Released is whether the holder has released the lease.
	Released bool `json:"released,omitempty"`
	// Candidates lists, sorted by VM name, the candidates that may take over
	// from this row. Only a holder's renewal adds others to it; a takeover adds
	// at most the new holder.
	Candidates []Candidate `json:"candidates"`
}

// takeoverWait returns how long a candidate must have seen the row unchanged before
// its holder's lease has certainly run out, on the holder's clock.
func (r *Row) takeoverWait() time.Duration {
	return max(r.Duration, r.Promise)
}

func (r *Row) isListed(vm string) bool {
	return hasCandidate(r.Candidates, vm)
}

func (r *Row) isWrittenBy(c Candidate) bool {
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
