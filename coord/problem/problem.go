// Package problem defines the typed errors that cross package and process
// boundaries. Each carries a kind, a remedy, and whether the request ran.
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
	AccountLimit      Kind = "account-limit"
	Overloaded        Kind = "overloaded"
	NoEndpoint        Kind = "no-endpoint"
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

// Ran says whether the request behind an error took effect.
type Ran string

// Values of Ran. RanNo is a promise and used only where it is certain.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
)

// Error is a typed error with its remedy.
type Error struct {
	Kind    Kind
	Message string
	Remedy  string
	Ran     Ran
	// RetryAfter is when a retry is worth it; zero means no hint.
	RetryAfter time.Duration
}

// Error returns the message followed by the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s; %s", e.Kind, e.Message, e.Remedy)
}

// New returns an error of a request that certainly did not run.
func New(kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Message: message, Remedy: remedy, Ran: RanNo}
}

// WithRetryAfter returns a copy of the error that asks for a retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithRanUnknown returns a copy of the error that leaves open whether the
// request ran.
func (e *Error) WithRanUnknown() *Error {
	c := *e
	c.Ran = RanUnknown
	return &c
}

// As returns the first Error in err's chain, or an Internal one whose
// outcome is unknown.
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

// Is reports whether err's chain holds an Error of the kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
