package admit

import (
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// ID identifies a request on this node.
type ID uint64

// Request is a request to be admitted.
type Request struct {
	ID      ID
	Account string
	// Target is the requested model or service.
	Target string
	// Priority orders waiting requests; higher starts first.
	Priority int
	// Deadline is the time by which the answer must be complete; zero means no
	// deadline.
	Deadline time.Time
	// Cost is the expected work relative to other requests of the target; 0
	// means 1.
	Cost float64
}

// Verdict is the result of a decision on a request.
type Verdict int

// Verdicts on requests.
const (
	// Refuse means that the request did not run and will not run.
	Refuse Verdict = iota
	// Admit means that the caller must place the request before its next call
	// of the controller.
	Admit
	// Queue means that the request waits. A later Effect admits or refuses it.
	Queue
)

// Decision is the result of Offer or Requeue. Problem is set if the verdict is
// Refuse.
type Decision struct {
	Verdict Verdict
	Problem *problem.Error
	// Displaced lists waiting requests of other accounts that were refused to
	// make room in a full queue.
	Displaced []Effect
}

// Effect is the verdict on a request that was waiting: Admit or Refuse.
type Effect struct {
	ID      ID
	Verdict Verdict
	Problem *problem.Error
}

// Capacity reports the free capacity of the endpoints of a target. route.Table
// implements it.
type Capacity interface {
	// Free returns how many more requests for the target can be placed now.
	Free(target string) int
	// Serving reports whether requests for the target can be placed now or
	// once some of those in flight have ended.
	Serving(target string) bool
}

// Account contains the admission settings of a client account.
type Account struct {
	Name string
	// Weight is the account's share of a target under overload, relative to
	// the other accounts' weights; 0 means 1.
	Weight int
	// MaxInFlight limits the account's concurrent requests across all nodes.
	MaxInFlight int
}

// ShareName returns the name under which package budget divides an account's
// limit.
func ShareName(account string) string { return "account/" + account }
