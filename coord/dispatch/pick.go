package dispatch

import (
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
	"github.com/pimentoshore/pimentoshore/coord/quarantine"
)

const (
	// begunFactor times its slots is the predicted load up to which a target
	// accepts requests whose answer has begun.
	begunFactor = 2
	// plainFactor times a plain server's slots is how many requests one node
	// may have there.
	plainFactor = 3
	// remotePenalty is how many more requests this node places at a target in
	// its own data centre before it chooses one in another data centre.
	remotePenalty = 0.5
	// ownWeight is the weight of this node's own requests, scaled up to all
	// nodes, in a target's score. The last report has the remaining weight.
	ownWeight = 0.8
	// failurePenalty is the weight of the share of failed requests in the score.
	failurePenalty = 2.0
	// leavingPenalty is the same number for targets one of whose VMs is about
	// to stop, and repeatPenalty for targets where a request that has already
	// lost an endpoint could lose another.
	leavingPenalty = 4
	repeatPenalty  = 8
	// jitter spreads requests over targets with similar scores.
	jitter = 0.15
	// retryAfterFull is the time in which a slot is likely to become free.
	retryAfterFull = 500 * time.Millisecond
	// retryAfterNoTarget is the time in which a lost group may be serving
	// again.
	retryAfterNoTarget = time.Second
	// retryAfterNoBudget is the time in which a part of the budget of repeats becomes
	// free.
	retryAfterNoBudget = time.Second
)

// Query describes the request to place.
type Query struct {
	Service string
	Model   string // empty for a plain service
	// Exclude lists the IDs of targets at which the request has failed.
	Exclude []string
	// Parts are the parts of the prompt that other requests may share, and the one
	// that identifies the request.
	Parts []quarantine.Part
	// PromptTokens is the length of the prompt, 0 if there is none.
	PromptTokens int
	// Prefix is the beginning of the prompt that other requests may share, or nil.
	Prefix *Prefix
	// Draw is a random number drawn for the request.
	Draw uint64
	// Begun is whether the caller has received a part of the answer. Such a
	// request is accepted by targets that are too full for new ones.
	Begun bool
	// Repeat is whether the request is sent again after an endpoint has failed
	// it. It then avoids targets that are likely to be lost, since it may not survive another
	// failure.
	Repeat bool
	// Rank is how urgent the request is. It has no effect on requests that are Begun,
	// Repeat or Resent.
	Rank catalog.Rank
	// Resent is whether the request was sent before, so that another send takes part
	// of the budget of repeats.
	Resent bool
}

// Refusal says why no target was chosen and when to retry.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
	// Detail says more than Reason, if it is not empty.
	Detail string
	// RepeatUse is the use of the budget of repeats, if Reason is NoBudget.
	RepeatUse RepeatUse
}

// WithDraw returns the refusal of another request, with that draw, that is refused
// for the same reason, so that they don't all retry at the same time.
func (r *Refusal) WithDraw(draw uint64) *Refusal {
	switch r.Reason {
	case NoTarget, AllFull, AllCold:
		return refusal(r.Reason, draw)
	}
	return r
}

// MayClearWithin reports whether a slot may become free within d, so that waiting
// for one is worthwhile.
func (r *Refusal) MayClearWithin(d time.Duration) bool {
	switch r.Reason {
	case Paused, Limited:
		return r.RetryAfter < d
	case Quarantined, NoBudget:
		return false
	}
	return true
}

// Reason is why a request can't be placed.
type Reason string

// Reasons for a refusal.
const (
	NoTarget Reason = "no endpoint"
	AllFull  Reason = "all endpoints full"
	AllCold  Reason = "endpoints warm up"
	Paused   Reason = "endpoints asked for a pause"
	// Limited endpoints take no more requests a second from this node.
	Limited Reason = "endpoints limit their requests"
	// NoBudget is left to send the request another time.
	NoBudget Reason = "the budget of repeats is used up"
	// Quarantined requests hold a part of a prompt that ends endpoints, or do so
	// themselves.
	Quarantined Reason = "endpoints ended under this input"
)

// Pick chooses a target for a request and counts the request there until Done is
// called. A repeat is counted as well. It returns a refusal if no target accepts the
// request, or if no budget is left for it.
func (t *Table) Pick(now time.Time, q Query) (*Ticket, *Refusal) {
	if q.Resent {
		if use := t.RepeatUse(now, q.Service, q.Begun); !use.allowsMore() {
			return nil, &Refusal{Reason: NoBudget, RetryAfter: retryAfterNoBudget, RepeatUse: use}
		}
	}
	best, reasons := t.chooseByRank(now, q)
	if best == nil {
		return nil, reasons.refusal(q.Draw)
	}
	var reuse *Reuse
	if held := t.newHeldChoice(now, &q); held != nil {
		best, reuse = held.choose(best)
	}
	var use RepeatUse
	if q.Resent {
		use, _ = t.takeRepeat(now, q.Service, q.Begun) // checked above
	}
	best.cold.record(now)
	best.limiter.take()
	ticket := &Ticket{Target: best, ProgressAt: now, Load: best.load(), promptWork: t.promptWork(q.Service, q.PromptTokens), sentAt: now, born: best.Born, Parts: q.Parts, RepeatUse: use, Reuse: reuse}
	prompt := t.boundedPrompt(&q)
	ticket.work = 1 + promptWeight*t.promptWork(q.Service, prompt)
	best.add(now, ticket)
	t.prefixHolders.add(ticket, q.Prefix)
	t.recordPrompt(&q, prompt)
	best.pause.recordSend(now, ticket)
	return ticket, nil
}

// CanRepeat reports whether a request can be sent to another target now, within the
// budget of repeats.
func (t *Table) CanRepeat(now time.Time, q Query) bool {
	best, _ := t.choose(now, q)
	return best != nil && t.RepeatUse(now, q.Service, q.Begun).allowsMore()
}

// choose returns the best target for a request, or nil and the reasons for which
// there is none.
func (t *Table) choose(now time.Time, q Query) (best *Target, reasons refusals) {
	bestScore := 0.0
	reasons.reason = NoTarget
	for i, target := range t.pools[poolKey{q.Service, q.Model}] {
		vm := t.vms.Get(target.ID)
		if !isEligible(now, target, vm, &q) || !reasons.accepts(t, now, target, vm, &q) {
			continue
		}
		score := t.fullScore(target, &q, i)
		if best == nil || score < bestScore {
			best, bestScore = target, score
		}
	}
	return best, reasons
}

// fullScore rates the target with the given index in its pool for a request; the
// lowest score is best.
func (t *Table) fullScore(target *Target, q *Query, i int) float64 {
	return t.score(target) + t.penaltyWeight(target)*t.penalty(target, q.Repeat) + jitter*unitHash(q.Draw, i)
}

// isEligible reports whether a target, whose VM is vm, may be considered for a
// request. It does not check whether the target has a free slot. The pools don't
// reflect that a VM has announced that it is leaving until the next Update.
func isEligible(now time.Time, target *Target, vm *fleet.VM, q *Query) bool {
	leaving := vm != nil && vm.Leaving
	return !leaving && !slices.Contains(q.Exclude, target.ID) && !now.Before(target.health.avoidUntil)
}

// refusals collects the reasons for which the targets of a pool don't accept a
// request.
type refusals struct {
	reason Reason
	// pausedFor is the shortest remaining pause of any target, and limitedFor the
	// shortest time until a target takes another request of this node.
	pausedFor, limitedFor time.Duration
}

// accepts reports whether a target, whose VM is vm, accepts a request now, and
// records the reason if it doesn't.
func (r *refusals) accepts(t *Table, now time.Time, target *Target, vm *fleet.VM, q *Query) bool {
	paused, limited := target.pause.remaining(now), t.limitWait(now, target, vm)
	switch {
	case paused > 0:
		r.pausedFor = shortest(r.pausedFor, paused)
	case target.pause.isTrialPending(now) || isFull(target, q.Begun) || t.isReserved(target, q):
		r.reason = AllFull
	case !t.hasColdCapacity(now, target, vm):
		r.reason = AllCold
	case limited > 0:
		r.limitedFor = shortest(r.limitedFor, limited)
	default:
		return true
	}
	return false
}

// shortest returns the shorter of two times, of which the first is 0 if there is
// none yet.
func shortest(known, d time.Duration) time.Duration {
	if known == 0 {
		return d
	}
	return min(known, d)
}

// refusal returns why no target was chosen. If all eligible targets have asked
// for a pause or limit their requests, the retry delay is the time until the first
// of them takes another one.
func (r *refusals) refusal(draw uint64) *Refusal {
	switch {
	case r.reason != NoTarget:
	case r.limitedFor > 0 && (r.pausedFor == 0 || r.limitedFor < r.pausedFor):
		return &Refusal{Reason: Limited, RetryAfter: min(r.limitedFor, maxLimitedRetryAfter)}
	case r.pausedFor > 0:
		return &Refusal{Reason: Paused, RetryAfter: r.pausedFor}
	}
	return refusal(r.reason, draw)
}

// maxLimitedRetryAfter is the longest delay for which a caller is told to wait
// because of limits: other nodes may have a share, and limits change.
const maxLimitedRetryAfter = 2 * time.Second

// refusal returns a refusal with a retry delay that is spread over one to two
// times the delay for the reason.
func refusal(reason Reason, draw uint64) *Refusal {
	delay := retryAfterFull
	if reason == NoTarget {
		delay = retryAfterNoTarget
	}
	return &Refusal{Reason: reason, RetryAfter: delay + time.Duration(float64(delay)*unitHash(draw, 0))}
}

// isFull reports whether a target has no slot for one more request of this node.
func isFull(t *Target, begun bool) bool {
	if begun {
		return t.load() >= t.Slots*begunFactor
	}
	if t.Group == "" {
		return len(t.tickets) >= t.Slots*plainFactor
	}
	return len(t.tickets) >= t.quota
}

// requestWeight is the contribution of one request of this node to a target's
// score, under the assumption that every node has as many.
func (t *Table) requestWeight(target *Target) float64 {
	return ownWeight * float64(t.nodes) / float64(max(1, target.Slots))
}

// score rates a target by its load with one more request and by its failures;
// the lowest score is best.
func (t *Table) score(target *Target) float64 {
	own := t.requestWeight(target) * (target.ownLoad() + 1)
	all := (1 - ownWeight) * float64(target.load()+1) / float64(max(1, target.Slots))
	return (own+all)*target.pace + failurePenalty*target.health.failures
}

// penaltyWeight is the contribution to the score of a penalty of one request.
// Plain servers have a fixed weight: they have few slots, so that one request
// would weigh too much.
func (t *Table) penaltyWeight(target *Target) float64 {
	if target.Group == "" {
		return plainPenaltyWeight
	}
	return t.requestWeight(target)
}

// plainPenaltyWeight is the contribution to the score of a penalty of one
// request at a plain server.
const plainPenaltyWeight = 0.125

// penalty returns how many more requests this node places at other targets before
// it chooses this one, because it is in another data centre or may soon be lost.
// A possible loss counts most for a request that has already lost an endpoint.
func (t *Table) penalty(target *Target, again bool) float64 {
	requests := 0.0
	if target.DataCentre != t.opts.DataCentre {
		requests += remotePenalty
	}
	if target.leaving {
		requests += leavingPenalty
	}
	if again && (target.leaving || target.outdated) {
		requests += repeatPenalty
	}
	return requests
}

// promptWork returns the length of a request's prompt relative to the mean of
// the service, or 0 if the mean is unknown.
func (t *Table) promptWork(service string, tokens int) float64 {
	svc := t.catalog.Service(service)
	if svc == nil || svc.Engine == nil || svc.Engine.MeanPrompt <= 0 {
		return 0
	}
	return float64(tokens) / svc.Engine.MeanPrompt
}

// unitHash hashes a draw and an index to a number from 0 up to, but excluding, 1.
func unitHash(draw uint64, i int) float64 {
	x := (draw + uint64(i)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	x ^= x >> 31
	return float64(x%1024) / 1024
}

// Outcome is the result of a request at a target.
type Outcome int

// Outcomes of requests.
const (
	Succeeded Outcome = iota + 1
	// Failed means that the target gave no answer or an invalid one.
	Failed
	// Rejected means that the target did not run the request.
	Rejected
	// Neutral means that the result says nothing about the target's health.
	Neutral
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case Succeeded:
		return "succeeded"
	case Failed:
		return "failed"
	case Rejected:
		return "rejected"
	}
	return "neutral"
}

// Done removes a finished request from its target and records its outcome.
func (t *Table) Done(now time.Time, ticket *Ticket, outcome Outcome) {
	ticket.Target.remove(now, ticket)
	t.prefixHolders.remove(ticket)
	ticket.Target.pause.recordEnd(ticket, outcome)
	switch outcome {
	case Succeeded:
		if !ticket.Begun {
			t.recordFirstByte(now, ticket)
		}
		ticket.Target.health.recordSuccess()
	case Failed:
		ticket.Target.health.recordFailure(now)
	case Rejected:
		ticket.Target.otherRequests++
	}
}
