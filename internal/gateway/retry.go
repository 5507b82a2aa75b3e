package gateway

import (
	"github.com/pimentoshore/pimentoshore/coord/problem"
)

// attemptFunc delivers a good answer to the caller. It returns an error if
// the answer broke off and another attempt may continue it.
type attemptFunc func(ans *answer) *problem.Error

// retryable says whether an attempt that ended this way may be repeated.
// An idempotent request may always be.
func retryable(outcome Outcome, idempotent bool) bool {
	switch outcome {
	case NotSent, Refused:
		return true
	case Failed, FailedDownstream:
		return idempotent
	}
	return false
}

// try dispatches attempts until one is delivered, none is left or the error
// is final. The outcome is the one of all attempts that says most may have
// run, and the error agrees with it.
func (s *Server) try(req *request, need Requirements, next func() call, idempotent bool, deliver attemptFunc) (Outcome, *problem.Error) {
	outcome := NotSent
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
		outcome = worse(outcome, ans.outcome)
		need.failedAt(a.Target(), ans.outcome)
		if req.ctx().Err() != nil || !retryable(ans.outcome, idempotent) {
			break
		}
	}
	if outcome.mayHaveRun() && last.Ran == problem.RanNo {
		last = last.WithRanUnknown()
	}
	return outcome, last
}

// attempt makes one attempt and ends it.
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

// failedAt notes for the next attempt where one has failed.
func (n *Requirements) failedAt(t Target, outcome Outcome) {
	n.Exclude = append(n.Exclude, t.Endpoint)
	if outcome == Refused {
		n.Refusals++
	}
}

// worse keeps the outcome that says more may have run.
func worse(a, b Outcome) Outcome {
	if a.mayHaveRun() {
		return a
	}
	return b
}

// mayHaveRun reports whether an attempt that ended this way may have run.
func (o Outcome) mayHaveRun() bool {
	return o == Failed || o == FailedDownstream || o == Cancelled
}

// outcomeOf is how an attempt ended whose answer could not be delivered.
// beyond says that another entry VM answered with the error.
func outcomeOf(err *problem.Error, beyond bool) Outcome {
	switch {
	case err.Ran == problem.RanNo:
		return Refused
	case beyond:
		return FailedDownstream
	}
	return Failed
}
