package claim

import "github.com/pimentoshore/pimentoshore/coord/problem"

// Progress is how far an attempt of a call without an idempotency key got.
type Progress int

// Progress of an attempt.
const (
	// ProgressNotSent means that the endpoint certainly did not start to run the
	// call.
	ProgressNotSent Progress = iota + 1
	// ProgressSent means that the endpoint may have started to run the call
	// before the attempt failed.
	ProgressSent
)

// Unkeyed decides whether to retry one call without an idempotency key. The zero
// value allows a single attempt of a call that is not idempotent.
type Unkeyed struct {
	// Idempotent allows retries after the call may have been sent.
	Idempotent bool
	// MaxRetries limits the attempts after the first one.
	MaxRetries int

	retries int
	sent    bool
}

// Failed records a failed attempt and reports whether the call may be retried.
func (u *Unkeyed) Failed(p Progress) bool {
	u.sent = u.sent || p != ProgressNotSent
	if u.sent && !u.Idempotent || u.retries >= u.MaxRetries {
		return false
	}
	u.retries++
	return true
}

// Err returns the error for the caller when there are no further attempts. Its
// Ran is RanNo only if no attempt may have been sent.
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
