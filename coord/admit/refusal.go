package admit

import (
	"fmt"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

const (
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// noEndpointDelay and noShareDelay are when a caller may find an endpoint
	// where there is none, and a share where the node holds none.
	noEndpointDelay = 5 * time.Second
	noShareDelay    = time.Second
)

func refuse(p *problem.Error) Decision { return Decision{Verdict: Refuse, Problem: p} }

// hint returns when to come back: the expected time until the present work is
// done, spread between half and one and a half of it.
func (c *Controller) hint(now time.Time, p *pace, queued int) time.Duration {
	base := time.Duration(queued+1) * p.interval(now)
	base = min(max(base, minRetryAfter), maxRetryAfter)
	if c.opts.SameHint {
		return base
	}
	return base/2 + time.Duration(c.rng.Int64N(int64(base)))
}

func (c *Controller) tooLate(now time.Time, t *target) *problem.Error {
	return problem.New(problem.Overloaded,
		fmt.Sprintf("%s cannot answer before the request's deadline", t.name),
		"retry after the given time, or allow a later deadline",
	).WithRetryAfter(c.hint(now, &t.pace, t.queued))
}

func (c *Controller) queueFull(now time.Time, t *target) *problem.Error {
	return problem.New(problem.Overloaded,
		fmt.Sprintf("the queue of %s is full", t.name),
		"retry after the given time",
	).WithRetryAfter(c.hint(now, &t.pace, t.queued))
}

func (c *Controller) accountLimit(now time.Time, a *account) *problem.Error {
	return problem.New(problem.AccountLimit,
		fmt.Sprintf("client account %q has its %d concurrent requests in use", a.Name, a.MaxInFlight),
		"retry after the given time, or ask the operators for a higher max_in_flight",
	).WithRetryAfter(c.hint(now, &a.pace, a.waiting))
}

func noEndpoint(target string) *problem.Error {
	return problem.New(problem.NoEndpoint,
		fmt.Sprintf("nothing serves %s at present", target),
		"retry after the given time; operators: see pimentoshore status",
	).WithRetryAfter(noEndpointDelay)
}

func noShare(a *account) *problem.Error {
	return problem.New(problem.NotReady,
		fmt.Sprintf("this node has no part of the limit of client account %q yet", a.Name),
		"retry after the given time, or use another entry VM",
	).WithRetryAfter(noShareDelay)
}

func unknownAccount(name string) *problem.Error {
	return problem.New(problem.Unauthorized,
		fmt.Sprintf("client account %q is not in the configuration", name),
		"declare it under client_accounts")
}

func unknownRequest() *problem.Error {
	return problem.New(problem.Internal,
		"a request was queued again that was never admitted",
		"report it with the request id")
}
