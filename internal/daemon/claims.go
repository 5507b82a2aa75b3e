package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/pimentoshore/pimentoshore/coord/claim"
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/internal/gateway"
	"github.com/pimentoshore/pimentoshore/internal/peers"
	"github.com/pimentoshore/pimentoshore/internal/platform"
)

const (
	// claimQueryTimeout bounds the wait for the outcome of a call that runs on
	// another node.
	claimQueryTimeout = 30 * time.Second
	// maxPendingSteps is the maximum number of pending steps of one call.
	maxPendingSteps = 4
)

// keyedCalls is the part of a Node that runs calls with an idempotency key.
type keyedCalls struct {
	claims  *claim.State
	sweeper *claim.Sweeper
	// activeCalls holds the open calls by ID, and claimQueries the reply
	// channels of peers' queries by query ID.
	activeCalls   map[uint64]*keyedCall
	claimQueries  map[uint64]chan claim.Reply
	nextCall      uint64
	claimsStopped bool
}

func newKeyedCalls(vm, incarnation string) keyedCalls {
	return keyedCalls{
		claims:       claim.New(claim.Options{Self: claim.Node{VM: vm, Incarnation: incarnation}}),
		sweeper:      claim.NewSweeper(claim.SweepOptions{}),
		activeCalls:  map[uint64]*keyedCall{},
		claimQueries: map[uint64]chan claim.Reply{},
	}
}

// claimQuery asks the node that claimed a key for the outcome of the call.
type claimQuery struct {
	Key         claim.Key `json:"key"`
	Incarnation string    `json:"incarnation"`
}

// keyedCall implements gateway.KeyedCall.
type keyedCall struct {
	node  *Node
	call  claim.Call
	steps chan keyedStep
	// attempt is the ID of the attempt in the last StepDispatch.
	attempt string
	closed  bool
}

type keyedStep struct {
	step    gateway.Step
	err     error
	attempt string
}

// stepClaims passes an event to the claims' state machine and runs the effects.
// n.mu must be held.
func (n *Node) stepClaims(now time.Time, ev claim.Event) {
	for _, effect := range n.claims.Step(now, ev) {
		n.runClaim(effect)
	}
}

func (n *Node) runClaim(effect claim.Effect) {
	switch e := effect.(type) {
	case claim.Commit:
		n.spawn(func(ctx context.Context) { n.commitClaims(ctx, e) })
	case claim.Read:
		n.spawn(func(ctx context.Context) { n.readClaims(ctx, e) })
	case claim.Dispatch:
		n.pushStep(e.Call, keyedStep{step: gateway.Step{Kind: gateway.StepDispatch}, attempt: e.Attempt})
	case claim.Forward:
		n.pushStep(e.Call.ID, keyedStep{step: gateway.Step{Kind: gateway.StepForward, Target: n.peerTarget(e.To.VM)}})
	case claim.AskPeer:
		n.queryClaimant(e)
	case claim.ReplyPeer:
		if ch, ok := n.claimQueries[e.RequestID]; ok {
			ch <- e.Reply
			delete(n.claimQueries, e.RequestID)
		}
	case claim.Answer:
		n.pushStep(e.Call, answerStep(e))
	case claim.Stopped:
		n.claimsStopped = true
	}
}

func (n *Node) peerTarget(vm string) gateway.Target {
	node, _ := n.gossip.Get(vm)
	return gateway.Target{Endpoint: vm, Address: node.Address, Peer: true}
}

func answerStep(e claim.Answer) keyedStep {
	switch {
	case e.Err != nil:
		return keyedStep{err: e.Err}
	case e.Outcome.BodyOmitted:
		return keyedStep{err: problem.New(problem.OutcomeUnknown,
			"the call ran and was answered, but its answer was too large to keep",
			"read the result at the service").WithRanUnknown()}
	}
	rec := gateway.StoredAnswer{Status: e.Outcome.StatusCode, Header: http.Header{}, Body: e.Outcome.Body}
	if e.Outcome.ContentType != "" {
		rec.Header.Set("Content-Type", e.Outcome.ContentType)
	}
	return keyedStep{step: gateway.Step{Kind: gateway.StepAnswer, Recorded: rec}}
}

// pushStep queues the next step of a call. n.mu must be held.
func (n *Node) pushStep(call uint64, s keyedStep) {
	k, ok := n.activeCalls[call]
	if !ok {
		return
	}
	select {
	case k.steps <- s:
	default:
		n.log.Error("too many pending steps for a keyed call", "key", k.call.Key.Hash)
	}
}

func (n *Node) commitClaims(ctx context.Context, e claim.Commit) {
	revision, err := n.platform.Commit(ctx, e.Txn)
	n.locked(func(now time.Time) {
		n.stepClaims(now, claim.Committed{Batch: e.Batch, Outcome: platform.OutcomeOf(err), Revision: revision})
	})
}

func (n *Node) readClaims(ctx context.Context, e claim.Read) {
	rows, err := n.platform.Get(ctx, e.Keys...)
	n.locked(func(now time.Time) {
		if err != nil {
			n.stepClaims(now, claim.ReadFailed{Read: e.Read})
			return
		}
		n.stepClaims(now, claim.RowsRead{Read: e.Read, Rows: rows})
	})
}

// queryClaimant asks the node that runs a call for its outcome. n.mu must be
// held.
func (n *Node) queryClaimant(e claim.AskPeer) {
	node, _ := n.gossip.Get(e.To.VM)
	n.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, claimQueryTimeout)
		defer cancel()
		ctx, span := n.tracer.Start(ctx, "ask claimant "+e.To.VM, trace.WithSpanKind(trace.SpanKindClient))
		defer span.End()
		reply := claim.Reply{Kind: claim.ReplyUnreachable}
		body, err := json.Marshal(claimQuery{Key: e.Key, Incarnation: e.To.Incarnation})
		if err == nil && node.Address != "" {
			var answer peers.Message
			answer, err = n.peers.Tell(ctx, node.Address, peers.Message{Kind: kindClaimQuery, Body: body})
			if err != nil || json.Unmarshal(answer.Body, &reply) != nil {
				reply = claim.Reply{Kind: claim.ReplyUnreachable}
			}
		}
		n.locked(func(now time.Time) {
			n.stepClaims(now, claim.PeerReplied{Key: e.Key, From: e.To, Reply: reply})
		})
	})
}

// answerClaimQuery waits for the outcome that another node queries. It returns
// false if the context ends first.
func (n *Node) answerClaimQuery(ctx context.Context, query claimQuery) (claim.Reply, bool) {
	ch := make(chan claim.Reply, 1)
	var id uint64
	n.locked(func(now time.Time) {
		n.nextCall++
		id = n.nextCall
		n.claimQueries[id] = ch
		n.stepClaims(now, claim.PeerAsked{RequestID: id, Key: query.Key, Incarnation: query.Incarnation})
	})
	select {
	case reply := <-ch:
		return reply, true
	case <-ctx.Done():
		n.locked(func(time.Time) { delete(n.claimQueries, id) })
		return claim.Reply{}, false
	}
}

// Keyed implements gateway.Backend.
func (n *Node) Keyed(req gateway.KeyedRequest) gateway.KeyedCall {
	k := &keyedCall{node: n, steps: make(chan keyedStep, maxPendingSteps)}
	n.locked(func(now time.Time) {
		n.nextCall++
		k.call = claim.Call{
			ID: n.nextCall, Key: claim.NewKey(req.Account, req.Key),
			Fingerprint: req.Fingerprint, First: req.First,
		}
		if t, ok := claim.ParseTicket(req.Key); ok {
			k.call.Ticket = &t
		}
		n.activeCalls[k.call.ID] = k
		n.stepClaims(now, claim.Arrived{Call: k.call})
	})
	return k
}

// IssueKey implements gateway.Backend.
func (n *Node) IssueKey() (key string, valid time.Duration) {
	n.locked(func(now time.Time) { key = n.claims.IssueTicket(now).String() })
	return key, claim.DefaultTicketLifetime
}

// Next implements gateway.KeyedCall.
func (k *keyedCall) Next(ctx context.Context) (gateway.Step, error) {
	select {
	case s := <-k.steps:
		k.attempt = s.attempt
		return s.step, s.err
	case <-ctx.Done():
		return gateway.Step{}, waitEnded(ctx, "the outcome of the key was known", "repeat the call with the same key").WithRanUnknown()
	}
}

// Settle implements gateway.KeyedCall.
func (k *keyedCall) Settle(outcome gateway.Outcome, rec gateway.StoredAnswer, err *problem.Error) {
	k.node.locked(func(now time.Time) { k.node.stepClaims(now, k.outcomeEvent(outcome, rec, err)) })
}

func (k *keyedCall) outcomeEvent(outcome gateway.Outcome, rec gateway.StoredAnswer, err *problem.Error) claim.Event {
	switch outcome {
	case gateway.Succeeded:
		return claim.Answered{Key: k.call.Key, Attempt: k.attempt, Outcome: claim.NewOutcome(
			rec.Status, rec.Header.Get("Content-Type"), rec.Body)}
	case gateway.NotSent, gateway.Refused:
		return claim.NotSent{Key: k.call.Key, Attempt: k.attempt, Err: err}
	}
	return claim.Failed{Key: k.call.Key, Attempt: k.attempt}
}

// ForwardFailed implements gateway.KeyedCall. An issuer that refuses
// connections and is no longer live in gossip counts as gone: its rows in the
// table then determine the outcome.
func (k *keyedCall) ForwardFailed(outcome gateway.Outcome) {
	n := k.node
	n.locked(func(now time.Time) {
		reason := claim.IssuerSilent
		if outcome == gateway.NotSent {
			reason = claim.IssuerUnreachable
			if !n.gossip.IsLive(now, k.call.Ticket.Issuer.VM) {
				reason = claim.IssuerGone
			}
		}
		n.stepClaims(now, claim.ForwardFailed{Call: k.call, Reason: reason})
	})
}

// Close implements gateway.KeyedCall.
func (k *keyedCall) Close() {
	n := k.node
	n.locked(func(now time.Time) {
		if k.closed {
			return
		}
		k.closed = true
		delete(n.activeCalls, k.call.ID)
		n.stepClaims(now, claim.Cancelled{Call: k.call.ID})
	})
}
