package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/catalog"
	"github.com/pimentoshore/pimentoshore/coord/engineload"
	"github.com/pimentoshore/pimentoshore/coord/fleet"
	"github.com/pimentoshore/pimentoshore/coord/quarantine"
)

const (
	// minSaving is the least time that a held prefix must save to affect the choice
	// of a target, at the pace of the model alone, and the least advantage for which
	// another target is chosen. The estimate of the wait doesn't resolve less.
	minSaving = 5 * time.Millisecond
	// heldReportAge is the age of an endpoint's newest report up to which its load
	// and memory are known well enough: six intervals between reports. A node that
	// gets no reports chooses without held prefixes after that time.
	heldReportAge = 6 * reportInterval
)

// Reuse says that a target was chosen because it holds the beginning of the prompt.
type Reuse struct {
	// Instead is the ID of the target that would have been chosen otherwise.
	Instead string
	// Tokens is the number of prompt tokens that it holds.
	Tokens int
	// Saved is the time in which it would read them, less what is expected to be
	// saved at other targets through other nodes' requests. Wait is how much longer
	// the request is expected to wait there than at the target with the least delay,
	// with the penalties of both.
	Saved, Wait time.Duration
	// ReportAge is the age of the report from which the load was predicted.
	ReportAge time.Duration
}

// heldPrefix is the beginning of the prompt of a request that runs at a formation.
type heldPrefix struct {
	*Prefix
	formation fleet.Formation
}

// prefixHolders are the requests of this node whose prompts begin with a part.
type prefixHolders map[quarantine.Part]map[*Ticket]struct{}

// add adds a request that has been placed.
func (h prefixHolders) add(ticket *Ticket, prefix *Prefix) {
	first, ok := prefix.first()
	if !ok {
		return
	}
	ticket.held = &heldPrefix{prefix, fleet.Formation{Group: ticket.Target.Group, Epoch: ticket.Target.Epoch}}
	if h[first] == nil {
		h[first] = make(map[*Ticket]struct{})
	}
	h[first][ticket] = struct{}{}
}

// remove removes a request that has ended.
func (h prefixHolders) remove(ticket *Ticket) {
	if ticket.held == nil {
		return
	}
	first, _ := ticket.held.first()
	delete(h[first], ticket)
	if len(h[first]) == 0 {
		delete(h, first)
	}
}

// heldAt returns the largest number of tokens with which both the prompt of a
// request and that of a running one begin, by target, and the number of these
// running requests. An engine that has restarted, or whose group has been formed
// again, holds nothing of earlier requests.
func (h prefixHolders) heldAt(prefix *Prefix) (tokens map[*Target]int, holders int) {
	first, ok := prefix.first()
	if !ok || len(h[first]) == 0 {
		return nil, 0
	}
	tokens = make(map[*Target]int)
	for ticket := range h[first] {
		target := ticket.Target
		if ticket.born != target.Born || ticket.held.formation != (fleet.Formation{Group: target.Group, Epoch: target.Epoch}) {
			continue
		}
		holders++
		if shared := prefix.sharedTokens(ticket.held.Prefix); shared > tokens[target] {
			tokens[target] = shared
		}
	}
	return tokens, holders
}

// heldChoice weighs the time saved at targets that hold the beginning of a prompt
// against the wait there.
type heldChoice struct {
	table  *Table
	now    time.Time
	query  Query
	engine *catalog.Engine
	model  *catalog.Model
	// prompt is the mean length of the model's prompts in tokens.
	prompt float64
	tokens map[*Target]int
	// missing is the chance that another target doesn't hold the same.
	missing float64
}

// chanceMissing returns the chance that a target holds nothing of a prompt although
// this node has a number of running requests that do, at any of a pool's targets.
// This node doesn't see where other nodes' requests hold a popular part. The first
// request says nothing of its popularity; for each further one, the other nodes have
// as many on average, at random targets.
func (t *Table) chanceMissing(holders, targets int) float64 {
	return math.Exp(-float64(holders-1) * float64(t.nodes) / float64(max(1, targets)))
}

// newHeldChoice returns nil if no target can save minSaving.
func (t *Table) newHeldChoice(now time.Time, q *Query) *heldChoice {
	if q.Prefix == nil || q.Prefix.tokens == 0 {
		return nil
	}
	svc := t.catalog.Service(q.Service)
	if svc == nil || svc.Engine == nil {
		return nil
	}
	engine, model := svc.Engine, svc.Engine.Model(q.Model)
	if engineload.ReadTime(engine, model, q.Prefix.tokens, 1) < minSaving {
		return nil // also if the figures are unknown
	}
	prompt := t.MeanPromptTokens(q.Service, q.Model)
	if prompt == 0 {
		prompt = engine.MeanPrompt
	}
	if prompt <= 0 || engine.MeanAnswer <= 0 {
		return nil
	}
	tokens, holders := t.prefixHolders.heldAt(q.Prefix)
	enough := false
	for target, n := range tokens {
		if engine.TokenCapacity > 0 {
			n = min(n, engine.TokenCapacity) // callers may state more than an engine holds
		}
		tokens[target] = n
		enough = enough || engineload.ReadTime(engine, model, n, 1) >= minSaving
	}
	if !enough {
		return nil
	}
	return &heldChoice{
		table: t, now: now, query: *q, engine: engine, model: model, prompt: prompt, tokens: tokens,
		missing: t.chanceMissing(holders, len(t.pools[poolKey{q.Service, q.Model}])),
	}
}

// heldCandidate is a target that holds the beginning of a prompt.
type heldCandidate struct {
	target *Target
	score  float64
	saving time.Duration
	delay  float64
}

// choose returns a target that saves more time than the request waits longer there
// than at the target with the least delay, by minSaving more than at best, which was
// chosen without regard to what targets hold. Of several, it returns the one with the
// best score: the delays come from reports, and if all nodes chose the target with
// the least, they would choose the same one until the next report. If there is none,
// it returns best and nil.
func (c *heldChoice) choose(best *Target) (*Target, *Reuse) {
	least := c.delay(best)
	var candidates []heldCandidate
	for i, target := range c.table.pools[poolKey{c.query.Service, c.query.Model}] {
		var reasons refusals
		vm := c.table.vms.Get(target.ID)
		if !isEligible(c.now, target, vm, &c.query) || !reasons.accepts(c.table, c.now, target, vm, &c.query) {
			continue
		}
		delay := c.delay(target)
		least = min(least, delay)
		if saving := c.saving(target); saving > 0 && target != best {
			candidates = append(candidates, heldCandidate{target, c.table.fullScore(target, &c.query, i), saving, delay})
		}
	}
	required := float64(c.saving(best) + minSaving)
	candidates = slices.DeleteFunc(candidates, func(h heldCandidate) bool { return float64(h.saving)-(h.delay-least) < required })
	if len(candidates) == 0 {
		return best, nil
	}
	chosen := slices.MinFunc(candidates, func(a, b heldCandidate) int { return cmp.Compare(a.score, b.score) })
	return chosen.target, &Reuse{
		Instead: best.ID, Tokens: c.tokens[chosen.target], Saved: chosen.saving, Wait: time.Duration(chosen.delay - least),
		ReportAge: c.now.Sub(chosen.target.reportedAt),
	}
}

// delay is the wait at a target, plus what counts against the target otherwise, in
// ns. Sums of the longest times don't fit in a time.Duration.
func (c *heldChoice) delay(target *Target) float64 {
	return float64(c.wait(target)) + c.penalty(target)
}

// saving returns the time in which a target would read what it holds of the prompt,
// less what other targets are expected to save unseen. It is 0 if the time is too
// short, if the target has no free slot or is short of memory, or if its state is not
// known.
func (c *heldChoice) saving(target *Target) time.Duration {
	tokens := c.tokens[target]
	if tokens == 0 || target.memoryShort || target.load() >= target.Slots || c.now.Sub(target.reportedAt) > heldReportAge {
		return 0
	}
	if engineload.ReadTime(c.engine, c.model, tokens, 1) < minSaving {
		return 0
	}
	return time.Duration(c.missing * float64(engineload.ReadTime(c.engine, c.model, tokens, target.pace)))
}

// wait returns the expected time to the first event at a target that holds nothing
// of the prompt.
func (c *heldChoice) wait(target *Target) time.Duration {
	unread := 0.0
	for ticket := range target.tickets {
		if !ticket.Begun {
			unread++
		}
	}
	return c.firstEvent(target, target.load(), unread)
}

// firstEvent returns the expected time to the first event of the request at a
// target with n other requests, of which this node knows that the prompts of the
// given number have not been read.
func (c *heldChoice) firstEvent(target *Target, n int, unread float64) time.Duration {
	l := engineload.Expect(c.engine, c.model, n, c.prompt, c.engine.MeanAnswer, target.pace)
	l.Unread = max(l.Unread, unread)
	return engineload.FirstEvent(c.engine, c.model, l, float64(c.query.PromptTokens), 0)
}

// penalty converts the penalties of a target's score, in which a full target counts
// as 1, to the time in ns by which a full target is slower than an idle one.
func (c *heldChoice) penalty(target *Target) float64 {
	score := c.table.penaltyWeight(target)*c.table.penalty(target, c.query.Repeat) + failurePenalty*target.health.failures
	if score == 0 {
		return 0
	}
	full := c.firstEvent(target, max(0, target.Slots-1), 0) - c.firstEvent(target, 0, 0)
	return score * float64(full)
}
