package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// Kind says what serves a request.
type Kind string

// Kinds of endpoints.
const (
	ModelEndpoint   Kind = "model"
	ServiceEndpoint Kind = "service"
)

// Requirements is what one attempt of a request asks for.
type Requirements struct {
	Kind     Kind
	Name     string // model or service
	Account  inventory.ClientAccount
	Deadline time.Time
	// Prefix holds hashes of the prompt's prefixes, shortest first; empty
	// means no locality.
	Prefix []uint64
	// Forwarded requests are served by this node or refused.
	Forwarded bool
	// Exclude lists endpoints that earlier attempts found wanting.
	Exclude []string
	// Refusals counts the attempts that were refused elsewhere.
	Refusals int
	// Retry marks every attempt but the first; it draws on the retry budget.
	Retry bool
}

// Target is where one attempt goes: an endpoint, or another entry VM.
type Target struct {
	// Endpoint is the group's id or the service VM's name; for a forwarded
	// attempt it is the entry VM's name.
	Endpoint   string
	Address    string
	Peer       bool
	Group      string
	Generation uint64
}

// Outcome is how an attempt ended.
type Outcome string

// Outcomes of attempts.
const (
	Succeeded Outcome = "succeeded"
	NotSent   Outcome = "not_sent" // certainly did not run
	Refused   Outcome = "refused"  // the endpoint refused before running it
	Failed    Outcome = "failed"   // may have run
	// FailedDownstream is Failed behind the entry VM that it was forwarded to.
	FailedDownstream Outcome = "failed_beyond"
	Cancelled        Outcome = "cancelled"
)

// Attempt is one dispatch that holds a place in its endpoint's budget.
type Attempt interface {
	ID() string
	Target() Target
	// FirstByte records when the answer began and which incarnation sent it.
	FirstByte(incarnation string)
	// Done gives the place back. Only the first call counts.
	Done(Outcome)
}

// Admission is the right of one request to make attempts.
type Admission interface {
	// Dispatch chooses where the next attempt goes and takes a place there.
	Dispatch(need Requirements) (Attempt, error)
	// Release ends the request.
	Release()
}

// KeyedRequest is a call with an idempotency key.
type KeyedRequest struct {
	Account     string
	Key         string
	Fingerprint string
	// First says that the caller vouches not to have sent the key before.
	First bool
}

// StoredAnswer is the answer that a call had.
type StoredAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// StepKind is what a keyed call does next.
type StepKind int

// Steps of a keyed call.
const (
	// StepAnswer: the call ends with Recorded.
	StepAnswer StepKind = iota
	// StepDispatch: the call is sent to an endpoint and then settled.
	StepDispatch
	// StepForward: the call is passed on to the entry VM at Target.
	StepForward
)

// Step is what a keyed call does next.
type Step struct {
	Kind     StepKind
	Recorded StoredAnswer
	Target   Target
}

// KeyedCall is a call that runs at most once per idempotency key.
type KeyedCall interface {
	// Next waits for the next step. An error is the call's answer.
	Next(ctx context.Context) (Step, error)
	// Settle ends a StepDispatch with the outcome of all its attempts.
	Settle(outcome Outcome, rec StoredAnswer, err *problem.Error)
	// ForwardFailed ends a StepForward that brought no answer.
	ForwardFailed(outcome Outcome)
	// Close frees what the call holds. It may be called at any time.
	Close()
}

// Backend makes the gateway's decisions.
type Backend interface {
	// ClientAccount finds the account that holds the key of the digest.
	ClientAccount(keyHash string) (inventory.ClientAccount, bool)
	// Models lists the models of the configuration in force.
	Models() []string
	// Service finds a plain service.
	Service(name string) (inventory.Service, bool)
	// Admit waits for a place under the account's limit and at an endpoint.
	// It refuses as soon as it's known that none comes free in time.
	Admit(ctx context.Context, need Requirements) (Admission, error)
	// Keyed begins a call with an idempotency key.
	Keyed(req KeyedRequest) KeyedCall
	// IssueKey returns a fresh idempotency key that this node vouches for
	// also while the platform is down, and how long it is valid.
	IssueKey() (key string, valid time.Duration)
	// AccountByName finds the account that another entry VM names.
	AccountByName(name string) (inventory.ClientAccount, bool)
	// Ready returns why this node should receive no callers, if so.
	Ready() *problem.Error
}
