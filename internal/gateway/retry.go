package gateway

import (
	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// attemptFunc delivers a successful answer to the caller. It returns an error if
// the answer was incomplete and another attempt may continue it.
type attemptFunc func(ans *answer) *problem.Error

// maxUnanswered limits the endpoints that may fail a request without delivering
// any part of an answer: the request itself may end them.
const maxUnanswered = 2

// canRetry reports whether an attempt with the outcome may be repeated. An
// idempotent request may also be repeated after a failure.
func canRetry(outcome Outcome, idempotent bool) bool {
	switch outcome {
	case NotSent, Refused:
		return true
	case Failed, FailedDownstream:
		return idempotent
	}
	return false
}

// dispatchAttempts makes attempts until one is delivered, no further attempt is
// possible or the error is final. If any attempt may have run, the returned
// outcome and error say so.
func (s *Server) dispatchAttempts(req *request, need Requirements, next func() call, idempotent bool, deliver attemptFunc) (Outcome, *problem.Error) {
	outcome := NotSent
	unanswered := 0
	var last *problem.Error
	for n := 0; n <= s.maxRetries; n++ {
		need.Retry = n > 0
		a, err := req.admission.Dispatch(need)
		if err != nil {
			s.log.Debug("no further attempt", "request_id", req.id(), "error", err)
			if last == nil {
				last = problem.As(err)
			}
			break
		}
		c := next()
		c.exclude = need.Exclude
		ans := s.attempt(req, a, c, deliver)
		if ans.err == nil {
			return Succeeded, nil
		}
		last = ans.err
		outcome = worseOutcome(outcome, ans.outcome)
		need.addFailure(a.Target(), ans.outcome)
		if ans.outcome.mayHaveRun() && !ans.progressed {
			unanswered++
		}
		if req.ctx().Err() != nil || !canRetry(ans.outcome, idempotent) || unanswered >= maxUnanswered {
			break
		}
	}
	if outcome.mayHaveRun() && last.Ran == problem.RanNo {
		last = last.WithRanUnknown()
	}
	return outcome, last
}

// attempt makes one attempt, delivers its answer and releases it.
func (s *Server) attempt(req *request, a Attempt, c call, deliver attemptFunc) *answer {
	ans := s.send(req, a, c)
	if ans.err == nil {
		ans.err = deliver(ans)
		if ans.err != nil {
			ans.outcome = outcomeOf(ans.err, a.Target().Peer && ans.err.Kind != problem.StreamInterrupted)
		}
	}
	ans.finish(ans.outcome)
	return ans
}

// addFailure excludes the target of a failed attempt from the next attempt.
func (n *Requirements) addFailure(t Target, outcome Outcome) {
	n.Exclude = append(n.Exclude, t.Endpoint)
	if outcome == Refused {
		n.Refusals++
	}
}

// worseOutcome combines two outcomes. One that may have run takes precedence, and
// a over b if both may have.
func worseOutcome(a, b Outcome) Outcome {
	if a.mayHaveRun() {
		return a
	}
	return b
}

// mayHaveRun reports whether an attempt with the outcome may have run.
func (o Outcome) mayHaveRun() bool {
	return o == Failed || o == FailedDownstream || o == Cancelled
}

// outcomeOf returns the outcome of an attempt whose answer could not be
// delivered. beyond is true if another entry VM returned the error.
func outcomeOf(err *problem.Error, beyond bool) Outcome {
	switch {
	case err.Ran == problem.RanNo:
		return Refused
	case beyond:
		return FailedDownstream
	}
	return Failed
}
