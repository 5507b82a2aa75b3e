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
	case Failed:
		return idempotent
	}
	return false
}

// try dispatches attempts until one is delivered, none is left or the error
// is final. The outcome is that of the last attempt.
func (s *Server) try(req *request, need Need, next func() call, idempotent bool, deliver attemptFunc) (Outcome, *problem.Error) {
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
			return outcome, last
		}
		c := next()
		c.exclude = need.Exclude
		ans := s.send(req, a, c)
		if ans.err == nil {
			ans.err = deliver(ans)
			if ans.err == nil {
				ans.finish(Succeeded)
				return Succeeded, nil
			}
			ans.outcome = outcomeOf(ans.err)
		}
		outcome = worse(outcome, ans.outcome)
		last = ans.err
		ans.finish(ans.outcome)
		need.Exclude = append(need.Exclude, a.Target().Endpoint)
		if ans.outcome == Refused {
			need.Refusals++
		}
		if req.ctx().Err() != nil || !retryable(ans.outcome, idempotent) {
			return outcome, last
		}
	}
	return outcome, last
}

// worse keeps the outcome that says more may have run.
func worse(a, b Outcome) Outcome {
	if a == Failed || a == Cancelled {
		return a
	}
	return b
}

// outcomeOf is how an attempt ended whose answer could not be delivered.
func outcomeOf(err *problem.Error) Outcome {
	if err.Ran == problem.RanNo {
		return Refused
	}
	return Failed
}
