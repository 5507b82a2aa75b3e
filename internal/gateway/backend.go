package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// Kind is the kind of endpoint that serves a request.
type Kind string

// Kinds of endpoints.
const (
	ModelEndpoint   Kind = "model"
	ServiceEndpoint Kind = "service"
)

// Requirements describes the endpoint that one attempt of a request requires.
type Requirements struct {
	Kind     Kind
	Name     string // model or service
	Account  inventory.ClientAccount
	Deadline time.Time
	// Prefix holds the hashes of the prompt's prefixes, shortest first. If it
	// is empty, the choice ignores cache locality.
	Prefix []uint64
	// Forwarded marks a request from another entry VM. This node serves it or
	// refuses it, but does not forward it again.
	Forwarded bool
	// Exclude lists the endpoints at which earlier attempts have failed.
	Exclude []string
	// Refusals is the number of earlier attempts that were refused.
	Refusals int
	// Retry marks every attempt but the first; it draws on the retry budget.
	Retry bool
}

// Target is the destination of one attempt: an endpoint or another entry VM.
type Target struct {
	// Endpoint is the group's id or the service VM's name, or the name of the
	// entry VM if the attempt is forwarded.
	Endpoint   string
	Address    string
	Peer       bool
	Group      string
	Generation uint64
}

// Outcome is the result of an attempt.
type Outcome string

// Outcomes of attempts.
const (
	Succeeded Outcome = "succeeded"
	NotSent   Outcome = "not_sent" // certainly did not run
	Refused   Outcome = "refused"  // the endpoint refused before running it
	Failed    Outcome = "failed"   // may have run
	// FailedDownstream means Failed, at an endpoint behind the entry VM to which
	// the attempt was forwarded.
	FailedDownstream Outcome = "failed_beyond"
	Cancelled        Outcome = "cancelled"
)

// Attempt is one dispatch. It occupies a slot in its endpoint's budget.
type Attempt interface {
	ID() string
	Target() Target
	// FirstByte records that the response began, and the incarnation of the
	// endpoint that sent it.
	FirstByte(incarnation string)
	// Done releases the slot. Calls after the first have no effect.
	Done(Outcome)
}

// Admission permits one request to make attempts.
type Admission interface {
	// Dispatch selects the target of the next attempt and occupies a slot there.
	Dispatch(need Requirements) (Attempt, error)
	// Release ends the admission when the request is complete.
	Release()
}

// KeyedRequest is a call with an idempotency key.
type KeyedRequest struct {
	Account     string
	Key         string
	Fingerprint string
	// First is the caller's assurance that it has not sent the key before.
	First bool
}

// StoredAnswer is the stored response to a call.
type StoredAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// StepKind is the kind of a Step.
type StepKind int

// Steps of a keyed call.
const (
	// StepAnswer ends the call with the response in Recorded.
	StepAnswer StepKind = iota
	// StepDispatch sends the call to an endpoint and then calls Settle.
	StepDispatch
	// StepForward forwards the call to the entry VM at Target.
	StepForward
)

// Step is the next action of a keyed call.
type Step struct {
	Kind     StepKind
	Recorded StoredAnswer
	Target   Target
}

// KeyedCall is a call that runs at most once per idempotency key.
type KeyedCall interface {
	// Next waits for the next step. An error ends the call and is its response.
	Next(ctx context.Context) (Step, error)
	// Settle ends a StepDispatch with the combined outcome of all its attempts.
	Settle(outcome Outcome, rec StoredAnswer, err *problem.Error)
	// ForwardFailed ends a StepForward that returned no response.
	ForwardFailed(outcome Outcome)
	// Close releases the call's resources. It may be called at any time.
	Close()
}

// Backend makes the gateway's decisions.
type Backend interface {
	// ClientAccount returns the client account whose key has the hash.
	ClientAccount(keyHash string) (inventory.ClientAccount, bool)
	// Models returns the names of the models in the current configuration.
	Models() []string
	// Service returns the plain service with the name.
	Service(name string) (inventory.Service, bool)
	// Admit waits until the account's limit and an endpoint have a free slot.
	// It returns an error as soon as it is certain that no slot becomes free
	// before the deadline.
	Admit(ctx context.Context, need Requirements) (Admission, error)
	// Keyed begins a call with an idempotency key.
	Keyed(req KeyedRequest) KeyedCall
	// IssueKey returns a new idempotency key and how long it is valid. This node
	// can confirm the key's first use even while the platform is down.
	IssueKey() (key string, valid time.Duration)
	// AccountByName returns the client account that another entry VM names.
	AccountByName(name string) (inventory.ClientAccount, bool)
	// Ready returns the reason why this node should not receive requests, or
	// nil if it is ready.
	Ready() *problem.Error
}
