package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
)

const (
	// begunFactor times its slots is the predicted load up to which a target
	// takes requests whose answer has begun.
	begunFactor = 2
	// plainFactor times a plain server's slots is what one node sends it.
	plainFactor = 3
	// remoteRequests is how many more requests this node has at a target of its
	// own data centre before it takes one of another.
	remoteRequests = 0.5
	// ownWeight is the weight of this node's own requests, as if all nodes had
	// as many, against what was last reported.
	ownWeight = 0.8
	// failurePenalty weighs the share of failed requests.
	failurePenalty = 2.0
	// leavingRequests is the same for targets one of whose VMs is about to end,
	// againRequests where a request could lose a second endpoint.
	leavingRequests = 4
	againRequests   = 8
	// jitter spreads requests over targets that are about as good.
	jitter = 0.15
	// retryAfterFull is when a place is likely to be free again.
	retryAfterFull = 500 * time.Millisecond
	// retryAfterNone is when a lost group may be serving again.
	retryAfterNone = time.Second
)

// Query describes the request to place.
type Query struct {
	Service string
	Model   string // empty for a plain service
	// Exclude holds targets that have failed the request.
	Exclude []string
	// PromptTokens is the length of the prompt, 0 if there is none.
	PromptTokens int
	// Draw is a number drawn for the request.
	Draw uint64
	// Begun is whether the caller has a part of the answer: it is placed
	// also where new requests are not.
	Begun bool
	// Repeat is whether an endpoint has failed the request, which may not bear
	// to lose another one.
	Repeat bool
}

// Refusal says why no target is chosen and when to come back.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// MayClearWithin reports whether a place may come free within d, so that waiting for
// one makes sense.
func (r *Refusal) MayClearWithin(d time.Duration) bool { return r.Reason != Paused || r.RetryAfter < d }

// Reason says why a request can't be placed.
type Reason string

// Reasons for a refusal.
const (
	NoTarget Reason = "no endpoint"
	AllFull  Reason = "all endpoints full"
	AllCold  Reason = "endpoints warm up"
	Paused   Reason = "endpoints asked for a pause"
)

// Pick chooses a target for a request and counts it there until Done.
func (t *Table) Pick(now time.Time, q Query) (*Ticket, *Refusal) {
	var best *Target
	bestScore := 0.0
	why := refusals{reason: NoTarget}
	for i, target := range t.pools[poolKey{q.Service, q.Model}] {
		if !t.eligible(now, target, q) || !why.takes(t, now, target, q) {
			continue
		}
		score := t.score(target) + t.penaltyUnit(target)*t.penalty(target, q.Repeat) + jitter*spread(q.Draw, i)
		if best == nil || score < bestScore {
			best, bestScore = target, score
		}
	}
	if best == nil {
		return nil, why.refusal(q.Draw)
	}
	best.cold.take(now)
	ticket := &Ticket{Target: best, ProgressAt: now, Load: best.load(), reading: t.reading(q), sentAt: now, born: best.Born}
	best.add(now, ticket)
	best.pause.send(now, ticket)
	return ticket, nil
}

// eligible reports whether a target may be considered for a request at all.
func (t *Table) eligible(now time.Time, target *Target, q Query) bool {
	return !slices.Contains(q.Exclude, target.ID) && !t.left(target) && !now.Before(target.health.avoidUntil)
}

// refusals collects why the targets of a pool don't take a request.
type refusals struct {
	reason Reason
	// pausedFor is the shortest pause that a target has asked for.
	pausedFor time.Duration
}

// takes reports whether a target takes a request now, or notes why not.
func (r *refusals) takes(t *Table, now time.Time, target *Target, q Query) bool {
	switch left := target.pause.left(now); {
	case left > 0:
		if r.pausedFor == 0 || left < r.pausedFor {
			r.pausedFor = left
		}
	case target.pause.tried(now) || full(target, q.Begun):
		r.reason = AllFull
	case !t.coldRoom(now, target):
		r.reason = AllCold
	default:
		return true
	}
	return false
}

// refusal says why no target is chosen. Where all that are left asked for a
// pause, it says when the first one ends.
func (r *refusals) refusal(draw uint64) *Refusal {
	if r.reason == NoTarget && r.pausedFor > 0 {
		return &Refusal{Reason: Paused, RetryAfter: r.pausedFor}
	}
	return refusal(r.reason, draw)
}

func refusal(reason Reason, draw uint64) *Refusal {
	after := retryAfterFull
	if reason == NoTarget {
		after = retryAfterNone
	}
	return &Refusal{Reason: reason, RetryAfter: after + time.Duration(float64(after)*spread(draw, 0))}
}

func full(t *Target, begun bool) bool {
	if begun {
		return t.load() >= t.Slots*begunFactor
	}
	if t.Group == "" {
		return len(t.tickets) >= t.Slots*plainFactor
	}
	return len(t.tickets) >= t.allowed
}

// unit is what one request of this node weighs in a target's score, as if all
// nodes had as many.
func (t *Table) unit(target *Target) float64 {
	return ownWeight * float64(t.nodes) / float64(max(1, target.Slots))
}

func (t *Table) score(target *Target) float64 {
	own := t.unit(target) * (target.own() + 1)
	all := (1 - ownWeight) * float64(target.load()+1) / float64(max(1, target.Slots))
	return (own+all)*target.pace + failurePenalty*target.health.failures
}

// penaltyUnit is what one request weighs in a penalty. Plain servers have few
// places, of which a node's request takes a large part.
func (t *Table) penaltyUnit(target *Target) float64 {
	if target.Group == "" {
		return plainUnit
	}
	return t.unit(target)
}

// plainUnit is what a penalty of one request weighs at a plain server.
const plainUnit = 0.125

// penalty is how many more requests of this node other targets get before this
// one: it is far away, or may soon be lost, above all for a request that has
// lost an endpoint already.
func (t *Table) penalty(target *Target, again bool) float64 {
	requests := 0.0
	if target.DataCentre != t.opts.DataCentre {
		requests += remoteRequests
	}
	if target.leaving {
		requests += leavingRequests
	}
	if again && (target.leaving || target.outdated) {
		requests += againRequests
	}
	return requests
}

// reading returns the length of a request's prompt against the usual one.
func (t *Table) reading(q Query) float64 {
	svc := t.cats.Service(q.Service)
	if svc == nil || svc.Engine == nil || svc.Engine.MeanPrompt <= 0 {
		return 0
	}
	return float64(q.PromptTokens) / svc.Engine.MeanPrompt
}

// coldRoom reports whether a target that may be cold bears one more request
// of this node in this second.
func (t *Table) coldRoom(now time.Time, target *Target) bool {
	svc := t.cats.Service(target.Service)
	vm := t.vms.Get(target.ID)
	if svc == nil || svc.ColdPerSecond <= 0 || vm == nil || !isCold(now, vm) {
		return true
	}
	all := svc.ColdPerSecond*t.opts.ColdOverage + t.opts.ColdSlack
	return target.cold.within(now, t.coldShare(target.ID, int(all*coldPart)))
}

// coldShare divides what a cold target bears over the nodes. Where there are
// more nodes than requests, those that may send differ from target to target.
// One share is kept for a node that is not listed yet.
func (t *Table) coldShare(id string, all int) int {
	if !t.counted {
		return 0
	}
	shares := t.nodes + 1
	share := all / shares
	turn := (uint64(t.rank) + xxhash.Sum64String(id)) % uint64(shares)
	if turn < uint64(all%shares) {
		share++
	}
	return share
}

// coldPart keeps some of a cold target's rate for nodes that are not counted
// yet.
const coldPart = 0.9

func isCold(now time.Time, vm *fleet.VM) bool { return now.Before(vm.ColdUntil) }

// spread maps a draw and an index to 0 up to 1.
func spread(draw uint64, i int) float64 {
	x := (draw + uint64(i)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	x ^= x >> 31
	return float64(x%1024) / 1024
}

// Outcome is how a request ended at a target.
type Outcome int

// Outcomes of requests.
const (
	Succeeded Outcome = iota + 1
	// Failed means that the target gave no answer or a wrong one.
	Failed
	// Rejected means that the target did not run the request.
	Rejected
	// Neutral tells nothing of the target.
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

// Done ends a request at its target.
func (t *Table) Done(now time.Time, ticket *Ticket, outcome Outcome) {
	ticket.Target.remove(now, ticket)
	ticket.Target.pause.ended(ticket, outcome)
	switch outcome {
	case Succeeded:
		if !ticket.Begun {
			t.noteFirst(now, ticket)
		}
		ticket.Target.health.succeeded()
	case Failed:
		ticket.Target.health.failed(now)
	case Rejected:
		ticket.Target.others++
	}
}
