package claim

import "github.com/pimentoshore/pimentoshore/coord/problem"

// Progress is how far an attempt of a call without an idempotency key got.
type Progress int

// Progress of an attempt.
const (
	// ProgressNotSent: the attempt certainly did not start at the endpoint.
	ProgressNotSent Progress = iota + 1
	// ProgressSent: the attempt may have started and broke off.
	ProgressSent
)

// Unkeyed decides on further attempts of one call without a key. The zero
// value allows a single attempt of a non-idempotent call.
type Unkeyed struct {
	// Idempotent calls may be repeated after they were sent.
	Idempotent bool
	// MaxRetries bounds the attempts after the first.
	MaxRetries int

	retries int
	sent    bool
}

// Failed takes a failed attempt and reports whether another one may be made.
func (u *Unkeyed) Failed(p Progress) bool {
	u.sent = u.sent || p != ProgressNotSent
	if u.sent && !u.Idempotent || u.retries >= u.MaxRetries {
		return false
	}
	u.retries++
	return true
}

// Err returns the answer to the caller once no further attempt is made. It
// says that the call did not run only if no attempt may have started.
func (u *Unkeyed) Err() *problem.Error {
	if !u.sent {
		return problem.New(problem.NoEndpoint, "the call could not be sent to an endpoint", "send it again later")
	}
	if u.Idempotent {
		return problem.New(problem.EndpointFailed, "the endpoint broke off", "send it again").WithRanUnknown()
	}
	return problem.New(problem.OutcomeUnknown, "the endpoint broke off after the call was sent",
		"check at the service whether the call took effect, and use an idempotency key").WithRanUnknown()
}
