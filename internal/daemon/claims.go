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
	// askTimeout bounds the wait for the outcome of a call that another node
	// runs.
	askTimeout = 30 * time.Second
	// keyedSteps is the number of steps that may be pending for one call.
	keyedSteps = 4
)

// keyedCalls is the part of a node that runs calls with an idempotency key.
type keyedCalls struct {
	claims  *claim.State
	sweeper *claim.Sweeper
	// keyed holds the calls that wait for their next step, asks the peers
	// that wait for an outcome.
	keyed        map[uint64]*keyedCall
	asks         map[uint64]chan claim.Reply
	nextCall     uint64
	claimsClosed bool
}

func newKeyedCalls(vm, incarnation string) keyedCalls {
	return keyedCalls{
		claims:  claim.New(claim.Options{Self: claim.Node{VM: vm, Incarnation: incarnation}}),
		sweeper: claim.NewSweeper(claim.SweepOptions{}),
		keyed:   map[uint64]*keyedCall{},
		asks:    map[uint64]chan claim.Reply{},
	}
}

// claimAsk asks a claimant for the outcome of a key.
type claimAsk struct {
	Key         claim.Key `json:"key"`
	Incarnation string    `json:"incarnation"`
}

// keyedCall implements gateway.KeyedCall.
type keyedCall struct {
	node  *Node
	call  claim.Call
	steps chan keyedStep
	// attempt is the one of the last StepDispatch.
	attempt string
	ended   bool
}

type keyedStep struct {
	step    gateway.Step
	err     error
	attempt string
}

// stepClaims feeds the claims. mu is held.
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
		n.askClaimant(e)
	case claim.ReplyPeer:
		if ch, ok := n.asks[e.RequestID]; ok {
			ch <- e.Reply
			delete(n.asks, e.RequestID)
		}
	case claim.Answer:
		n.pushStep(e.Call, answerStep(e))
	case claim.Stopped:
		n.claimsClosed = true
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

// pushStep hands a call its next step. mu is held.
func (n *Node) pushStep(call uint64, s keyedStep) {
	k, ok := n.keyed[call]
	if !ok {
		return
	}
	select {
	case k.steps <- s:
	default:
		n.log.Error("a keyed call was given more steps than it takes", "key", k.call.Key.Hash)
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

// askClaimant asks the node that runs a call for its outcome. mu is held.
func (n *Node) askClaimant(e claim.AskPeer) {
	node, _ := n.gossip.Get(e.To.VM)
	n.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		ctx, span := n.tracer.Start(ctx, "ask claimant "+e.To.VM, trace.WithSpanKind(trace.SpanKindClient))
		defer span.End()
		reply := claim.Reply{Kind: claim.ReplyUnreachable}
		body, err := json.Marshal(claimAsk{Key: e.Key, Incarnation: e.To.Incarnation})
		if err == nil && node.Address != "" {
			var answer peers.Message
			answer, err = n.peers.Tell(ctx, node.Address, peers.Message{Kind: kindAsk, Body: body})
			if err != nil || json.Unmarshal(answer.Body, &reply) != nil {
				reply = claim.Reply{Kind: claim.ReplyUnreachable}
			}
		}
		n.locked(func(now time.Time) {
			n.stepClaims(now, claim.PeerReplied{Key: e.Key, From: e.To, Reply: reply})
		})
	})
}

// answerAsk waits for the outcome that another node asks for.
func (n *Node) answerAsk(ctx context.Context, ask claimAsk) (claim.Reply, bool) {
	ch := make(chan claim.Reply, 1)
	var id uint64
	n.locked(func(now time.Time) {
		n.nextCall++
		id = n.nextCall
		n.asks[id] = ch
		n.stepClaims(now, claim.PeerAsked{RequestID: id, Key: ask.Key, Incarnation: ask.Incarnation})
	})
	select {
	case reply := <-ch:
		return reply, true
	case <-ctx.Done():
		n.locked(func(time.Time) { delete(n.asks, id) })
		return claim.Reply{}, false
	}
}

// Keyed implements gateway.Backend.
func (n *Node) Keyed(req gateway.KeyedRequest) gateway.KeyedCall {
	k := &keyedCall{node: n, steps: make(chan keyedStep, keyedSteps)}
	n.locked(func(now time.Time) {
		n.nextCall++
		k.call = claim.Call{
			ID: n.nextCall, Key: claim.NewKey(req.Account, req.Key),
			Fingerprint: req.Fingerprint, First: req.First,
		}
		if t, ok := claim.ParseTicket(req.Key); ok {
			k.call.Ticket = &t
		}
		n.keyed[k.call.ID] = k
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
		return gateway.Step{}, problem.New(problem.DeadlineExceeded,
			"the deadline passed before the outcome of the key was known", "repeat the call with the same key").WithRanUnknown()
	}
}

// Settle implements gateway.KeyedCall.
func (k *keyedCall) Settle(outcome gateway.Outcome, rec gateway.StoredAnswer, err *problem.Error) {
	k.node.locked(func(now time.Time) { k.node.stepClaims(now, k.settled(outcome, rec, err)) })
}

func (k *keyedCall) settled(outcome gateway.Outcome, rec gateway.StoredAnswer, err *problem.Error) claim.Event {
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
// connections and has been silent counts as gone: what it left in the table
// decides then.
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
		if k.ended {
			return
		}
		k.ended = true
		delete(n.keyed, k.call.ID)
		n.stepClaims(now, claim.Cancelled{Call: k.call.ID})
	})
}
