// Package problem defines the typed errors that cross package and process
// boundaries. Each has a kind, a remedy, and whether the request ran.
package problem

import (
	"errors"
	"fmt"
	"time"
)

// Kind classifies an error. Its value is the last segment of the problem
// type URI (RFC 9457) and is stable.
type Kind string

// Kinds of errors.
const (
	Unauthorized      Kind = "unauthorized"
	UnknownModel      Kind = "unknown-model"
	UnknownService    Kind = "unknown-service"
	MalformedRequest  Kind = "malformed-request"
	BodyTooLarge      Kind = "body-too-large"
	BodyTimeout       Kind = "body-timeout"
	HeaderTooLarge    Kind = "header-too-large"
	MemoryShort       Kind = "memory-short"
	AccountLimit      Kind = "account-limit"
	Overloaded        Kind = "overloaded"
	NoEndpoint        Kind = "no-endpoint"
	Quarantined       Kind = "quarantined"
	DeadlineExceeded  Kind = "deadline-exceeded"
	EndpointFailed    Kind = "endpoint-failed"
	KeyReused         Kind = "idempotency-key-reused"
	OutcomeUnknown    Kind = "outcome-unknown"
	PlatformDown      Kind = "platform-unavailable"
	ConfigConflict    Kind = "configuration-conflict"
	ConfigInvalid     Kind = "configuration-invalid"
	NotReady          Kind = "not-ready"
	Stopping          Kind = "stopping"
	StaleLease        Kind = "stale-lease"
	StreamInterrupted Kind = "stream-interrupted"
	NotFound          Kind = "not-found"
	Internal          Kind = "internal"
)

// Ran reports whether the request that failed took effect.
type Ran string

// Values of Ran. RanNo guarantees that the request did not run; it is used only
// where that is certain.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
)

// Error is a typed error with a remedy.
type Error struct {
	Kind    Kind
	Message string
	Remedy  string
	Ran     Ran
	// RetryAfter is the time to wait before a retry; zero means no hint.
	RetryAfter time.Duration
}

// Error returns the kind, the message and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s; %s", e.Kind, e.Message, e.Remedy)
}

// New returns an error for a request that certainly did not run.
func New(kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Message: message, Remedy: remedy, Ran: RanNo}
}

// WithRetryAfter returns a copy of the error with RetryAfter set to d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithRanUnknown returns a copy of the error with Ran set to RanUnknown.
func (e *Error) WithRanUnknown() *Error {
	c := *e
	c.Ran = RanUnknown
	return &c
}

// As returns the first Error in err's chain. If there is none, it returns an
// Internal error with the text of err, with Ran set to RanUnknown.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{
		Kind: Internal, Message: err.Error(), Ran: RanUnknown,
		Remedy: "report it with the request id",
	}
}

// Is reports whether err's chain contains an Error of the kind. It checks only the
// first Error in the chain.
func Is(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
