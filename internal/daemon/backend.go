package daemon

import (
	"slices"
	"time"

	"github.com/pimentoshore/pimentoshore/coord/inventory"
	"github.com/pimentoshore/pimentoshore/coord/problem"
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
