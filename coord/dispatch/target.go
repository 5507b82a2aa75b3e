package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentoshore/pimentoshore/coord/fleet"
	"github.com/pimentoshore/pimentoshore/coord/quarantine"
)

// Target is an endpoint that may receive requests.
type Target struct {
	ID         string
	Address    string
	DataCentre string
	Service    string
	// Model and Group are empty for a plain server.
	Model string
	Group string
	Epoch uint64
	Born  int64
	Slots int
	// Members are the IDs of a group's VMs.
	Members []string
	// groupSize is the largest number of VMs that a configuration required of this
	// formation while it was complete, or 0 if it never was. Requests that have begun go
	// on under it, whatever later configurations require.
	groupSize int
	// leaving is set if one of its VMs is about to stop. outdated is set if
	// one does not run the service's newest release, so that it may soon be
	// replaced.
	leaving, outdated bool
	pause             pause
	// progressAt is when one of this node's requests last received bytes.
	progressAt time.Time

	tickets map[*Ticket]struct{}
	// otherRequests is the number of requests from other nodes as of the
	// newest report.
	otherRequests int
	reportedAt    time.Time
	// reportedOwn is the number of this node's own requests in the newest report.
	reportedOwn int
	// quota is how many requests this node may have at a group's head until
	// the next report.
	quota   int
	history history
	pace    float64
	// memoryShort is whether the newest report said that the memory for tokens is
	// short.
	memoryShort bool
	cold        coldRate
	// unknownWarmthUntil is when the target is certain to be warm, unless its VM says
	// otherwise.
	unknownWarmthUntil time.Time
	limiter            limiter
	health             health
}

// Ticket is a request that has been placed at a target.
type Ticket struct {
	Target *Target
	// Cancel aborts the request, and Doubt tries to continue its answer at another
	// target. The embedding program sets them, and calls them when the target is
	// certainly lost and while it may be.
	Cancel, Doubt func(LossReason)
	// ProgressAt is when the request was sent or last received bytes.
	ProgressAt time.Time
	// Begun is whether any bytes of the answer have arrived, and BegunAt when the
	// first did.
	Begun   bool
	BegunAt time.Time
	// Parts are the parts of the prompt that other requests may share, and the one
	// that identifies the request.
	Parts []quarantine.Part
	// RepeatUse is the use of the budget of repeats before the request took part of
	// it, if its query was Resent.
	RepeatUse RepeatUse
	// Reuse is set if the target was chosen because it holds the beginning of the
	// prompt.
	Reuse *Reuse
	held  *heldPrefix // nil if there is nothing that other requests may share
	// Proven is set once the endpoint has gone on for a while after it began to
	// answer, which shows that the request does not end endpoints.
	Proven bool
	// promptWork is the length of the request's prompt relative to the mean.
	// It counts as load until the answer has begun.
	promptWork float64
	// work is the predicted work of the request.
	work float64
	// Load is the predicted number of other requests at the target when this
	// one was placed.
	Load   int
	sentAt time.Time
	born   int64 // start time of the VM that runs it
}

// Work is the predicted work of the request: one, and more for its prompt, of which no
// more counts than fits in the memory of an engine.
func (t *Ticket) Work() float64 { return t.work }

// AnswerBegan returns when the endpoint began to answer, or when the request was sent
// if that is unknown.
func (t *Ticket) AnswerBegan() time.Time {
	if t.BegunAt.IsZero() {
		return t.sentAt
	}
	return t.BegunAt
}

// ownLoad is the load of this node's requests at the target. Each counts as one,
// and as more until its prompt has been processed.
func (t *Target) ownLoad() float64 {
	load := 0.0
	for ticket := range t.tickets {
		load++
		if !ticket.Begun {
			load += promptWeight * ticket.promptWork
		}
	}
	return load
}

// promptWeight is the load of processing a prompt of mean length, relative to a
// request that is being answered.
const promptWeight = 1.0

// hasRecentProgress reports whether one of this node's requests has received
// bytes within progressValidity.
func (t *Target) hasRecentProgress(now time.Time) bool {
	return now.Sub(t.progressAt) < progressValidity
}

// progressValidity is how long progress is taken as evidence that no VM of a
// group is missing.
const progressValidity = 500 * time.Millisecond

// load is the predicted number of requests at the target.
func (t *Target) load() int { return len(t.tickets) + t.otherRequests }

// applyReport updates the target's load and this node's quota from the VM's
// newest report, whose figures are older than the report by lag. Free slots are
// divided among the nodes, so that together they don't send more than the VM
// runs at once. If the VM is overloaded, each node's quota shrinks in proportion
// to its own requests.
func (t *Target) applyReport(vm *fleet.VM, lag time.Duration, nodes, rank int) {
	if !vm.ReportedAt.After(t.reportedAt) {
		return
	}
	t.reportedAt = vm.ReportedAt
	own := t.history.countAt(vm.ReportedAt.Add(-lag))
	total := max(own, vm.Running+vm.Waiting)
	t.otherRequests, t.reportedOwn = total-own, own
	t.pace, t.memoryShort = max(1, vm.Pace), vm.MemoryShort
	free := t.Slots - total
	if free >= 0 {
		share := float64(free) * min(1, freeShareFactor/float64(nodes))
		t.quota = own + t.roundRandomly(share, t.reportSeed(), rank)
		return
	}
	t.quota = max(1, own*t.Slots/total)
}

// roundRandomly rounds a node's share up or down at random, so that many nodes
// together take about the sum of their shares even if each share is below one.
// The random value is a hash that depends on the seed and the node's rank.
func (t *Target) roundRandomly(share float64, seed uint64, rank int) int {
	whole := math.Floor(share)
	draw := unitHash(xxhash.Sum64String(t.ID)^seed, rank)
	if draw < share-whole {
		whole++
	}
	return int(whole)
}

// reportSeed returns the seed for rounding shares of the newest report.
func (t *Target) reportSeed() uint64 {
	return uint64(t.reportedAt.UnixNano() / int64(reportInterval))
}

// reportInterval is the approximate time between two reports.
const reportInterval = 500 * time.Millisecond

// freeShareFactor times its even share of the free slots is what a node may
// take until the next report.
const freeShareFactor = 1.5

// add and remove track the tickets at the target.
func (t *Target) add(now time.Time, ticket *Ticket) {
	t.tickets[ticket] = struct{}{}
	t.history.record(now, len(t.tickets))
}

func (t *Target) remove(now time.Time, ticket *Ticket) {
	delete(t.tickets, ticket)
	t.history.record(now, len(t.tickets))
}

// history records how many requests this node had at a target over time.
type history struct {
	samples []historySample
}

type historySample struct {
	at time.Time
	n  int
}

// historyRetention exceeds the lag of a report plus its transmission time.
const historyRetention = time.Second

func (h *history) record(now time.Time, n int) {
	old := 0
	for old+1 < len(h.samples) && now.Sub(h.samples[old+1].at) > historyRetention {
		old++
	}
	h.samples = append(h.samples[:0], h.samples[old:]...)
	h.samples = append(h.samples, historySample{now, n})
}

// countAt returns the number of requests at time t.
func (h *history) countAt(t time.Time) int {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(t) {
			return h.samples[i].n
		}
	}
	return 0
}

// health tracks the outcomes of requests.
type health struct {
	// failures is the recent share of failed requests, 0 to 1.
	failures float64
	// avoidUntil is when the target may be chosen again.
	avoidUntil time.Time
	// consecutiveFailures is the number of failures since the last success.
	consecutiveFailures int
}

const (
	failureWeight      = 0.1 // weight of the newest outcome in the share of failures
	minAvoidance       = 300 * time.Millisecond
	maxAvoidance       = 3 * time.Second
	avoidanceThreshold = 2 // consecutive failures
)

func (h *health) recordSuccess() {
	h.failures *= 1 - failureWeight
	h.consecutiveFailures = 0
	h.avoidUntil = time.Time{}
}

func (h *health) recordFailure(now time.Time) {
	h.failures += (1 - h.failures) * failureWeight
	h.consecutiveFailures++
	if h.consecutiveFailures >= avoidanceThreshold {
		avoidance := min(minAvoidance<<min(h.consecutiveFailures-avoidanceThreshold, 8), maxAvoidance)
		h.avoidUntil = now.Add(avoidance)
	}
}
