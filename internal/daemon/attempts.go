package daemon

import (
	"time"

	"github.com/google/uuid"

	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/coord/route"
	"github.com/pimentoshore/pimentoshore/internal/gateway"
)

// attempt implements gateway.Attempt.
type attempt struct {
	node         *Node
	admission    *admission
	id           string
	choice       route.Choice
	target       gateway.Target
	started      time.Time
	gotFirstByte bool
	done         bool
}

// pick chooses the target of an attempt. n.mu must be held.
func (n *Node) pick(now time.Time, need gateway.Requirements) (*attempt, *problem.Error) {
	choice, p := n.routes.Pick(now, route.Request{
		Target: routeTarget(need), Prefix: need.Prefix, Priority: need.Account.Priority,
		Tried: need.Exclude, Refusals: need.Refusals, LocalOnly: need.Forwarded,
	})
	if p != nil {
		return nil, p
	}
	return &attempt{
		node: n, id: uuid.NewString(), choice: choice, target: n.gatewayTarget(choice), started: now,
	}, nil
}

// gatewayTarget returns the target, with its address, of a routing choice. n.mu
// must be held.
func (n *Node) gatewayTarget(c route.Choice) gateway.Target {
	if c.Action != route.Dispatch {
		node, _ := n.gossip.Get(c.Node)
		return gateway.Target{Endpoint: c.Node, Address: node.Address, Peer: true}
	}
	if p, ok := n.groups.byID[c.Endpoint]; ok {
		t := gateway.Target{Endpoint: c.Endpoint, Group: c.Endpoint, Generation: c.Generation}
		if vm, ok := n.index.vms[p.Group.Members[0]]; ok {
			t.Address = vm.Address
		}
		return t
	}
	t := gateway.Target{Endpoint: c.Endpoint}
	if vm, ok := n.index.vms[c.Endpoint]; ok {
		t.Address = vm.Address
	}
	return t
}

// ID implements gateway.Attempt.
func (a *attempt) ID() string { return a.id }

// Target implements gateway.Attempt.
func (a *attempt) Target() gateway.Target { return a.target }

// FirstByte implements gateway.Attempt.
func (a *attempt) FirstByte(incarnation string) {
	n := a.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.gotFirstByte || a.done {
		return
	}
	a.gotFirstByte = true
	now := time.Now()
	n.routes.Step(now, route.FirstToken{Choice: a.choice, Took: now.Sub(a.started)})
	n.checkIncarnation(a.choice.Endpoint, incarnation)
}

// checkIncarnation marks a group's share as doubtful if the group's first
// member answers with an incarnation other than the one that it last reported.
// n.mu must be held.
func (n *Node) checkIncarnation(endpointName, incarnation string) {
	p, ok := n.groups.byID[endpointName]
	if !ok || incarnation == "" {
		return
	}
	r, _, known := n.reports.Report(p.Group.Members[0])
	if known && r.Incarnation != incarnation {
		n.shares.SuspectRestart(endpointName)
	}
}

// Done implements gateway.Attempt.
func (a *attempt) Done(outcome gateway.Outcome) {
	n := a.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.done {
		return
	}
	a.done = true
	now := time.Now()
	if outcome == gateway.Succeeded {
		if a.admission != nil {
			a.admission.succeeded = true
		}
		n.routes.Step(now, route.Completed{Choice: a.choice, Took: now.Sub(a.started), FirstTokenReported: a.gotFirstByte})
	} else {
		n.routes.Step(now, route.Failed{Choice: a.choice, Reason: failureReason(outcome), FirstTokenReported: a.gotFirstByte})
	}
	n.applyAdmissionEffects(now, n.admission.Tick(now))
}

func failureReason(outcome gateway.Outcome) route.Reason {
	switch outcome {
	case gateway.Refused:
		return route.Refused
	case gateway.Cancelled:
		return route.Cancelled
	case gateway.FailedDownstream:
		return route.FailedDownstream
	}
	return route.Broken
}
