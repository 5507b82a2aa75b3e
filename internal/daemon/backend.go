package daemon

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/pimentoshore/pimentoshore/coord/admit"
	"github.com/pimentoshore/pimentoshore/coord/budget"
	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/coord/route"
	"github.com/pimentoshore/pimentoshore/internal/gateway"
)

// retryDelay is the suggested delay before a retry when this node cannot serve
// yet, is shutting down or has spent its retry budget.
const retryDelay = 2 * time.Second

var _ gateway.Backend = (*Node)(nil)

// ClientAccount implements gateway.Backend.
func (n *Node) ClientAccount(keyHash string) (inventory.ClientAccount, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a, ok := n.index.accounts[keyHash]
	if !ok {
		return inventory.ClientAccount{}, false
	}
	return *a, true
}

// AccountByName implements gateway.Backend.
func (n *Node) AccountByName(name string) (inventory.ClientAccount, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.index.doc == nil {
		return inventory.ClientAccount{}, false
	}
	i := slices.IndexFunc(n.index.doc.ClientAccounts, func(a inventory.ClientAccount) bool { return a.Name == name })
	if i < 0 {
		return inventory.ClientAccount{}, false
	}
	return n.index.doc.ClientAccounts[i], true
}

// Models implements gateway.Backend.
func (n *Node) Models() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	for name := range n.index.models {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Service implements gateway.Backend.
func (n *Node) Service(name string) (inventory.Service, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s, ok := n.index.services[name]
	if !ok {
		return inventory.Service{}, false
	}
	return *s, true
}

// Ready implements gateway.Backend.
func (n *Node) Ready() *problem.Error {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.stopping:
		return problem.New(problem.Stopping, "this node is shutting down", "use another entry VM").WithRetryAfter(retryDelay)
	case n.index.doc == nil:
		return problem.New(problem.NotReady, "this node has no configuration yet",
			"check that it reaches the platform or another entry VM").WithRetryAfter(retryDelay)
	}
	if _, ok := n.ledgerLocations[accountsLease]; !ok {
		return problem.New(problem.NotReady, "this node does not know yet which node divides the client accounts' limits",
			"check with pimentoshore status that some data centre has a coordinator").WithRetryAfter(retryDelay)
	}
	return nil
}

// admitAccounts registers the client accounts of a configuration with the
// admission controller. n.mu must be held.
func (n *Node) admitAccounts(doc *inventory.Document) {
	for i := range doc.ClientAccounts {
		a := &doc.ClientAccounts[i]
		n.admission.SetAccount(admit.Account{Name: a.Name, Weight: a.Weight, MaxInFlight: a.MaxInFlight})
	}
}

// admissionState is the part of a Node that admits requests and chooses their
// endpoints.
type admissionState struct {
	routes    *route.Table
	admission *admit.Controller
	retries   *admit.RetryBudget
	waiting   map[admit.ID]*waiter
	nextID    admit.ID
	// knownEndpoints holds the names of the endpoints that were passed to the
	// routing table or the ledger.
	knownEndpoints map[string]bool
}

func newAdmissionState(shares *budget.Shares, seed uint64) admissionState {
	routes := route.NewTable(route.Options{Seed: seed}, shares)
	return admissionState{
		routes:         routes,
		admission:      admit.New(admit.Options{Seed: seed, Source: accountsLease}, routes, shares),
		retries:        admit.NewRetryBudget(admit.DefaultRetryRatio, admit.DefaultRetryReserve),
		waiting:        map[admit.ID]*waiter{},
		knownEndpoints: map[string]bool{},
	}
}

// waiter is a request that waits for admission.
type waiter struct {
	id      admit.ID
	need    gateway.Requirements
	decided chan struct{}
	first   *attempt
	problem *problem.Error
}

// admission implements gateway.Admission.
type admission struct {
	node      *Node
	id        admit.ID // 0 for a forwarded request
	first     *attempt
	succeeded bool
	released  bool
}

// Admit implements gateway.Backend.
func (n *Node) Admit(ctx context.Context, need gateway.Requirements) (gateway.Admission, error) {
	if p := n.Ready(); p != nil && !need.Forwarded {
		return nil, p
	}
	if need.Forwarded {
		return &admission{node: n}, nil
	}
	w := n.requestAdmission(need)
	select {
	case <-w.decided:
	case <-ctx.Done():
		n.cancel(ctx, w)
	}
	if w.problem != nil {
		return nil, w.problem
	}
	return &admission{node: n, id: w.id, first: w.first}, nil
}

// requestAdmission passes a request to the admission controller. The waiter's
// channel is closed once the request is admitted or refused.
func (n *Node) requestAdmission(need gateway.Requirements) *waiter {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.nextID++
	w := &waiter{id: n.nextID, need: need, decided: make(chan struct{})}
	n.waiting[w.id] = w
	d := n.admission.Offer(now, admit.Request{
		ID: w.id, Account: need.Account.Name, Target: routeTarget(need),
		Priority: need.Account.Priority, Deadline: need.Deadline,
	})
	switch d.Verdict {
	case admit.Admit:
		n.assignEndpoint(now, w)
	case admit.Refuse:
		n.finishWait(w, d.Problem)
	case admit.Queue:
		n.reportUsage(false) // requests a larger share without delay
	}
	n.applyAdmissionEffects(now, d.Displaced)
	return w
}

// applyAdmissionEffects carries out the admission controller's decisions on
// waiting requests. n.mu must be held.
func (n *Node) applyAdmissionEffects(now time.Time, effects []admit.Effect) {
	for _, e := range effects {
		w, ok := n.waiting[e.ID]
		if !ok {
			continue
		}
		if e.Verdict == admit.Refuse {
			n.finishWait(w, e.Problem)
			continue
		}
		n.assignEndpoint(now, w)
	}
}

// assignEndpoint chooses the endpoint of an admitted request. If there is none,
// the request is queued again or refused. n.mu must be held.
func (n *Node) assignEndpoint(now time.Time, w *waiter) {
	a, p := n.pick(now, w.need)
	if p == nil {
		w.first = a
		n.retries.First()
		n.finishWait(w, nil)
		return
	}
	d := n.admission.Requeue(now, w.id)
	if d.Verdict == admit.Refuse {
		n.finishWait(w, d.Problem)
	}
	n.applyAdmissionEffects(now, d.Displaced)
}

// finishWait records the decision on a waiting request and closes its channel.
// A nil problem means that it was admitted. n.mu must be held.
func (n *Node) finishWait(w *waiter, p *problem.Error) {
	w.problem = p
	delete(n.waiting, w.id)
	close(w.decided)
}

// cancel withdraws a waiting request whose context has ended, unless it was
// decided in the meantime.
func (n *Node) cancel(ctx context.Context, w *waiter) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.waiting[w.id]; !ok {
		return
	}
	n.admission.Cancel(w.id, routeTarget(w.need))
	n.finishWait(w, waitEnded(ctx, "the request could start", "allow more time in Request-Timeout"))
}

// waitEnded returns the error of a request whose context ended before what it
// waited for. The remedy is for a deadline that passed.
func waitEnded(ctx context.Context, awaited, remedy string) *problem.Error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return problem.New(problem.DeadlineExceeded, "the caller closed the connection before "+awaited, "no action is needed")
	}
	return problem.New(problem.DeadlineExceeded, "the deadline passed before "+awaited, remedy)
}

func routeTarget(need gateway.Requirements) string {
	if need.Kind == gateway.ServiceEndpoint {
		return serviceTarget(need.Name)
	}
	return need.Name
}

// Dispatch implements gateway.Admission.
func (a *admission) Dispatch(need gateway.Requirements) (gateway.Attempt, error) {
	n := a.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if first := a.first; first != nil {
		a.first = nil
		first.admission = a
		return first, nil
	}
	if need.Retry && !n.retries.Retry() {
		return nil, problem.New(problem.Overloaded, "the retry budget is spent", "retry after the given time").WithRetryAfter(retryDelay)
	}
	next, p := n.pick(time.Now(), need)
	if p != nil {
		return nil, p
	}
	next.admission = a
	return next, nil
}

// Release implements gateway.Admission.
func (a *admission) Release() {
	n := a.node
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if a.first != nil {
		n.routes.Step(now, route.Failed{Choice: a.first.choice, Reason: route.Cancelled})
		a.first = nil
	}
	if a.id != 0 && !a.released {
		a.released = true
		n.applyAdmissionEffects(now, n.admission.Release(now, a.id, a.succeeded))
	}
}

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
