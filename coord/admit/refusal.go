package admit

import (
	"fmt"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/problem"
)

const (
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// noEndpointDelay and noShareDelay are the retry delays if no endpoint
	// serves the target, and if the node has no share of the account's limit.
	noEndpointDelay = 5 * time.Second
	noShareDelay    = time.Second
)

func refuse(p *problem.Error) Decision { return Decision{Verdict: Refuse, Problem: p} }

// retryAfter returns the delay after which a refused caller should retry: the
// expected time until the queued requests are done, bounded by minRetryAfter and
// maxRetryAfter, times a random factor between 0.5 and 1.5 that spreads the
// retries.
func (c *Controller) retryAfter(now time.Time, t *throughput, queued int) time.Duration {
	base := time.Duration(queued+1) * t.interval(now)
	base = min(max(base, minRetryAfter), maxRetryAfter)
	if c.opts.FixedRetryAfter {
		return base
	}
	return base/2 + time.Duration(c.rng.Int64N(int64(base)))
}

func (c *Controller) tooLateError(now time.Time, t *target) *problem.Error {
	return problem.New(problem.Overloaded,
		fmt.Sprintf("%s cannot answer before the request's deadline", t.name),
		"retry after the given time, or allow a later deadline",
	).WithRetryAfter(c.retryAfter(now, &t.throughput, t.queued))
}

func (c *Controller) queueFullError(now time.Time, t *target) *problem.Error {
	return problem.New(problem.Overloaded,
		fmt.Sprintf("the queue of %s is full", t.name),
		"retry after the given time",
	).WithRetryAfter(c.retryAfter(now, &t.throughput, t.queued))
}

func (c *Controller) accountLimitError(now time.Time, a *account) *problem.Error {
	return problem.New(problem.AccountLimit,
		fmt.Sprintf("client account %q has reached its limit of %d concurrent requests", a.Name, a.MaxInFlight),
		"retry after the given time, or ask the operators for a higher max_in_flight",
	).WithRetryAfter(c.retryAfter(now, &a.throughput, a.waiting))
}

func noEndpointError(target string) *problem.Error {
	return problem.New(problem.NoEndpoint,
		fmt.Sprintf("nothing serves %s at present", target),
		"retry after the given time; operators: see pimentoshore status",
	).WithRetryAfter(noEndpointDelay)
}

func noShareError(a *account) *problem.Error {
	return problem.New(problem.NotReady,
		fmt.Sprintf("this node has no share of the limit of client account %q yet", a.Name),
		"retry after the given time, or use another entry VM",
	).WithRetryAfter(noShareDelay)
}

func unknownAccountError(name string) *problem.Error {
	return problem.New(problem.Unauthorized,
		fmt.Sprintf("client account %q is not in the configuration", name),
		"declare it under client_accounts")
}

func unknownRequestError() *problem.Error {
	return problem.New(problem.Internal,
		"a request that is not running was queued again",
		"report it with the request id")
}
