package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/admit"
	"github.com/pimentoshore/pimentoshore/coord/budget"
	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/problem"
	"github.com/pimentoshore/pimentoshore/coord/route"
	"github.com/pimentoshore/pimentoshore/internal/gateway"
)

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
