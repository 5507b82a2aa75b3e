package daemon

import (
	"context"
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

// retryLater is when a caller may find this node able to serve.
const retryLater = 2 * time.Second

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
		return problem.New(problem.Stopping, "this node is shutting down", "use another entry VM").WithRetryAfter(retryLater)
	case n.index.doc == nil:
		return problem.New(problem.NotReady, "this node has no configuration yet",
			"check that it reaches the platform or another entry VM").WithRetryAfter(retryLater)
	}
	if _, ok := n.ledgers[accountsLease]; !ok {
		return problem.New(problem.NotReady, "this node has not heard yet who divides the client accounts' limits",
			"check with pimentoshore status that some data centre has a coordinator").WithRetryAfter(retryLater)
	}
	return nil
}

// admitAccounts takes in the client accounts of a configuration. mu is held.
func (n *Node) admitAccounts(doc *inventory.Document) {
	for i := range doc.ClientAccounts {
		a := &doc.ClientAccounts[i]
		n.admission.SetAccount(admit.Account{Name: a.Name, Weight: a.Weight, MaxInFlight: a.MaxInFlight})
	}
}

// admissions is the part of a node that admits requests and chooses where they
// go.
type admissions struct {
	routes    *route.Table
	admission *admit.Controller
	retries   *admit.RetryBudget
	waiting   map[admit.ID]*waiter
	nextID    admit.ID
	// known names the endpoints that the routing table or the ledger has been
	// told of.
	known map[string]bool
}

func newAdmissions(shares *budget.Shares, seed uint64) admissions {
	routes := route.NewTable(route.Options{Seed: seed}, shares)
	return admissions{
		routes:    routes,
		admission: admit.New(admit.Options{Seed: seed, Source: accountsLease}, routes, shares),
		retries:   admit.NewRetryBudget(admit.DefaultRetryRatio, admit.DefaultRetryReserve),
		waiting:   map[admit.ID]*waiter{},
		known:     map[string]bool{},
	}
}

// waiter is a request that waits for its admission.
type waiter struct {
	id      admit.ID
	need    gateway.Requirements
	decided chan struct{}
	first   *attempt
	problem *problem.Error
}

// admission implements gateway.Admission.
type admission struct {
	node  *Node
	id    admit.ID // 0 for a forwarded request
	first *attempt
	whole bool
	ended bool
}

// Admit implements gateway.Backend.
func (n *Node) Admit(ctx context.Context, need gateway.Requirements) (gateway.Admission, error) {
	if p := n.Ready(); p != nil && !need.Forwarded {
		return nil, p
	}
	if need.Forwarded {
		return &admission{node: n}, nil
	}
	w := n.offer(need)
	select {
	case <-w.decided:
	case <-ctx.Done():
		n.cancel(w)
	}
	if w.problem != nil {
		return nil, w.problem
	}
	return &admission{node: n, id: w.id, first: w.first}, nil
}

// offer asks for admission. The waiter is decided once the channel is closed.
func (n *Node) offer(need gateway.Requirements) *waiter {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.nextID++
	w := &waiter{id: n.nextID, need: need, decided: make(chan struct{})}
	n.waiting[w.id] = w
	d := n.admission.Offer(now, admit.Request{
		ID: w.id, Account: need.Account.Name, Target: targetOf(need),
		Priority: need.Account.Priority, Deadline: need.Deadline,
	})
	switch d.Verdict {
	case admit.Admit:
		n.place(now, w)
	case admit.Refuse:
		n.decide(w, d.Problem)
	case admit.Queue:
		n.reportUsage(false) // asks at once for a larger share
	}
	n.settle(now, d.Displaced)
	return w
}

// settle carries out what became of waiting requests. mu is held.
func (n *Node) settle(now time.Time, effects []admit.Effect) {
	for _, e := range effects {
		w, ok := n.waiting[e.ID]
		if !ok {
			continue
		}
		if e.Verdict == admit.Refuse {
			n.decide(w, e.Problem)
			continue
		}
		n.place(now, w)
	}
}

// place finds an admitted request its endpoint. mu is held.
func (n *Node) place(now time.Time, w *waiter) {
	a, p := n.pick(now, w.need)
	if p == nil {
		w.first = a
		n.retries.First()
		n.decide(w, nil)
		return
	}
	d := n.admission.Requeue(now, w.id)
	if d.Verdict == admit.Refuse {
		n.decide(w, d.Problem)
	}
	n.settle(now, d.Displaced)
}

// decide ends a request's wait. mu is held.
func (n *Node) decide(w *waiter, p *problem.Error) {
	w.problem = p
	delete(n.waiting, w.id)
	close(w.decided)
}

// cancel ends the wait of a request whose caller left, unless it was decided
// in the meantime.
func (n *Node) cancel(w *waiter) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.waiting[w.id]; !ok {
		return
	}
	n.admission.Cancel(w.id, targetOf(w.need))
	n.decide(w, problem.New(problem.DeadlineExceeded, "the deadline passed before the request could start",
		"allow more time in Request-Timeout"))
}

func targetOf(need gateway.Requirements) string {
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
		return nil, problem.New(problem.Overloaded, "the retry budget is spent", "retry after the given time").WithRetryAfter(retryLater)
	}
	att, p := n.pick(time.Now(), need)
	if p != nil {
		return nil, p
	}
	att.admission = a
	return att, nil
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
	if a.id != 0 && !a.ended {
		a.ended = true
		n.settle(now, n.admission.Release(now, a.id, a.whole))
	}
}

// attempt implements gateway.Attempt.
type attempt struct {
	node      *Node
	admission *admission
	id        string
	choice    route.Choice
	target    gateway.Target
	started   time.Time
	begun     bool
	done      bool
}

// pick chooses where an attempt goes. mu is held.
func (n *Node) pick(now time.Time, need gateway.Requirements) (*attempt, *problem.Error) {
	choice, p := n.routes.Pick(now, route.Request{
		Target: targetOf(need), Prefix: need.Prefix, Priority: need.Account.Priority,
		Tried: need.Exclude, Refusals: need.Refusals, LocalOnly: need.Forwarded,
	})
	if p != nil {
		return nil, p
	}
	return &attempt{
		node: n, id: uuid.NewString(), choice: choice, target: n.targetOf(choice), started: now,
	}, nil
}

// targetOf finds the address of a choice. mu is held.
func (n *Node) targetOf(c route.Choice) gateway.Target {
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
	if a.begun || a.done {
		return
	}
	a.begun = true
	now := time.Now()
	n.routes.Step(now, route.FirstToken{Choice: a.choice, Took: now.Sub(a.started)})
	n.checkIncarnation(a.choice.Endpoint, incarnation)
}

// checkIncarnation doubts a group whose first member answers as another
// process than it last reported. mu is held.
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
			a.admission.whole = true
		}
		n.routes.Step(now, route.Completed{Choice: a.choice, Took: now.Sub(a.started), FirstTokenReported: a.begun})
	} else {
		n.routes.Step(now, route.Failed{Choice: a.choice, Reason: reasonOf(outcome), FirstTokenReported: a.begun})
	}
	n.settle(now, n.admission.Tick(now))
}

func reasonOf(outcome gateway.Outcome) route.Reason {
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
