package admit

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// ID identifies a request on this node.
type ID uint64

// Request is a request that asks to start.
type Request struct {
	ID      ID
	Account string
	// Target is the model or service asked for.
	Target string
	// Priority orders waiting requests; higher starts first.
	Priority int
	// Deadline is when the whole answer must be there; zero means none.
	Deadline time.Time
	// Cost is the expected work relative to other requests of the target; 0
	// means 1.
	Cost float64
}

// Verdict is what happens to a request.
type Verdict int

// Verdicts.
const (
	// Refuse: the request did not run and will not.
	Refuse Verdict = iota
	// Admit: the caller places the request before its next call.
	Admit
	// Queue: a later Effect says what becomes of the request.
	Queue
)

// Decision answers an offered request. Problem is set for Refuse.
type Decision struct {
	Verdict Verdict
	Problem *problem.Error
	// Displaced lists waiting requests of other accounts that were refused to
	// make room in a full queue.
	Displaced []Effect
}

// Effect says what became of a waiting request: Admit or Refuse.
type Effect struct {
	ID      ID
	Verdict Verdict
	Problem *problem.Error
}

// Capacity says how many more requests for a target can be placed now.
// route.Table implements it.
type Capacity interface {
	Free(target string) int
	// Serving reports whether requests for the target can be placed now or
	// once some of those in flight have ended.
	Serving(target string) bool
}

// Account is a client account's standing in the queue.
type Account struct {
	Name string
	// Weight is the account's part of a target under overload, relative to
	// the other accounts' weights; 0 means 1.
	Weight int
	// MaxInFlight bounds the account's concurrent requests over all nodes.
	MaxInFlight int
}

// ShareName is the name under which package budget divides an account's
// limit.
func ShareName(account string) string { return "account/" + account }
